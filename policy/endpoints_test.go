package policy_test

import (
	"testing"

	"fernbeam.example/fernbeam/internal/balancer"
)

// Servers that drain, or that a complete list does not name, get no attempts.
func TestDrainingAndRemovedServersGetNoAttempts(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	h.updateList(balancer.ListDelta, drainingEndpoint(0))
	h.checkNoKeyGoesTo(serverAddress(0), "a draining server")
	h.updateList(balancer.ListFull, readyEndpoint(0))
	h.checkNoKeyGoesTo(serverAddress(1), "a server that left the list")
}

// checkNoKeyGoesTo checks that a server, described for the message, gets none of 20 keys.
func (h *harness) checkNoKeyGoesTo(server balancer.Addr, description string) {
	h.t.Helper()
	for key := range uint64(20) {
		id, s := h.mustForward(idempotentClass, key+1)
		if s == server {
			h.t.Fatalf("sent to %s", description)
		}
		h.endAttempt(id, 0, s, balancer.StatusOK, 20)
	}
}
