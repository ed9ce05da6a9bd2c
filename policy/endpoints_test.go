package policy_test

import (
	"testing"

	"fernbeam.example/fernbeam/internal/balancer"
)

// Servers that drain, or that a complete list does not name, get no attempts.
func TestDrainingAndRemovedServersGetNoAttempts(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	h.updateList(balancer.ListDelta,
		balancer.Endpoint{Server: serverAddress(0), State: balancer.Draining, Weight: 1})
	for key := range uint64(20) {
		id, s := h.mustForward(idempotentClass, key+1)
		if s == serverAddress(0) {
			t.Fatal("sent to a draining server")
		}
		h.endAttempt(id, 0, s, balancer.StatusOK, 20)
	}
	h.updateList(balancer.ListFull,
		balancer.Endpoint{Server: serverAddress(0), State: balancer.Ready, Weight: 1})
	for key := range uint64(20) {
		id, s := h.mustForward(idempotentClass, key+1)
		if s == serverAddress(1) {
			t.Fatal("sent to a server that left the list")
		}
		h.endAttempt(id, 0, s, balancer.StatusOK, 20)
	}
}
