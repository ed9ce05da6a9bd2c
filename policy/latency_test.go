package policy_test

import (
	"math"
	"testing"

	"fernbeam.example/fernbeam/internal/balancer"
)

// Responses that take 1.5 times as long as without load count as an overload of all servers in a large fleet,
// but not in a small one. An agent of a large fleet sees only a small part of the load, so the limits of the
// single servers react later there.
func TestOverloadLatencyIsHigherForFewAgents(t *testing.T) {
	few := runPhases(t, 3, phase{80, 200}, phase{120, 200})
	many := runPhases(t, 80, phase{80, 200}, phase{120, 200})
	if !math.IsInf(few[1].ConcurrencyLimit, 1) || many[1].ConcurrencyLimit >= 1 {
		t.Errorf("concurrency limit %.1f of three agents, %.1f of eighty, want infinity and less than 1",
			few[1].ConcurrencyLimit, many[1].ConcurrencyLimit)
	}
}

// The limits of the servers do not grow before the baseline latency is known. Until then each server may have
// two attempts of this agent in flight.
func TestNoServerLimitGrowsBeforeTheBaselineIsKnown(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	for i := range 49 { // the baseline is known from the 50th response on
		h.serve(1, 20)
		if limits := h.policy.Stats().ServerLimits; limits > 2*2 {
			t.Fatalf("sum of the limits is %.2f after %d responses, want at most 4", limits, i+1)
		}
	}
	for range 40 {
		servers := map[balancer.RequestID]balancer.Addr{}
		var forwarded []balancer.RequestID
		for range 3 {
			id, actions := h.request(idempotentClass, h.random.Uint64()|1)
			if a := findAction(actions, balancer.ActionForward); a != nil {
				forwarded = append(forwarded, id)
				servers[id] = a.Server
			}
		}
		h.now += 20
		for _, id := range forwarded {
			h.endAttempt(id, 0, servers[id], balancer.StatusOK, 20)
		}
	}
	if limits := h.policy.Stats().ServerLimits; limits <= 2*2 {
		t.Errorf("sum of the limits is %.2f with a known baseline, want more than 4", limits)
	}
}

// In a small fleet each agent sees most of the load, so a server that responds well within the objective is
// not overloaded, however low the baseline is. With a baseline of a fifteenth of the objective, responses
// that take a quarter of it decrease the limits of one of twenty agents, but not those of a single agent.
func TestOverloadLatencyFallsWithTheFleetSize(t *testing.T) {
	for _, agents := range []int{1, 20} {
		settings := testSettings()
		settings.FleetSize = agents
		h := newHarness(t, settings, 2)
		h.serve(60, 20)
		first := h.policy.Stats().ServerLimits
		h.serve(200, 75)
		if limits := h.policy.Stats().ServerLimits; (limits >= first) != (agents == 1) {
			t.Errorf("%d agents: limits %.1f after responses in a quarter of the objective, %.1f before",
				agents, limits, first)
		}
	}
}

// A server that is always slow is compared with its own baseline, not with the common one. Its limit
// stays the same while its responses take four times as long as those of the other server, although that
// is over 1.5 times the common baseline. The limit is decreased when they take twice its own baseline.
func TestSlowServerIsJudgedByItsOwnBaseline(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	serve := func(requests int, slowMs float64) {
		for range requests {
			h.now += 200
			id, s := h.mustForward(idempotentClass, h.random.Uint64()|1)
			responseMs := 30.0
			if s == serverAddress(0) {
				responseMs = slowMs
			}
			h.now += responseMs
			h.endAttempt(id, 0, s, balancer.StatusOK, responseMs)
		}
	}
	first := h.policy.Stats().ServerLimits
	serve(400, 120)
	if limits := h.policy.Stats().ServerLimits; limits < first {
		t.Errorf("limit of the slow server at its own baseline, four times the other's latency: "+
			"%.1f, want at least %.1f", limits, first)
	}
	serve(100, 240)
	if limits := h.policy.Stats().ServerLimits; limits >= first {
		t.Errorf("limit of the slow server at twice its own baseline: %.1f, want less than %.1f",
			limits, first)
	}
}

// A single agent whose first responses were fast, such as those of a few popular keys, must not treat all
// later ones as an overload. The later responses take 0.4 of the objective, which is above the agent's
// minimum latency limit, a third of the objective. The baseline has to rise to them, so that the limits grow
// again under load.
func TestSingleAgentRaisesItsBaseline(t *testing.T) {
	settings := testSettings()
	settings.FleetSize = 1
	h := newHarness(t, settings, 4)
	h.serve(100, 20)
	h.serve(2400, 120) // one at a time
	before := h.policy.Stats().ServerLimits
	h.serveRounds(100, 6, 120)
	if limits := h.policy.Stats().ServerLimits; limits <= before {
		t.Errorf("limits of a single agent went from %.1f to %.1f under load, want them to grow",
			before, limits)
	}
}

// An agent may be restarted while the fleet is overloaded, so its initial baseline is at most a quarter
// of the objective. Here a few fast responses are followed by responses that take 0.9 of the objective.
// After these, responses that take 0.47 of it still count as an overload, and the server's limit does not
// grow under load.
func TestOverloadAtTheStartDoesNotBecomeTheBaseline(t *testing.T) {
	h := newHarness(t, testSettings(), 1)
	h.serve(12, 20)  // gives the server a low baseline of its own
	h.serve(38, 270) // the rest of the 50 responses after which the common baseline is known
	before := h.policy.Stats().ServerLimits
	h.serveRounds(100, 3, 140)
	if limits := h.policy.Stats().ServerLimits; limits > before {
		t.Errorf("limit grew from %.1f to %.1f: responses in 0.9 of the objective became the baseline",
			before, limits)
	}
}
