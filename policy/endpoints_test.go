package policy_test

import (
	"testing"

	"fernbeam.example/fernbeam/internal/balancer"
)

// Servers that are draining, or missing in a full list, get no attempts.
func TestDrainingAndRemovedServersGetNoAttempts(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	h.updateList(balancer.ListDelta, drainingEndpoint(0))
	h.checkNoKeyGoesTo(serverAddress(0), "draining server")
	h.updateList(balancer.ListFull, readyEndpoint(0))
	h.checkNoKeyGoesTo(serverAddress(1), "removed server")
}

// checkNoKeyGoesTo checks that a server gets no request of 20 keys. description appears in the error message.
func (h *harness) checkNoKeyGoesTo(server balancer.Addr, description string) {
	h.t.Helper()
	for key := range uint64(20) {
		id, s := h.mustForward(idempotentClass, key+1)
		if s == server {
			h.t.Fatalf("request was forwarded to a %s", description)
		}
		h.endAttempt(id, 0, s, balancer.StatusOK, 20)
	}
}
