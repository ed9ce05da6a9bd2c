package agenttest

import (
	"encoding/json"
	"strings"
	"testing"

	"fernbeam.example/fernbeam/internal/agent/config"
)

// Limits of the agents in tests.
const (
	memoryLimitMB = 192
	socketLimit   = 1024
)

// configText returns the configuration file of an agent that initially knows the current endpoint list of d. If change
// is not nil, it is called to modify the keys of the file.
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

// PushedConfigText returns the configuration file of an agent without clients to which d pushes changes of its list.
// If change is not nil, it is called to modify the keys of the file.
func PushedConfigText(tb testing.TB, d *Discovery, change func(map[string]any)) []byte {
	tb.Helper()
	return configText(tb, "127.0.0.1:1", d, func(keys map[string]any) {
		keys["settings"] = json.RawMessage(strings.Replace(Settings, "on_request", "pushed", 1))
		if change != nil {
			change(keys)
		}
	})
}

// NewConfig returns the configuration of an agent that listens on the given address and initially knows the current
// endpoint list of d.
func NewConfig(tb testing.TB, listen string, d *Discovery) *config.Config {
	tb.Helper()
	cfg, err := config.Parse(configText(tb, listen, d, nil))
	if err != nil {
		tb.Fatal(err)
	}
	return cfg
}
