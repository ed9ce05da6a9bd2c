package agent

import (
	"strings"
	"testing"
)

// Configurations read from bytes are checked as those of the file are.
func TestParseConfig(t *testing.T) {
	d := newDiscoveryServer(t)
	now, err := ParseConfig(pushedConfigText(t, d, func(c map[string]any) { c["management"] = "127.0.0.1:2" }))
	if err != nil {
		t.Fatal(err)
	}
	bad := pushedConfigText(t, d, func(c map[string]any) { c["seed"] = "none" })
	for text, want := range map[string]string{
		"{":         "config: unexpected end of JSON input",
		"{}":        "config: listen:",
		string(bad): "config: seed:",
	} {
		if _, err := ParseConfig([]byte(text)); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%.40s: %v, want %q", text, err, want)
		}
	}
	if _, err := ParseReload(pushedConfigText(t, d, nil), now); err == nil || !strings.HasPrefix(err.Error(), "config: management: missing") {
		t.Errorf("a key that went: %v", err)
	}
	if _, err := ParseReload(bad, now); err == nil {
		t.Error("a bad seed is taken at a reload")
	}
}
