package config_test

import (
	"strings"
	"testing"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/config"
)

// Configurations parsed from bytes are validated like those read from a file.
func TestParseConfig(t *testing.T) {
	discovery := agenttest.NewDiscovery(t)
	withAdmin := agenttest.PushedConfigText(t, discovery, func(keys map[string]any) {
		keys["management"] = "127.0.0.1:2"
	})
	inForce, err := config.Parse(withAdmin)
	if err != nil {
		t.Fatal(err)
	}
	badSeed := agenttest.PushedConfigText(t, discovery, func(keys map[string]any) { keys["seed"] = "none" })
	for text, want := range map[string]string{
		"{":             "config: unexpected end of JSON input",
		"{}":            "config: listen:",
		string(badSeed): "config: seed:",
	} {
		if _, err := config.Parse([]byte(text)); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%.40s: %v, want %q", text, err, want)
		}
	}
	_, err = config.ParseReload(agenttest.PushedConfigText(t, discovery, nil), inForce)
	if err == nil || !strings.HasPrefix(err.Error(), "config: management: missing") {
		t.Errorf("reload without a key of the configuration in force: %v", err)
	}
	if _, err := config.ParseReload(badSeed, inForce); err == nil {
		t.Error("reload accepted a bad seed")
	}
}
