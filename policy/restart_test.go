package policy_test

import (
	"testing"

	"fernbeam.example/fernbeam/internal/balancer"
)

// clockStepsMs contains steps of a wall clock by a few seconds and by an hour, in milliseconds.
var clockStepsMs = []float64{-3_600_000, -5000, 5000, 3_600_000}

// forwardsAfterRestart lists the restart of a server with the time of a clock that was stepped by stepMs,
// and returns how many of the next 400 requests the server gets. Before the restart the server was listed
// as started beforeMs ago.
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

// A restart is detected even if the wall clock was stepped before the restart was listed: the server gets
// as few requests as with an accurate clock. This also holds if the previous start was only seconds ago.
// Its time is later than that of the restart if the clock was set back by more than these seconds.
func TestRestartIsDetectedAfterClockStep(t *testing.T) {
	for _, beforeMs := range []float64{1000, 1_800_000} {
		trueShare := forwardsAfterRestart(t, beforeMs, 0)
		if warm := 400 / 5; trueShare == 0 || trueShare > warm/2 {
			t.Fatalf("server in slow start got %d of 400 requests with an accurate clock, "+
				"want some and at most %d", trueShare, warm/2)
		}
		for _, stepMs := range clockStepsMs {
			if stepMs == -5000 && beforeMs > 5000 {
				// The listed start is still later than the previous one. The policy uses it as it is,
				// because internal/agent bounds the age.
				continue
			}
			if got := forwardsAfterRestart(t, beforeMs, stepMs); got != trueShare {
				t.Errorf("previous start %v ms ago, clock stepped by %v ms: "+
					"server in slow start got %d of 400 requests, want %d",
					beforeMs, stepMs, got, trueShare)
			}
		}
	}
}

// Listing the same process again does not change any decision.
func TestRepeatedEntryChangesNothing(t *testing.T) {
	for _, startedMs := range []float64{0, -100, 3_600_000} { // long ago, recent, ahead of the agent's clock
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
			t.Errorf("start time offset %v ms: repeatedly listed server got %d of 400 requests, want %d",
				startedMs, got, want)
		}
	}
}

// A drain and a restart that are listed while an attempt is in flight have the same effect as with accurate
// clocks: a draining server gets no attempts, and a response of the old process does not make the new one
// warm.
func TestDrainAndRestartDuringRequestAfterClockStep(t *testing.T) {
	for _, stepMs := range append([]float64{0}, clockStepsMs...) {
		if stepMs == -5000 {
			continue // the listed start is later than the previous one, as above
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
			t.Errorf("clock stepped by %v ms: draining server got %d requests", stepMs, got)
		}
		h.endAttempt(id, 0, serverAddress(0), balancer.StatusOK, 200)
		endpoint.State = balancer.Ready
		endpoint.StartedMs = h.now + stepMs
		h.updateList(balancer.ListDelta, endpoint)
		const maxRequests = 400 / 5 / 2
		if got := h.serveAndCount(400, 2, serverAddress(0)); got == 0 || got > maxRequests {
			t.Errorf("clock stepped by %v ms: server in slow start got %d of 400 requests, "+
				"want some and at most %d", stepMs, got, maxRequests)
		}
	}
}
