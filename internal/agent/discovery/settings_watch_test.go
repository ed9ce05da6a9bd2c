package discovery

import (
	"context"
	"testing"

	"fernbeam.example/fernbeam/internal/endpoint"
)

// An agent that is stopping applies no settings, and so must not request them again and again.
func TestStoppingAgentRequestsNoSettings(t *testing.T) {
	t.Parallel()
	watch := &settingsWatch{
		service: "pay",
		agent:   "pay-1",
		apply:   func(context.Context, *endpoint.Settings) error { return ErrAgentStopping },
	}
	if want := "&service=pay&agent=pay-1&in_force=0"; watch.query() != want {
		t.Errorf("query %q, want %q", watch.query(), want)
	}
	watch.receive(t.Context(), &endpoint.Settings{Version: 5})
	if watch.query() != "" {
		t.Errorf("query %q after ErrAgentStopping, want none", watch.query())
	}
}
