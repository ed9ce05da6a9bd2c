package agenttest

import (
	"encoding/json"
	"strings"
	"testing"

	"fernbeam.example/fernbeam/internal/agent/config"
)

// The limits of the tests' agents.
const (
	memoryLimitMB = 192
	socketLimit   = 1024
)

// configText is the configuration file of an agent that knows the list of the discovery as it is now. The function
// change may change its keys; nil changes nothing.
func configText(tb testing.TB, listen string, d *Discovery, change func(map[string]any)) []byte {
	tb.Helper()
	keys := map[string]any{
		"name":      "a1",
		"listen":    listen,
		"discovery": d.Listener.Addr().String(),
		"seed":      "7",
		"limits":    map[string]any{"cores": 1, "memory_mb": memoryLimitMB, "sockets": socketLimit},
		"known":     d.List,
		"settings":  json.RawMessage(Settings),
	}
	if change != nil {
		change(keys)
	}
	text, err := json.Marshal(keys)
	if err != nil {
		tb.Fatal(err)
	}
	return text
}

// PushedConfigText is the configuration file of an agent without clients, to which changes of the list are pushed.
func PushedConfigText(tb testing.TB, d *Discovery, change func(map[string]any)) []byte {
	tb.Helper()
	return configText(tb, "127.0.0.1:1", d, func(keys map[string]any) {
		keys["settings"] = json.RawMessage(strings.Replace(Settings, "on_request", "pushed", 1))
		if change != nil {
			change(keys)
		}
	})
}

// NewConfig is the configuration of an agent that knows the list of the discovery as it is now.
func NewConfig(tb testing.TB, listen string, d *Discovery) *config.Config {
	tb.Helper()
	cfg, err := config.Parse(configText(tb, listen, d, nil))
	if err != nil {
		tb.Fatal(err)
	}
	return cfg
}
