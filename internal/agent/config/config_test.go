package config_test

import (
	"strings"
	"testing"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/config"
)

// Configurations read from bytes are checked as those of the file are.
func TestParseConfig(t *testing.T) {
	d := agenttest.NewDiscovery(t)
	now, err := config.Parse(agenttest.PushedConfigText(t, d, func(c map[string]any) { c["management"] = "127.0.0.1:2" }))
	if err != nil {
		t.Fatal(err)
	}
	bad := agenttest.PushedConfigText(t, d, func(c map[string]any) { c["seed"] = "none" })
	for text, want := range map[string]string{
		"{":         "config: unexpected end of JSON input",
		"{}":        "config: listen:",
		string(bad): "config: seed:",
	} {
		if _, err := config.Parse([]byte(text)); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%.40s: %v, want %q", text, err, want)
		}
	}
	if _, err := config.ParseReload(agenttest.PushedConfigText(t, d, nil), now); err == nil || !strings.HasPrefix(err.Error(), "config: management: missing") {
		t.Errorf("a key that went: %v", err)
	}
	if _, err := config.ParseReload(bad, now); err == nil {
		t.Error("a bad seed is taken at a reload")
	}
}
