package discovery

import (
	"context"
	"testing"

	"fernbeam.example/fernbeam/internal/endpoint"
)

// An agent that stops applies no more settings, and does not ask for them repeatedly.
func TestStoppingAgentRequestsNoSettings(t *testing.T) {
	t.Parallel()
	w := &settingsWatch{service: "pay", agent: "pay-1", apply: func(context.Context, *endpoint.Settings) error { return ErrAgentStopping }}
	if want := "&service=pay&agent=pay-1&in_force=0"; w.query() != want {
		t.Errorf("asks %q, want %q", w.query(), want)
	}
	if w.receive(t.Context(), &endpoint.Settings{Version: 5}); w.query() != "" {
		t.Errorf("asks %q after the end", w.query())
	}
}
