package policy_test

import (
	"testing"

	"fernbeam.example/fernbeam/internal/balancer"
	"fernbeam.example/fernbeam/policy"
)

// failPoll hands the policy the failure of a call for the endpoint list, and returns the timer that it sets;
// nil if it sets none.
func failPoll(b *policy.Balancer, now float64) *balancer.Action {
	failed := balancer.Event{Kind: balancer.EventList, ListUpdate: balancer.ListFailed}
	return findAction(b.Handle(now, &failed, nil), balancer.ActionSetTimer)
}

// The call for the endpoint list is made within the contract's time after the start and after each
// failure, one at a time.
func TestFailedPollIsRepeated(t *testing.T) {
	settings := testSettings()
	settings.DiscoveryMode = balancer.DiscoveryOnRequest
	b := newPolicy(t, settings, 3)
	first := findAction(b.Start(0, nil), balancer.ActionSetTimer)
	if first == nil || first.Ms > settings.Contract.PollWithinMs {
		t.Fatalf("no call within the contract's time: %+v", first)
	}
	fired := balancer.Event{Kind: balancer.EventTimer, Token: first.Token}
	if findAction(b.Handle(first.Ms, &fired, nil), balancer.ActionWatchList) == nil {
		t.Fatal("the timer did not make the call")
	}
	for range 8 {
		retryTimer := failPoll(b, first.Ms)
		if retryTimer == nil || retryTimer.Ms > settings.Contract.PollWithinMs {
			t.Fatalf("a failed call was not repeated in the contract's time: %+v", retryTimer)
		}
		if more := failPoll(b, first.Ms); more != nil {
			t.Fatalf("a second call was scheduled beside the one that waits: %+v", more)
		}
		b.Handle(first.Ms, &balancer.Event{Kind: balancer.EventTimer, Token: retryTimer.Token}, nil)
	}
}

// Eighty agents that start together, as after a mass restart, or whose calls fail together, spread their
// next calls to discovery over time; a few agents need no such time.
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
		most := 0
		for _, n := range calls {
			most = max(most, n)
		}
		return most
	}
	if n := busiestSecond(80, 0); n > 35 {
		t.Errorf("%d of 80 agents call in one second after a start", n)
	}
	if n := busiestSecond(80, 1); n > 35 {
		t.Errorf("%d of 80 agents call in one second after a failure", n)
	}
	if n := busiestSecond(3, 0); n != 3 {
		t.Errorf("%d of 3 agents call in the first second", n)
	}
}

// A change counts as notified up to 6 s after discovery could be called. A call without a response is
// given up after 2.25 s; whatever failed before, and with any number of agents, the next call must leave
// a second of what remains for its response.
func TestFailedPollIsRepeatedInTimeForTheContract(t *testing.T) {
	settings := testSettings()
	settings.DiscoveryMode = balancer.DiscoveryOnRequest
	settings.FleetSize = 300
	settings.Contract.PollWithinMs = 10000
	mostMs := 0.0
	for seed := range uint64(50) {
		b := newPolicy(t, settings, seed)
		call := findAction(b.Start(0, nil), balancer.ActionSetTimer)
		for range 8 {
			b.Handle(0, &balancer.Event{Kind: balancer.EventTimer, Token: call.Token}, nil)
			call = failPoll(b, 0)
			mostMs = max(mostMs, call.Ms)
		}
	}
	if mostMs > 6000-2250-1000 || mostMs < 1000 {
		t.Errorf("a failed call is repeated after %.0f ms at the most", mostMs)
	}
}

// Where agents call discovery for changes, an ejection does not fetch the complete list.
func TestEjectionFetchesNoListInOnRequestMode(t *testing.T) {
	settings := testSettings()
	settings.DiscoveryMode = balancer.DiscoveryOnRequest
	h := newHarness(t, settings, 4)
	id, s := h.mustForward(idempotentClass, 7)
	if a := findAction(h.endAttempt(id, 0, s, balancer.StatusError, 5), balancer.ActionFetchList); a != nil {
		t.Error("an ejection fetched the complete list")
	}
	if h.healthStates()[balancer.Unhealthy] != 1 {
		t.Errorf("the failure did not eject its server: %v", h.healthStates())
	}
}
