package policy_test

import (
	"math/rand/v2"
	"testing"

	"fernbeam.example/fernbeam/internal/balancer"
)

// A server in slow start gets no more than its slow-start fraction of an even share of the requests, even if
// the agent has had no requests before.
func TestSlowStartLimitsTheShareOfAServer(t *testing.T) {
	h := newHarness(t, testSettings(), 5)
	h.updateList(balancer.ListDelta, startedEndpoint(4, h.now-10))
	const requests = 2000
	got := 0
	for range requests {
		h.now++
		id, s := h.mustForward(idempotentClass, uint64(h.random.Int64()))
		if s == serverAddress(4) {
			got++
		}
		h.endAttempt(id, 0, s, balancer.StatusOK, 20)
	}
	const even = requests / 4.0
	if limit := even * 0.36 * 0.5 * 1.2; float64(got) > limit || got == 0 {
		t.Errorf("server in slow start got %d of %d attempts, want some and at most %.0f",
			got, requests, limit)
	}
}

// Many agents with few requests each send a server in slow start its share together, although none of them
// accrues the credit for a whole attempt.
func TestManySmallAgentsUseServersInSlowStart(t *testing.T) {
	warming, requests := 0, 0
	for seed := range uint64(200) {
		h := newHarness(t, testSettings(), 19)
		endpoints := readyEndpoints(20)
		h.policy = newPolicy(t, testSettings(), seed)
		h.random = rand.New(rand.NewPCG(seed, 2))
		h.updateList(balancer.ListFull, endpoints...)
		endpoints[19].StartedMs = h.now - 2000
		h.updateList(balancer.ListFull, endpoints...)
		for range 20 {
			h.now += 100
			id, s := h.mustForward(idempotentClass, h.random.Uint64())
			requests++
			if s == serverAddress(19) {
				warming++
			}
			h.endAttempt(id, 0, s, balancer.StatusOK, 20)
		}
	}
	if even := requests / 20; warming < even/20 || warming > even {
		t.Errorf("server in slow start got %d of %d requests, where an even share is %d",
			warming, requests, even)
	}
}

// A server in slow start serves its share after all warm servers have failed, as in the loss of a zone.
func TestServersInSlowStartServeWhenAllWarmOnesFailed(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	h.serve(200, 10)
	h.disconnectAll()
	h.now += 10
	warming := serverAddress(2)
	h.updateList(balancer.ListDelta, startedEndpoint(2, h.now))
	// During its first two seconds it gets its share of the 100 requests per second that the two warm
	// servers served: 50 x (0.2 to 0.36) x 3/4 per second. It does not get all of them at once, because
	// the other agents have their shares too.
	var firstMs, got float64
	for i := range 200 {
		h.now += 10
		h.endEachAttempt(idempotentClass, func(server balancer.Addr) (balancer.Status, float64) {
			if server != warming {
				return balancer.StatusConnectFailed, 5
			}
			got++
			if got == 1 {
				firstMs = float64(i+1) * 10
			}
			return balancer.StatusOK, 20
		})
	}
	if got < 1 || firstMs > 1000 || got > 2*50*0.28*0.75 {
		t.Errorf("server in slow start got %.0f requests, the first after %.0f ms", got, firstMs)
	}
}

// disconnectAll makes all connects fail until both servers of the harness are ejected.
func (h *harness) disconnectAll() {
	h.t.Helper()
	for i := 0; h.healthStates()[balancer.Unhealthy] < 2; i++ {
		if i > 20 {
			h.t.Fatalf("warm servers were not ejected: health states %v", h.healthStates())
		}
		h.now += 10
		h.endEachAttempt(idempotentClass, func(balancer.Addr) (balancer.Status, float64) {
			return balancer.StatusConnectFailed, 5
		})
	}
}

// Slow-start credit grows with served requests: a server in slow start gets requests if the warm servers
// serve theirs, and none if they reject all.
func TestSlowStartCreditGrowsWithServedRequestsOnly(t *testing.T) {
	forwards := func(status balancer.Status) int {
		h := newHarness(t, testSettings(), 4)
		h.updateList(balancer.ListDelta, startedEndpoint(4, h.now))
		got := 0
		for range 200 {
			h.now += 5
			h.endEachAttempt(nonIdempotentClass, func(server balancer.Addr) (balancer.Status, float64) {
				if server == serverAddress(4) {
					got++
				}
				return status, 1
			})
		}
		return got
	}
	overloaded, served := forwards(balancer.StatusOverloaded), forwards(balancer.StatusOK)
	if overloaded != 0 || served == 0 {
		t.Errorf("server in slow start got %d of 200 requests when all were rejected as overloaded, "+
			"%d when all were served, want 0 and some", overloaded, served)
	}
}

// A server that was unreachable for a long time counts as restarted before the endpoint list shows the
// restart: it gets a smaller share of new keys than a warm server.
func TestServerThatWasUnreachableIsInSlowStart(t *testing.T) {
	share := func(unresponsive bool) int {
		h := newHarness(t, testSettings(), 3)
		h.serve(30, 20)
		id, s := h.mustForward(idempotentClass, 9)
		status := balancer.StatusOK
		if unresponsive {
			status = balancer.StatusConnectFailed
		}
		h.serveRetry(id, h.endAttempt(id, 0, s, status, 100), 20)
		h.now += h.settings.Contract.OverloadWindowMs + 500
		return h.serveAndCount(90, 20, s)
	}
	if unresponsive, warm := share(true), share(false); unresponsive == 0 || 2*unresponsive >= warm {
		t.Errorf("server that was unreachable got %d of 90 new keys, one that was not got %d",
			unresponsive, warm)
	}
}
