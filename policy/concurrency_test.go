package policy_test

import (
	"testing"

	"fernbeam.example/fernbeam/internal/balancer"
)

// One of eighty agents gets a response from each server only every few seconds, so the limits of single
// servers cannot follow an overload. An overload of all servers must decrease the limit for all servers
// within one or two seconds.
func TestOverloadOfAllServersReducesAttemptsInFlight(t *testing.T) {
	unloaded := phase{80, 200}
	if stats := runPhases(t, 80, unloaded, phase{250, 60}); stats[1].InFlight > stats[0].InFlight+2 {
		t.Errorf("%d attempts in flight without load, %d when responses take 0.8 of the objective",
			stats[0].InFlight, stats[1].InFlight)
	}
	if stats := runPhases(t, 80, unloaded, phase{95, 60}); stats[1].InFlight < stats[0].InFlight {
		t.Errorf("%d attempts in flight without load, %d when responses take a fifth longer",
			stats[0].InFlight, stats[1].InFlight)
	}
}

// An overload of all servers decreases the concurrency limit, down to one attempt per server shared by all
// agents, and responses without overload increase it.
func TestConcurrencyLimitRecovers(t *testing.T) {
	stats := runPhases(t, 3, phase{80, 200}, phase{250, 200})
	if stats[1].ConcurrencyLimit < 20 || stats[1].ConcurrencyLimit > 21 {
		t.Errorf("concurrency limit %.1f of one of three agents after a long overload, want 20",
			stats[1].ConcurrencyLimit)
	}
	stats = runPhases(t, 80, phase{80, 200}, phase{120, 200}, phase{80, 200})
	if stats[1].ConcurrencyLimit >= 1 || stats[2].ConcurrencyLimit < 2*stats[1].ConcurrencyLimit {
		t.Errorf("concurrency limit %.1f after an overload, %.1f after 200 responses without load",
			stats[1].ConcurrencyLimit, stats[2].ConcurrencyLimit)
	}
}

// The concurrency limit of an overloaded server falls below one attempt: in a large fleet even one attempt
// of each agent keeps an overloaded server busy.
func TestServerLimitShrinksUnderOverload(t *testing.T) {
	settings := testSettings()
	settings.FleetSize = 20 // large enough for each agent to see only a small part of the load
	h := newHarness(t, settings, 1)
	h.serve(300, 20) // enough responses to know the baseline latency
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
		t.Errorf("limit went from %.2f to %.2f while responses took seven times as long", grown, limit)
	}
	if limit >= 1 {
		t.Errorf("limit of an overloaded server is %.2f, want less than 1", limit)
	}
}

// The initial limit of a server is larger in small fleets.
func TestFewAgentsBeginWithLargerServerLimits(t *testing.T) {
	for agents, want := range map[int]float64{0: 8, 1: 8, 2: 4, 4: 2, 80: 2} {
		settings := testSettings()
		settings.FleetSize = agents
		if limit := newHarness(t, settings, 1).policy.Stats().ServerLimits; limit != want {
			t.Errorf("%d agents: limit %v, want %v", agents, limit, want)
		}
	}
}

// An attempt that many later ones have overtaken is presumed lost: it does not count against the limit of
// its server, and its end does not free capacity. The limit is two attempts, because the agent is one of
// three.
func TestLostAttemptDoesNotCountAgainstTheServerLimit(t *testing.T) {
	h := newHarness(t, testSettings(), 1)
	lost, s := h.mustForward(nonIdempotentClass, 0)
	for range 12 { // 480 ms, less than the 600 ms of the lost attempt
		h.now += 5
		id, _ := h.mustForward(nonIdempotentClass, 0)
		h.now += 35
		h.endAttempt(id, 0, s, balancer.StatusOK, 35)
	}
	h.mustForward(nonIdempotentClass, 0)
	h.mustForward(nonIdempotentClass, 0) // the limit permits two attempts besides the lost one
	if _, actions := h.request(nonIdempotentClass, 0); findAction(actions, balancer.ActionForward) != nil {
		t.Fatalf("third attempt was forwarded although the limit is two: %+v", h.policy.Stats())
	}
	actions := h.endAttempt(lost, 0, s, balancer.StatusTimeout, 600)
	if a := findAction(actions, balancer.ActionForward); a != nil {
		t.Errorf("the end of the lost attempt freed capacity: %+v", a)
	}
}

// The concurrency limit grows by a twentieth in one response time without overload, not by one attempt per
// response: one more attempt of each of eighty agents would undo every decrease. In a second without
// overload, about twelve response times, it grows but does not double.
func TestConcurrencyLimitGrowsByAFraction(t *testing.T) {
	stats := runPhases(t, 80, phase{80, 200}, phase{120, 200}, phase{80, 25})
	if stats[2].ConcurrencyLimit <= stats[1].ConcurrencyLimit ||
		stats[2].ConcurrencyLimit >= 2*stats[1].ConcurrencyLimit {
		t.Errorf("concurrency limit went from %.2f to %.2f in a second without load",
			stats[1].ConcurrencyLimit, stats[2].ConcurrencyLimit)
	}
}

// If an attempt times out after many later ones have overtaken it, and the server responds to those well,
// only the response was lost. The server then keeps its limit and its health state, and has no cooldown.
// A few later attempts are not enough, because an agent of a large fleet sees a server too rarely to know
// how it responds now. The response is not presumed lost either if the later attempts are slow as well.
// In both of these cases the server is in cooldown, like any slow server.
func TestLostResponseDoesNotIndicateOverload(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	h.serve(50, 20)
	s := h.loseResponse()
	if n := h.serveAndCount(60, 1, s); n == 0 {
		t.Error("server with a lost response got none of the next 60 new keys")
	}
	h.timeOutAttempt(s, func() {
		for range 3 {
			h.now += 160
			h.serve(1, 20)
		}
		h.now += 40
	}, 580)
	if n := h.serveAndCount(20, 1, s); n != 0 {
		t.Errorf("few later attempts: server got %d of the next 20 new keys, want it in cooldown", n)
	}
	h.now += 16 * h.settings.Contract.SlowStartMs / 10 // past the longest cooldown
	h.serve(20, 20)
	h.timeOutAttempt(s, func() {
		h.serve(4, 145)
		h.now += 20
	}, 600)
	if n := h.serveAndCount(20, 1, s); n != 0 {
		t.Errorf("slow later attempts: server got %d of the next 20 new keys, want it in cooldown", n)
	}
}

// loseResponse makes an attempt time out after many later ones have overtaken it. It checks that the
// limit and the health state of the attempt's server stay unchanged, and returns the server.
func (h *harness) loseResponse() balancer.Addr {
	h.t.Helper()
	lost, s := h.mustForward(idempotentClass, h.random.Uint64()|1)
	h.serve(28, 20) // 560 of the 600 ms that the request has
	before := h.policy.Stats()
	h.now += 20
	h.endAttempt(lost, 0, s, balancer.StatusTimeout, 580)
	if stats := h.policy.Stats(); stats.ServerLimits < before.ServerLimits ||
		stats.OverloadedFraction != before.OverloadedFraction || stats.States != [4]int{2, 0, 0, 0} {
		h.t.Errorf("stats after a lost response: %+v, before: %+v", stats, before)
	}
	return s
}

// timeOutAttempt forwards an attempt to server s, calls meanwhile, which serves other requests, and then
// makes the attempt time out. Until then the other one of the harness's two servers is draining, so that
// all requests go to s.
func (h *harness) timeOutAttempt(s balancer.Addr, meanwhile func(), tookMs float64) {
	h.t.Helper()
	other := 0
	if s == serverAddress(0) {
		other = 1
	}
	h.updateList(balancer.ListDelta, drainingEndpoint(other))
	id, to := h.mustForward(idempotentClass, h.random.Uint64()|1)
	if to != s {
		h.t.Fatalf("request was forwarded to %v, which is draining", to)
	}
	meanwhile()
	h.endAttempt(id, 0, s, balancer.StatusTimeout, tookMs)
	h.updateList(balancer.ListDelta, readyEndpoint(other))
}

// When the agents of a large fleet start at the same time, each has no more attempts in flight than its part
// of six attempts per server, and fewer at servers in slow start. With eight agents only the limits of the
// single servers apply.
func TestManyNewAgentsShareTheInitialLimit(t *testing.T) {
	for _, c := range []struct{ agents, restarted, maxInFlight int }{
		{agents: 8, restarted: 0, maxInFlight: 40},
		{agents: 108, restarted: 0, maxInFlight: 13},
		{agents: 108, restarted: 100, maxInFlight: 8},
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
		if inFlight > c.maxInFlight || inFlight < c.maxInFlight/2 {
			t.Errorf("one of %d new agents, %d of 200 servers in slow start, has %d in flight, "+
				"want %d at most", c.agents, c.restarted, inFlight, c.maxInFlight)
		}
	}
}
