package policy_test

import (
	"testing"

	"fernbeam.example/fernbeam/internal/balancer"
)

// A server whose response takes at least twice as long as without load is in cooldown: requests of new keys
// skip it. A server that is a fifth slower is not in cooldown, and neither is a slow server in a small
// fleet, where its concurrency limit adapts instead.
func TestOverloadedServerIsInCooldown(t *testing.T) {
	forwardsAfter := func(agents int, responseMs float64) int {
		settings := testSettings()
		settings.FleetSize = agents
		h := newHarness(t, settings, 6)
		for range 100 {
			h.now += 100
			h.serve(1, 50)
		}
		id, s := h.mustForward(idempotentClass, h.random.Uint64()|1)
		h.now += responseMs
		h.endAttempt(id, 0, s, balancer.StatusOK, responseMs)
		return h.serveAndCount(60, 2, s)
	}
	if n := forwardsAfter(80, 200); n != 0 {
		t.Errorf("server that took four times as long got %d of the next 60 new keys, want 0", n)
	}
	if n := forwardsAfter(80, 60); n == 0 {
		t.Error("server that took a fifth longer got none of the next 60 new keys")
	}
	if n := forwardsAfter(3, 140); n == 0 {
		t.Error("fleet of three agents: server that took 2.8 times as long got none of the next 60 new keys")
	}
}

// A server that was overloaded or late is in cooldown: requests of new keys skip it. If most servers were
// overloaded or late, the fleet as a whole is overloaded, and cooldowns are ignored.
func TestServerIsInCooldownUnlessMostAreOverloaded(t *testing.T) {
	for _, c := range []struct {
		name      string
		status    balancer.Status
		latencyMs float64
		lateFirst int // number of servers that are late before the one under test
		cooldown  bool
	}{
		{"in time", balancer.StatusOK, 20, 0, false},
		{"overloaded", balancer.StatusOverloaded, 20, 0, true},
		{"late", balancer.StatusOK, 400, 0, true},
		{"late, like most others", balancer.StatusOK, 400, 4, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, testSettings(), 6)
			for range 40 {
				h.now += 500
				h.serve(1, 20)
			}
			h.makeLate(c.lateFirst)
			id, s := h.mustForward(idempotentClass, h.random.Uint64()|1)
			h.now++
			h.serveRetry(id, h.endAttempt(id, 0, s, c.status, c.latencyMs), 1)
			if n := h.serveAndCount(60, 1, s); (n == 0) != c.cooldown {
				t.Errorf("server got %d of the next 60 new keys", n)
			}
		})
	}
}

// makeLate makes the given number of servers respond late.
func (h *harness) makeLate(servers int) {
	h.t.Helper()
	for late := map[balancer.Addr]bool{}; len(late) < servers; {
		h.now++
		id, s := h.mustForward(idempotentClass, h.random.Uint64()|1)
		h.endAttempt(id, 0, s, balancer.StatusOK, 400)
		late[s] = true
	}
}
