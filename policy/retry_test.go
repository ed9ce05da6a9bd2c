package policy_test

import (
	"testing"

	"fernbeam.example/fernbeam/internal/balancer"
)

// A non-idempotent request is retried only if its attempt was not executed.
func TestNonIdempotentRequestIsNotRetried(t *testing.T) {
	for _, status := range []balancer.Status{
		balancer.StatusError, balancer.StatusTimeout, balancer.StatusReset, balancer.StatusCancelled,
	} {
		h := newHarness(t, testSettings(), 3)
		id, s := h.mustForward(nonIdempotentClass, 5)
		actions := h.endAttempt(id, 0, s, status, 50)
		if findAction(actions, balancer.ActionForward) != nil ||
			findAction(actions, balancer.ActionReject) != nil ||
			findAction(actions, balancer.ActionFail) == nil {
			t.Errorf("status %d: got actions %+v, want only a failure", status, actions)
		}
	}
	h := newHarness(t, testSettings(), 3)
	id, s := h.mustForward(nonIdempotentClass, 5)
	actions := h.endAttempt(id, 0, s, balancer.StatusConnectFailed, 50)
	if findAction(actions, balancer.ActionForward) == nil {
		t.Errorf("request was not retried after an attempt that was not executed: %+v", actions)
	}
}

// A request that is idempotent by key is retried only within its deduplication scope and window. Server i of
// the harness is in cell i%2.
func TestRetryStaysInItsDeduplicationScopeAndWindow(t *testing.T) {
	h := newHarness(t, testSettings(), 6)
	cell := func(a balancer.Addr) int { return int(a[3]) % 2 }
	id, s := h.mustForward(byKeyClass, 5)
	actions := h.endAttempt(id, 0, s, balancer.StatusError, 20)
	a := findAction(actions, balancer.ActionForward)
	if a == nil || cell(a.Server) != cell(s) {
		t.Fatalf("retry was not forwarded within the cell: %+v", actions)
	}
	h.now += 496 // just within the window of 500 ms less the margin
	actions = h.endAttempt(id, 1, a.Server, balancer.StatusError, 20)
	if findAction(actions, balancer.ActionForward) != nil ||
		findAction(actions, balancer.ActionFail) == nil && h.policy.Stats().Queued == 0 {
		t.Errorf("after the deduplication window: actions %+v, want the request failed or queued", actions)
	}
}

// A request that a server rejects as bad fails immediately, and no server is ejected.
func TestBadRequestFailsWithoutEjection(t *testing.T) {
	for class, c := range testSettings().Classes {
		h := newHarness(t, testSettings(), 4)
		id, s := h.mustForward(class, 7)
		h.now += 5
		actions := h.endAttempt(id, 0, s, balancer.StatusBadRequest, 5)
		if f := findAction(actions, balancer.ActionFail); f == nil || f.Request != id || len(actions) != 1 {
			t.Errorf("%s: actions %+v, want only a failure", c.Name, actions)
		}
		if stats := h.policy.Stats(); stats.States != [4]int{0, 4, 0, 0} || stats.InFlight+stats.Queued != 0 {
			t.Errorf("%s: stats %+v, want all servers unchanged and no request left", c.Name, stats)
		}
	}
}

// The retry budget grows with served requests. If none are served, the number of retries is limited to the
// initial tokens.
func TestRetryBudgetGrowsWithServedRequests(t *testing.T) {
	for _, served := range []bool{true, false} {
		h := newHarness(t, testSettings(), 8)
		retries := 0
		for i := range 100 {
			h.now += 500
			servers := h.endEachAttempt(idempotentClass, func(balancer.Addr) (balancer.Status, float64) {
				if served && i%5 > 0 {
					return balancer.StatusOK, 10
				}
				return balancer.StatusOverloaded, 1
			})
			// A request may have no attempt, because load is shed while few requests are served in time.
			retries += max(len(servers)-1, 0)
		}
		// The retry budget holds at most four tokens.
		if served && retries < 15 || !served && retries > 4 {
			t.Errorf("four of five requests served: %t; %d retries", served, retries)
		}
	}
}
