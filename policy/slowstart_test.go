package policy_test

import (
	"math/rand/v2"
	"testing"

	"fernbeam.example/fernbeam/internal/balancer"
	"fernbeam.example/fernbeam/policy"
)

// A server in slow start gets no more than its slow-start fraction of an even share, also after a time
// without requests.
func TestSlowStartLimitsTheShareOfAServer(t *testing.T) {
	h := newHarness(t, testSettings(), 5)
	h.updateList(balancer.ListDelta,
		balancer.Endpoint{Server: serverAddress(4), State: balancer.Ready, Weight: 1, StartedMs: h.now - 10})
	got, all := 0, 2000
	for range all {
		h.now++
		id, s := h.mustForward(0, uint64(h.random.Int64()))
		if s == serverAddress(4) {
			got++
		}
		h.endAttempt(id, 0, s, balancer.StatusOK, 20)
	}
	even := float64(all) / 4
	if limit := even * 0.36 * 0.5 * 1.2; float64(got) > limit || got == 0 {
		t.Errorf("a server in slow start got %d of %d attempts; want some, and at most %.0f", got, all, limit)
	}
}

// Many agents with few requests each send a server in slow start its part together, though none of them
// earns a complete attempt for it.
func TestManySmallAgentsUseServersInSlowStart(t *testing.T) {
	warming, all := 0, 0
	for seed := range uint64(200) {
		h := newHarness(t, testSettings(), 19)
		b, err := policy.New(testSettings(), seed)
		if err != nil {
			t.Fatal(err)
		}
		endpoints := make([]balancer.Endpoint, 20)
		for i := range endpoints {
			endpoints[i] = balancer.Endpoint{Server: serverAddress(i), State: balancer.Ready, Weight: 1}
		}
		h.policy, h.random = b, rand.New(rand.NewPCG(seed, 2))
		h.updateList(balancer.ListFull, endpoints...)
		endpoints[19].StartedMs = h.now - 2000
		h.updateList(balancer.ListFull, endpoints...)
		for range 20 {
			h.now += 100
			id, s := h.mustForward(0, h.random.Uint64())
			if all++; s == serverAddress(19) {
				warming++
			}
			h.endAttempt(id, 0, s, balancer.StatusOK, 20)
		}
	}
	if even := all / 20; warming < even/20 || warming > even {
		t.Errorf("a server in slow start got %d of %d requests, where an even share is %d",
			warming, all, even)
	}
}

// A server in slow start serves its part where all warm ones have failed, as after the loss of a zone.
func TestServersInSlowStartServeWhenAllWarmOnesFailed(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	h.serve(200, 10)
	// No connect reaches the warm ones any more. Then a server in slow start is listed.
	for i := 0; h.healthStates()[balancer.Unhealthy] < 2; i++ {
		if i > 20 {
			t.Fatalf("the warm servers were not ejected: %v", h.healthStates())
		}
		h.now += 10
		id, actions := h.request(0, h.random.Uint64()|1)
		for attempt := 0; findAction(actions, balancer.ActionForward) != nil; attempt++ {
			actions = h.endAttempt(id, attempt, findAction(actions, balancer.ActionForward).Server,
				balancer.StatusConnectFailed, 5)
		}
	}
	h.now += 10
	h.updateList(balancer.ListDelta,
		balancer.Endpoint{Server: serverAddress(2), State: balancer.Ready, Weight: 1, StartedMs: h.now})
	// In what is left of its first two seconds it gets its share of the 100 requests a second that
	// two warm ones served: 50 x (0.2 to 0.36) x 3/4 a second. Not all at once: the others have theirs.
	var first, got float64
	for i := range 200 {
		h.now += 10
		id, actions := h.request(0, h.random.Uint64()|1)
		for attempt := 0; findAction(actions, balancer.ActionForward) != nil; attempt++ {
			to := findAction(actions, balancer.ActionForward).Server
			if to != serverAddress(2) {
				actions = h.endAttempt(id, attempt, to, balancer.StatusConnectFailed, 5)
				continue
			}
			if got++; got == 1 {
				first = float64(i+1) * 10
			}
			actions = h.endAttempt(id, attempt, to, balancer.StatusOK, 20)
		}
	}
	if got < 1 || first > 1000 || got > 2*50*0.28*0.75 {
		t.Errorf("the server in slow start got %.0f requests, the first after %.0f ms", got, first)
	}
}

// Slow-start credit is earned by served requests: a server in slow start gets none where all requests are
// rejected by the servers, and some where they are served.
func TestSlowStartCreditIsEarnedByServedRequestsOnly(t *testing.T) {
	forwards := func(status balancer.Status) int {
		h := newHarness(t, testSettings(), 4)
		h.updateList(balancer.ListDelta,
			balancer.Endpoint{Server: serverAddress(4), State: balancer.Ready, Weight: 1, StartedMs: h.now})
		n := 0
		for range 200 {
			h.now += 5
			id, actions := h.request(1, h.random.Uint64()|1)
			for attempt := 0; findAction(actions, balancer.ActionForward) != nil; attempt++ {
				to := findAction(actions, balancer.ActionForward).Server
				if to == serverAddress(4) {
					n++
				}
				actions = h.endAttempt(id, attempt, to, status, 1)
			}
		}
		return n
	}
	full, served := forwards(balancer.StatusOverloaded), forwards(balancer.StatusOK)
	if full != 0 || served == 0 {
		t.Errorf("of 200 requests the server in slow start got %d where all were overloaded, "+
			"%d where all were served", full, served)
	}
}

// A server that was unreachable for long counts as restarted before the endpoint list says so: it gets
// less than a warm one's share of new keys.
func TestServerThatWasUnreachableIsInSlowStart(t *testing.T) {
	share := func(unresponsive bool) int {
		h := newHarness(t, testSettings(), 3)
		h.serve(30, 20)
		id, s := h.mustForward(0, 9)
		status := balancer.StatusOK
		if unresponsive {
			status = balancer.StatusConnectFailed
		}
		if a := findAction(h.endAttempt(id, 0, s, status, 100), balancer.ActionForward); a != nil {
			h.endAttempt(id, 1, a.Server, balancer.StatusOK, 20)
		}
		h.now += h.settings.Contract.OverloadWindowMs + 500
		return h.serveAndCount(90, 20, s)
	}
	if unresponsive, warm := share(true), share(false); unresponsive == 0 || 2*unresponsive >= warm {
		t.Errorf("of 90 new keys a server back from being unreachable got %d, one that stayed %d",
			unresponsive, warm)
	}
}
