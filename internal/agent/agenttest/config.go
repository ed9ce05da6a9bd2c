package agenttest

import (
	"encoding/json"
	"strings"
	"testing"

	"fernbeam.example/fernbeam/internal/agent/config"
)

// configText is the configuration file of an agent that knows the list of the discovery as it is now. Change may
// change its keys; nil: nothing.
func configText(t testing.TB, listen string, d *Discovery, change func(map[string]any)) []byte {
	t.Helper()
	keys := map[string]any{
		"name":      "a1",
		"listen":    listen,
		"discovery": d.Listener.Addr().String(),
		"seed":      "7",
		"limits":    map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known":     d.List,
		"settings":  json.RawMessage(Settings),
	}
	if change != nil {
		change(keys)
	}
	text, err := json.Marshal(keys)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// PushedConfigText is the configuration file of an agent without clients, to which changes of the list are pushed.
func PushedConfigText(t testing.TB, d *Discovery, change func(map[string]any)) []byte {
	t.Helper()
	return configText(t, "127.0.0.1:1", d, func(keys map[string]any) {
		keys["settings"] = json.RawMessage(strings.Replace(Settings, "on_request", "pushed", 1))
		if change != nil {
			change(keys)
		}
	})
}

// NewConfig is the configuration of an agent that knows the list of the discovery as it is now.
func NewConfig(t testing.TB, listen string, d *Discovery) *config.Config {
	t.Helper()
	cfg, err := config.Parse(configText(t, listen, d, nil))
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}
