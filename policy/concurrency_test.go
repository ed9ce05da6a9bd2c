package policy_test

import (
	"testing"

	"fernbeam.example/fernbeam/internal/balancer"
)

// One agent of eighty gets a response of each server once in some seconds, so no server's own limit can
// follow an overload. An overload of all servers must show in the limit of all within a second or two.
func TestOverloadOfAllServersReducesAttemptsInFlight(t *testing.T) {
	unloaded := phase{80, 200}
	if stats := runPhases(t, 80, unloaded, phase{250, 60}); stats[1].InFlight > stats[0].InFlight+2 {
		t.Errorf("%d attempts in flight without load, %d when all responses take 0.8 of the objective",
			stats[0].InFlight, stats[1].InFlight)
	}
	if stats := runPhases(t, 80, unloaded, phase{95, 60}); stats[1].InFlight < stats[0].InFlight {
		t.Errorf("%d attempts in flight without load, %d when responses take a fifth longer",
			stats[0].InFlight, stats[1].InFlight)
	}
}

// An overload of all servers decreases the concurrency limit, to the servers' even share of the agents at
// the lowest, and responses without overload increase it.
func TestConcurrencyLimitRecovers(t *testing.T) {
	stats := runPhases(t, 3, phase{80, 200}, phase{250, 200})
	if stats[1].ConcurrencyLimit < 20 || stats[1].ConcurrencyLimit > 21 {
		t.Errorf("concurrency limit %.1f of three agents for 60 servers after a long overload, want 20",
			stats[1].ConcurrencyLimit)
	}
	stats = runPhases(t, 80, phase{80, 200}, phase{120, 200}, phase{80, 200})
	if stats[1].ConcurrencyLimit >= 1 || stats[2].ConcurrencyLimit < 2*stats[1].ConcurrencyLimit {
		t.Errorf("concurrency limit %.1f after an overload, %.1f after 200 responses without load",
			stats[1].ConcurrencyLimit, stats[2].ConcurrencyLimit)
	}
}

// A server's concurrency limit shrinks while it is overloaded, below one attempt: with many agents one
// attempt of each keeps an overloaded server busy.
func TestServerLimitShrinksUnderOverload(t *testing.T) {
	settings := testSettings()
	settings.FleetSize = 20 // many: each sees little of the load
	h := newHarness(t, settings, 1)
	h.serve(300, 20) // long enough for the baseline latency to be known
	grown := h.policy.Stats().ServerLimits
	for range 200 {
		if id, actions := h.request(idempotentClass, 1); findAction(actions, balancer.ActionForward) != nil {
			h.now += 140
			h.endAttempt(id, 0, serverAddress(0), balancer.StatusOK, 140)
		}
		h.now += 10
	}
	limit := h.policy.Stats().ServerLimits
	if limit >= grown {
		t.Errorf("responses took seven times as long and the limit went from %.2f to %.2f", grown, limit)
	}
	if limit >= 1 {
		t.Errorf("an overloaded server does not recover: limit %.2f", limit)
	}
}

// The first limit of a server is larger the fewer agents there are.
func TestFewAgentsBeginWithLargerServerLimits(t *testing.T) {
	for agents, want := range map[int]float64{0: 8, 1: 8, 2: 4, 4: 2, 80: 2} {
		settings := testSettings()
		settings.FleetSize = agents
		if limit := newHarness(t, settings, 1).policy.Stats().ServerLimits; limit != want {
			t.Errorf("%d agents: limit %v, want %v", agents, limit, want)
		}
	}
}

// An attempt that many later ones have overtaken is lost: it does not count against the limit of its
// server (two, for one of three agents), and its end frees no place.
func TestLostAttemptDoesNotCountAgainstTheServerLimit(t *testing.T) {
	h := newHarness(t, testSettings(), 1)
	lost, s := h.mustForward(nonIdempotentClass, 0)
	for range 12 { // 480 ms, and the lost one has 600
		h.now += 5
		id, _ := h.mustForward(nonIdempotentClass, 0)
		h.now += 35
		h.endAttempt(id, 0, s, balancer.StatusOK, 35)
	}
	h.mustForward(nonIdempotentClass, 0)
	h.mustForward(nonIdempotentClass, 0) // the limit permits two beside the lost one
	if _, actions := h.request(nonIdempotentClass, 0); findAction(actions, balancer.ActionForward) != nil {
		t.Fatalf("a third was sent to a limit of two: %+v", h.policy.Stats())
	}
	actions := h.endAttempt(lost, 0, s, balancer.StatusTimeout, 600)
	if a := findAction(actions, balancer.ActionForward); a != nil {
		t.Errorf("the end of the lost attempt freed capacity: %+v", a)
	}
}

// The concurrency limit grows by a twentieth of itself in a response time without overload, not by one
// for each response: one attempt more of each of eighty agents would undo every decrease. In a second
// without overload, some twelve response times, it grows, and by less than itself.
func TestConcurrencyLimitGrowsByAPartOfItself(t *testing.T) {
	stats := runPhases(t, 80, phase{80, 200}, phase{120, 200}, phase{80, 25})
	if stats[2].ConcurrencyLimit <= stats[1].ConcurrencyLimit ||
		stats[2].ConcurrencyLimit >= 2*stats[1].ConcurrencyLimit {
		t.Errorf("concurrency limit went from %.2f to %.2f in a second without load",
			stats[1].ConcurrencyLimit, stats[2].ConcurrencyLimit)
	}
}

// An attempt that many others overtook, at a server that responds well since, lost its response: the
// server keeps its limit and its health state, and has no cooldown. A few others are no evidence: of many
// agents each sees a server too rarely to know how it responds now. Nor is a response lost where the others
// are slow as well. Both times the server has a cooldown as a slow one.
func TestLostResponseIsNoSignOfOverload(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	h.serve(50, 20)
	s := h.loseResponse()
	if n := h.serveAndCount(60, 1, s); n == 0 {
		t.Error("after a lost response its server got none of the next 60 new keys")
	}
	h.timeOutAmong(s, func() {
		for range 3 {
			h.now += 160
			h.serve(1, 20)
		}
		h.now += 40
	}, 580)
	if n := h.serveAndCount(20, 1, s); n != 0 {
		t.Errorf("rarely seen: its server got %d of the next 20 new keys, want it in cooldown", n)
	}
	h.now += 16 * h.settings.Contract.SlowStartMs / 10 // past the longest cooldown
	h.serve(20, 20)
	h.timeOutAmong(s, func() {
		h.serve(4, 145)
		h.now += 20
	}, 600)
	if n := h.serveAndCount(20, 1, s); n != 0 {
		t.Errorf("an overload: its server got %d of the next 20 new keys, want it in cooldown", n)
	}
}

// loseResponse has an attempt time out that many others have overtaken, checks that nothing is learned
// of its server, and returns the server.
func (h *harness) loseResponse() balancer.Addr {
	h.t.Helper()
	lost, s := h.mustForward(idempotentClass, h.random.Uint64()|1)
	h.serve(28, 20) // 560 ms of the 600 that the request has
	before := h.policy.Stats()
	h.now += 20
	h.endAttempt(lost, 0, s, balancer.StatusTimeout, 580)
	if stats := h.policy.Stats(); stats.ServerLimits < before.ServerLimits ||
		stats.OverloadedFraction != before.OverloadedFraction || stats.States != [4]int{2, 0, 0, 0} {
		h.t.Errorf("a lost response: stats %+v, before %+v", stats, before)
	}
	return s
}

// timeOutAmong has an attempt at a server time out, after others were served meanwhile. The other one of
// the harness's two servers drains until then, so that all requests go to this one.
func (h *harness) timeOutAmong(s balancer.Addr, meanwhile func(), tookMs float64) {
	h.t.Helper()
	other := 0
	if s == serverAddress(0) {
		other = 1
	}
	h.updateList(balancer.ListDelta, drainingEndpoint(other))
	id, to := h.mustForward(idempotentClass, h.random.Uint64()|1)
	if to != s {
		h.t.Fatalf("sent to %v while the other drains", to)
	}
	meanwhile()
	h.endAttempt(id, 0, s, balancer.StatusTimeout, tookMs)
	h.updateList(balancer.ListDelta, readyEndpoint(other))
}

// Of very many agents that start at once each has no more in flight than its part of six attempts at each
// server, less for servers in slow start; of eight agents the servers' limits are the bound.
func TestManyNewAgentsShareTheInitialLimit(t *testing.T) {
	for _, c := range []struct{ agents, restarted, most int }{
		{agents: 8, restarted: 0, most: 40},
		{agents: 108, restarted: 0, most: 13},
		{agents: 108, restarted: 100, most: 8},
	} {
		settings := testSettings()
		settings.FleetSize = c.agents
		h := newHarness(t, settings, 0)
		endpoints := readyEndpoints(200)
		for i := range c.restarted {
			endpoints[i].StartedMs = h.now
		}
		h.updateList(balancer.ListCached, endpoints...)
		inFlight := 0
		for range 40 {
			_, actions := h.request(idempotentClass, h.random.Uint64()|1)
			if findAction(actions, balancer.ActionForward) != nil {
				inFlight++
			}
		}
		if inFlight > c.most || inFlight < c.most/2 {
			t.Errorf("one of %d new agents, %d of 200 servers in slow start, has %d in flight, "+
				"want %d at the most", c.agents, c.restarted, inFlight, c.most)
		}
	}
}
