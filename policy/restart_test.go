package policy_test

import (
	"testing"

	"fernbeam.example/fernbeam/internal/balancer"
)

// clockStepsMs are steps of a wall clock, in milliseconds: seconds, or an hour.
var clockStepsMs = []float64{-3_600_000, -5000, 5000, 3_600_000}

// forwardsAfterRestart is how many of 400 requests a server gets whose restart is listed at once, by a
// clock that was stepped meanwhile; before, it was listed as started beforeMs ago.
func forwardsAfterRestart(t *testing.T, beforeMs, stepMs float64) int {
	t.Helper()
	h := newHarness(t, testSettings(), 5)
	h.now = 1e9
	endpoint := startedEndpoint(4, h.now-beforeMs)
	h.updateList(balancer.ListDelta, endpoint)
	h.serve(200, 2)
	endpoint.StartedMs = h.now + stepMs
	h.updateList(balancer.ListDelta, endpoint)
	return h.serveAndCount(400, 2, serverAddress(4))
}

// A restart is detected whatever the wall clock was stepped by before it was listed: the server gets as
// few requests as with a true clock. This includes a start only seconds ago, which by a clock that was set
// back by more is later than the restart.
func TestRestartIsSeenAfterAStepOfTheWallClock(t *testing.T) {
	for _, beforeMs := range []float64{1000, 1_800_000} {
		trueShare := forwardsAfterRestart(t, beforeMs, 0)
		if warm := 400 / 5; trueShare == 0 || trueShare > warm/2 {
			t.Fatalf("with true clocks a server in slow start got %d of 400 requests; "+
				"want some, and at most %d", trueShare, warm/2)
		}
		for _, stepMs := range clockStepsMs {
			if stepMs == -5000 && beforeMs > 5000 {
				// The start is later, and the policy takes it as listed: internal/agent bounds its age.
				continue
			}
			if got := forwardsAfterRestart(t, beforeMs, stepMs); got != trueShare {
				t.Errorf("started %v ms before, clock stepped by %v ms: "+
					"a server in slow start got %d of 400 requests, want %d",
					beforeMs, stepMs, got, trueShare)
			}
		}
	}
}

// A repeated entry of the same process changes no decision.
func TestRepeatedEntryChangesNothing(t *testing.T) {
	for _, startedMs := range []float64{0, -100, 3_600_000} { // long ago, lately, ahead of the agent's clock
		forwards := func(repeat bool) int {
			h := newHarness(t, testSettings(), 5)
			endpoint := readyEndpoint(4)
			if startedMs != 0 {
				endpoint.StartedMs = h.now + startedMs
			}
			h.updateList(balancer.ListDelta, endpoint)
			got := 0
			for range 20 {
				got += h.serveAndCount(20, 2, serverAddress(4))
				if repeat {
					h.updateList(balancer.ListDelta, endpoint)
				}
			}
			return got
		}
		if got, want := forwards(true), forwards(false); got != want {
			t.Errorf("start of %v ms: listed repeatedly the server got %d of 400 requests, want %d",
				startedMs, got, want)
		}
	}
}

// A drain and then a restart that are listed while an attempt is in flight count as with true clocks: a
// draining server gets no attempts, and the response of the old process does not make the new one warm.
func TestDrainAndRestartUnderARequestAfterAStep(t *testing.T) {
	for _, stepMs := range append([]float64{0}, clockStepsMs...) {
		if stepMs == -5000 {
			continue // the start is later: as above
		}
		h := newHarness(t, testSettings(), 1)
		h.now = 1e9
		endpoint := startedEndpoint(0, h.now-1_800_000)
		h.updateList(balancer.ListDelta, endpoint)
		id, _ := h.mustForward(idempotentClass, 7)
		for i := 1; i < 5; i++ {
			h.updateList(balancer.ListDelta, readyEndpoint(i))
		}
		endpoint.State = balancer.Draining
		endpoint.StartedMs = h.now + stepMs
		h.updateList(balancer.ListDelta, endpoint)
		if got := h.serveAndCount(100, 2, serverAddress(0)); got != 0 {
			t.Errorf("clock stepped by %v ms: %d requests were sent to a server that drains", stepMs, got)
		}
		h.endAttempt(id, 0, serverAddress(0), balancer.StatusOK, 200)
		endpoint.State = balancer.Ready
		endpoint.StartedMs = h.now + stepMs
		h.updateList(balancer.ListDelta, endpoint)
		const most = 400 / 5 / 2
		if got := h.serveAndCount(400, 2, serverAddress(0)); got == 0 || got > most {
			t.Errorf("clock stepped by %v ms: a server in slow start got %d of 400 requests, "+
				"want some and at most %d", stepMs, got, most)
		}
	}
}
