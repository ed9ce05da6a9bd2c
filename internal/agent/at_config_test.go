package agent

import (
	"encoding/json"
	"strings"
	"testing"
)

// configText is the configuration file of an agent that knows the list of the discovery as it is now. Change may
// change its keys; nil: nothing.
func configText(t testing.TB, listen string, d *fakeDiscovery, change func(map[string]any)) []byte {
	t.Helper()
	keys := map[string]any{
		"name":      "a1",
		"listen":    listen,
		"discovery": d.Listener.Addr().String(),
		"seed":      "7",
		"limits":    map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known":     d.list,
		"settings":  json.RawMessage(testSettings),
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

// pushedConfigText is the configuration file of an agent without clients, to which changes of the list are pushed.
func pushedConfigText(t testing.TB, d *fakeDiscovery, change func(map[string]any)) []byte {
	t.Helper()
	return configText(t, "127.0.0.1:1", d, func(keys map[string]any) {
		keys["settings"] = json.RawMessage(strings.Replace(testSettings, "on_request", "pushed", 1))
		if change != nil {
			change(keys)
		}
	})
}

// newTestConfig is the configuration of an agent that knows the list of the discovery as it is now.
func newTestConfig(t testing.TB, listen string, d *fakeDiscovery) *Config {
	t.Helper()
	cfg, err := ParseConfig(configText(t, listen, d, nil))
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}
