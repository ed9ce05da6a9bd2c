package policy_test

import (
	"testing"

	"fernbeam.example/fernbeam/internal/balancer"
)

// A non-idempotent request is retried only after an attempt that did not execute.
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
			t.Errorf("ending %d: want a failure and nothing else, got %+v", status, actions)
		}
	}
	h := newHarness(t, testSettings(), 3)
	id, s := h.mustForward(nonIdempotentClass, 5)
	actions := h.endAttempt(id, 0, s, balancer.StatusConnectFailed, 50)
	if findAction(actions, balancer.ActionForward) == nil {
		t.Errorf("an attempt that was not executed was not retried: %+v", actions)
	}
}

// A request that is idempotent by key is retried only within the scope and the window in which duplicates
// are dropped. Server i of the harness is in cell i%2.
func TestRetryStaysInItsDeduplicationScopeAndWindow(t *testing.T) {
	h := newHarness(t, testSettings(), 6)
	cell := func(a balancer.Addr) int { return int(a[3]) % 2 }
	id, s := h.mustForward(byKeyClass, 5)
	actions := h.endAttempt(id, 0, s, balancer.StatusError, 20)
	a := findAction(actions, balancer.ActionForward)
	if a == nil || cell(a.Server) != cell(s) {
		t.Fatalf("a retry did not stay in its cell: %+v", actions)
	}
	h.now += 496 // just inside the 500 ms less the margin
	actions = h.endAttempt(id, 1, a.Server, balancer.StatusError, 20)
	if findAction(actions, balancer.ActionForward) != nil ||
		findAction(actions, balancer.ActionFail) == nil && h.policy.Stats().Queued == 0 {
		t.Errorf("a retry was forwarded after its window: %+v", actions)
	}
}

// A request that a server answers as bad fails at once, and no server is ejected.
func TestBadRequestFailsWithoutEjection(t *testing.T) {
	for class, c := range testSettings().Classes {
		h := newHarness(t, testSettings(), 4)
		id, s := h.mustForward(class, 7)
		h.now += 5
		actions := h.endAttempt(id, 0, s, balancer.StatusBadRequest, 5)
		if f := findAction(actions, balancer.ActionFail); f == nil || f.Request != id || len(actions) != 1 {
			t.Errorf("%s: %+v, want one failure", c.Name, actions)
		}
		if stats := h.policy.Stats(); stats.States != [4]int{0, 4, 0, 0} || stats.InFlight+stats.Queued != 0 {
			t.Errorf("%s: %+v, want all servers as they were and the request gone", c.Name, stats)
		}
	}
}

// The retry budget grows with served requests; without them there are only as many retries as it holds
// tokens.
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
			// A request may have no attempt: load is shed while little is served in time.
			retries += max(len(servers)-1, 0)
		}
		// The retry budget holds four tokens at the most.
		if served && retries < 15 || !served && retries > 4 {
			t.Errorf("four of five served: %v; %d retries", served, retries)
		}
	}
}
