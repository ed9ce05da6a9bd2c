package policy_test

import (
	"testing"

	"fernbeam.example/fernbeam/internal/balancer"
)

// Stats contains the servers' health states, the requests in flight and the limits.
func TestStatsShowStatesAndLimits(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	id, s := h.mustForward(nonIdempotentClass, 0)
	h.endAttempt(id, 0, s, balancer.StatusError, 5)
	h.mustForward(nonIdempotentClass, 0)
	stats := h.policy.Stats()
	// The limit of a server without responses is two attempts for one of three agents.
	if stats.States != [4]int{0, 1, 0, 1} || stats.InFlight != 1 || stats.Queued != 0 ||
		stats.ServerLimits != 2*2 {
		t.Errorf("stats %+v, want one server Unknown, one Unhealthy, one request in flight and limits of 4",
			stats)
	}
}
