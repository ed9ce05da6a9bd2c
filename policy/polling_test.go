package policy_test

import (
	"testing"

	"fernbeam.example/fernbeam/internal/balancer"
	"fernbeam.example/fernbeam/policy"
)

// failPoll passes the failure of a call for the endpoint list to the policy. It returns the timer that the
// policy sets, or nil if there is none.
func failPoll(b *policy.Balancer, now float64) *balancer.Action {
	failed := balancer.Event{Kind: balancer.EventList, ListUpdate: balancer.ListFailed}
	return findAction(b.Handle(now, &failed, nil), balancer.ActionSetTimer)
}

// The endpoint list is polled within the time of the contract after the start and after each failure, by one
// call at a time.
func TestFailedPollIsRepeated(t *testing.T) {
	settings := testSettings()
	settings.DiscoveryMode = balancer.DiscoveryOnRequest
	b := newPolicy(t, settings, 3)
	first := findAction(b.Start(0, nil), balancer.ActionSetTimer)
	if first == nil || first.Ms > settings.Contract.PollWithinMs {
		t.Fatalf("no call within the time of the contract: %+v", first)
	}
	fired := balancer.Event{Kind: balancer.EventTimer, Token: first.Token}
	if findAction(b.Handle(first.Ms, &fired, nil), balancer.ActionWatchList) == nil {
		t.Fatal("timer did not make the call")
	}
	for range 8 {
		retryTimer := failPoll(b, first.Ms)
		if retryTimer == nil || retryTimer.Ms > settings.Contract.PollWithinMs {
			t.Fatalf("failed call is not repeated within the time of the contract: %+v", retryTimer)
		}
		if more := failPoll(b, first.Ms); more != nil {
			t.Fatalf("second call was scheduled while one is pending: %+v", more)
		}
		b.Handle(first.Ms, &balancer.Event{Kind: balancer.EventTimer, Token: retryTimer.Token}, nil)
	}
}

// Eighty agents that start at the same time, as in a mass restart, or whose calls fail at the same time,
// spread their next calls to discovery over time. The agents of a small fleet do not need to.
func TestPollsAreSpreadByFleetSize(t *testing.T) {
	settings := testSettings()
	settings.DiscoveryMode = balancer.DiscoveryOnRequest
	busiestSecond := func(agents, failures int) int {
		settings.FleetSize = agents
		calls := map[int]int{}
		for seed := range agents {
			b := newPolicy(t, settings, uint64(seed))
			call := findAction(b.Start(0, nil), balancer.ActionSetTimer)
			for range failures {
				b.Handle(0, &balancer.Event{Kind: balancer.EventTimer, Token: call.Token}, nil)
				call = failPoll(b, 0)
			}
			calls[int(call.Ms/1000)]++
		}
		maxCalls := 0
		for _, n := range calls {
			maxCalls = max(maxCalls, n)
		}
		return maxCalls
	}
	if n := busiestSecond(80, 0); n > 35 {
		t.Errorf("%d of 80 agents call in the same second after a start, want at most 35", n)
	}
	if n := busiestSecond(80, 1); n > 35 {
		t.Errorf("%d of 80 agents call in the same second after a failure, want at most 35", n)
	}
	if n := busiestSecond(3, 0); n != 3 {
		t.Errorf("%d of 3 agents call in the first second, want all", n)
	}
}

// An agent must get a change within 6 s after discovery has become reachable. A call without a response
// may take 2.25 s of that time before it times out, and one second must remain for the response to the
// next call. The delay between the two calls must fit into the rest, regardless of the number of previous
// failures and of agents.
func TestFailedPollIsRepeatedInTimeForTheContract(t *testing.T) {
	settings := testSettings()
	settings.DiscoveryMode = balancer.DiscoveryOnRequest
	settings.FleetSize = 300
	settings.Contract.PollWithinMs = 10000
	maxDelayMs := 0.0
	for seed := range uint64(50) {
		b := newPolicy(t, settings, seed)
		call := findAction(b.Start(0, nil), balancer.ActionSetTimer)
		for range 8 {
			b.Handle(0, &balancer.Event{Kind: balancer.EventTimer, Token: call.Token}, nil)
			call = failPoll(b, 0)
			maxDelayMs = max(maxDelayMs, call.Ms)
		}
	}
	if maxDelayMs > 6000-2250-1000 || maxDelayMs < 1000 {
		t.Errorf("failed call is repeated after at most %.0f ms, want 1000 to 2750 ms", maxDelayMs)
	}
}

// If agents poll discovery for changes, an ejection does not fetch the full list.
func TestEjectionFetchesNoListInOnRequestMode(t *testing.T) {
	settings := testSettings()
	settings.DiscoveryMode = balancer.DiscoveryOnRequest
	h := newHarness(t, settings, 4)
	id, s := h.mustForward(idempotentClass, 7)
	if a := findAction(h.endAttempt(id, 0, s, balancer.StatusError, 5), balancer.ActionFetchList); a != nil {
		t.Error("ejection fetched the full list")
	}
	if h.healthStates()[balancer.Unhealthy] != 1 {
		t.Errorf("health states after the failure: %v, want one Unhealthy", h.healthStates())
	}
}
