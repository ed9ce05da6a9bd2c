package policy_test

import (
	"math"
	"testing"

	"fernbeam.example/fernbeam/internal/balancer"
)

// For few agents, responses that take one and a half times as long as without load are no overload; for
// many they are: each of these sees little of the load and reacts later.
func TestOverloadLatencyIsHigherForFewAgents(t *testing.T) {
	few := runPhases(t, 3, phase{80, 200}, phase{120, 200})
	many := runPhases(t, 80, phase{80, 200}, phase{120, 200})
	if !math.IsInf(few[1].ConcurrencyLimit, 1) || many[1].ConcurrencyLimit >= 1 {
		t.Errorf("concurrency limit %.1f of three agents, %.1f of eighty, after responses 1.5 times as long",
			few[1].ConcurrencyLimit, many[1].ConcurrencyLimit)
	}
}

// No server's limit grows before the baseline latency is known. Until then a server may have two attempts
// in flight of one of many agents.
func TestNoServerLimitGrowsBeforeTheBaselineIsKnown(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	for i := range 49 { // the baseline is known from the 50th response on
		h.serve(1, 20)
		if limits := h.policy.Stats().ServerLimits; limits > 2*2 {
			t.Fatalf("limits %.2f after %d responses", limits, i+1)
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
		t.Errorf("no limit grew once the baseline was known: %.2f", limits)
	}
}

// Few agents see most of the load: a server that responds well within the objective is not overloaded,
// however low the baseline is. After responses in a quarter of the objective, where the baseline is a
// fifteenth, the limits of a single agent stay, and those of one of twenty are decreased.
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

// A server that is always slow is judged by its own baseline, not by that of all: at four times the
// other's response time, over one and a half times the common baseline, its limit stays; at twice its own
// it is decreased.
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
		t.Errorf("at its own baseline latency, four times the other's, "+
			"the slow server's limit was cut: %.1f of %.1f", limits, first)
	}
	serve(100, 240)
	if limits := h.policy.Stats().ServerLimits; limits >= first {
		t.Errorf("at twice its own baseline latency the slow server's limit stays: %.1f of %.1f",
			limits, first)
	}
}

// A single agent whose first responses were quick (those of a few popular keys) must not take all that
// follow for overload. Its baseline has to follow responses in 0.4 of the objective, above its least latency
// limit of a third: under load its limits grow again.
func TestSingleAgentRaisesItsBaseline(t *testing.T) {
	settings := testSettings()
	settings.FleetSize = 1
	h := newHarness(t, settings, 4)
	h.serve(100, 20)
	h.serve(2400, 120) // one at a time
	before := h.policy.Stats().ServerLimits
	h.serveRounds(100, 6, 120)
	if limits := h.policy.Stats().ServerLimits; limits <= before {
		t.Errorf("under load at its baseline latency a single agent's limits went from %.1f to %.1f",
			before, limits)
	}
}

// Agents may be restarted one by one while the fleet is overloaded. The baseline of the first responses
// is at most a quarter of the objective: after quick responses and then responses in 0.9 of the
// objective, a server's responses in 0.47 of it still count as overload, and its limit does not grow
// under load.
func TestOverloadAtTheStartDoesNotBecomeTheBaseline(t *testing.T) {
	h := newHarness(t, testSettings(), 1)
	h.serve(12, 20)  // the server's own baseline is short
	h.serve(38, 270) // the rest of the 50 responses by which the baseline is first known
	before := h.policy.Stats().ServerLimits
	h.serveRounds(100, 3, 140)
	if limits := h.policy.Stats().ServerLimits; limits > before {
		t.Errorf("responses in 0.9 of the objective became the baseline: the limit grew from %.1f to %.1f",
			before, limits)
	}
}
