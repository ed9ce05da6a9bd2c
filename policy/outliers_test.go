package policy_test

import (
	"testing"

	"fernbeam.example/fernbeam/internal/balancer"
)

// A request is forwarded to an ejected server if no better tier has a server.
func TestEjectedServersServeWhenNoOtherIsLeft(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	for range 2 {
		id, s := h.mustForward(nonIdempotentClass, 3)
		h.endAttempt(id, 0, s, balancer.StatusError, 5)
	}
	if _, s := h.mustForward(idempotentClass, 3); s == (balancer.Addr{}) {
		t.Error("request was not forwarded although only Unhealthy servers are left")
	}
}

// The health state of a server follows its responses: Unknown, Connected, Unhealthy, and after the ejection
// time UnhealthyPending until a request checks it.
func TestHealthStateTransitions(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	if got := h.healthStates(); got != [4]int{0, 4, 0, 0} {
		t.Fatalf("health states of new servers: %v, want all Unknown", got)
	}
	id, s := h.mustForward(idempotentClass, 7)
	h.now += 50
	h.endAttempt(id, 0, s, balancer.StatusOK, 50)
	if got := h.healthStates(); got != [4]int{1, 3, 0, 0} {
		t.Fatalf("health states after a response: %v, want one Connected", got)
	}
	h.ejectServerOf(7, s)
	h.checkNoneGoTo(s)
	h.now += h.ejectionMs() + 1
	id = h.checkPending(s)
	h.now += 50
	h.endAttempt(id, 0, s, balancer.StatusOK, 50)
	if got := h.healthStates(); got != [4]int{4, 0, 0, 0} {
		t.Fatalf("health states after the check: %v, want all Connected", got)
	}
}

// ejectServerOf makes the server of a key fail a request, checks that the server is ejected, and has another
// server serve the request.
func (h *harness) ejectServerOf(key uint64, s balancer.Addr) {
	h.t.Helper()
	id, second := h.mustForward(idempotentClass, key)
	if second != s {
		h.t.Fatalf("server of the key changed from %v to %v without a reason", s, second)
	}
	actions := h.endAttempt(id, 0, s, balancer.StatusError, 5)
	if got := h.healthStates(); got[balancer.Unhealthy] != 1 || got[balancer.Connected] != 0 {
		h.t.Fatalf("health states after an error: %v, want the server Unhealthy", got)
	}
	if findAction(actions, balancer.ActionFetchList) == nil {
		h.t.Error("ejection did not fetch the endpoint list")
	}
	if a := findAction(actions, balancer.ActionForward); a == nil || a.Server == s {
		h.t.Fatalf("idempotent request was not retried on another server: %+v", actions)
	}
	h.now += 5
	h.serveRetry(id, actions, 5)
}

// checkNoneGoTo checks that an ejected server gets none of 20 new keys.
func (h *harness) checkNoneGoTo(s balancer.Addr) {
	h.t.Helper()
	for range 20 {
		id, to := h.mustForward(idempotentClass, h.random.Uint64()|1)
		if to == s {
			h.t.Fatal("request was forwarded to an Unhealthy server although a better tier has servers")
		}
		h.endAttempt(id, 0, to, balancer.StatusOK, 1)
	}
}

// checkPending checks that a server whose ejection time has passed is in UnhealthyPending until a request
// checks it, and returns the id of that request.
func (h *harness) checkPending(s balancer.Addr) balancer.RequestID {
	h.t.Helper()
	for range 52 {
		id, to := h.mustForward(idempotentClass, h.random.Uint64()|1)
		if got := h.healthStates(); got[balancer.UnhealthyPending] != 1 {
			h.t.Fatalf("health states after the ejection time: %v, want one UnhealthyPending", got)
		}
		if to == s {
			return id
		}
		h.endAttempt(id, 0, to, balancer.StatusOK, 1)
	}
	h.t.Fatal("no request checked the server after its ejection time")
	return 0
}

// A server that rejects an attempt as overloaded is not ejected, and the request is retried on another one.
func TestOverloadedStatusDoesNotEject(t *testing.T) {
	h := newHarness(t, testSettings(), 3)
	id, s := h.mustForward(nonIdempotentClass, 7)
	actions := h.endAttempt(id, 0, s, balancer.StatusOverloaded, 1)
	if got := h.healthStates(); got[balancer.Unhealthy]+got[balancer.UnhealthyPending] != 0 {
		t.Errorf("health states after an overloaded status: %v, want no ejection", got)
	}
	if a := findAction(actions, balancer.ActionForward); a == nil || a.Server == s {
		t.Errorf("rejected attempt was not retried on another server: %+v", actions)
	}
}

// A server that hangs sends no response that could change its health state from Connected, so it is ejected
// for not responding.
func TestUnresponsiveServerIsEjected(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	h.serve(200, 10) // enough responses to know the response time
	h.mustForward(idempotentClass, 9)
	for range 30 {
		if h.advance(10); h.healthStates()[balancer.Unhealthy] == 1 {
			return
		}
	}
	t.Error("server that did not respond for 300 ms was not ejected")
}

// Only idempotent requests check whether a server in UnhealthyPending serves again; non-idempotent ones do
// not.
func TestNonIdempotentRequestDoesNotCheckAServer(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	id, failing := h.mustForward(idempotentClass, 7)
	h.serveRetry(id, h.endAttempt(id, 0, failing, balancer.StatusError, 5), 5)
	idempotent, nonIdempotent := 0, 0
	for range 200 {
		h.now += 16*h.ejectionMs() + 1 // past the longest ejection time: the next request makes it pending
		for class, checks := range []*int{&idempotent, &nonIdempotent} {
			id, s := h.mustForward(class, h.random.Uint64()|1)
			if s != failing {
				h.endAttempt(id, 0, s, balancer.StatusOK, 5)
				continue
			}
			*checks++
			h.serveRetry(id, h.endAttempt(id, 0, s, balancer.StatusError, 5), 5)
		}
	}
	if idempotent == 0 || nonIdempotent > 0 {
		t.Errorf("pending server was checked by %d idempotent and %d non-idempotent requests, "+
			"want some and none", idempotent, nonIdempotent)
	}
}

// A failure with a response does not indicate overload and leaves the server's limit unchanged; a failed
// connect halves it.
func TestFailureWithAResponseKeepsTheServerLimit(t *testing.T) {
	for status, want := range map[balancer.Status]float64{
		balancer.StatusError:         8 + 8,
		balancer.StatusReset:         8 + 8,
		balancer.StatusConnectFailed: 8 + 4,
	} {
		settings := testSettings()
		settings.FleetSize = 1 // a single agent starts with a limit of eight per server
		h := newHarness(t, settings, 2)
		id, s := h.mustForward(nonIdempotentClass, 0)
		h.endAttempt(id, 0, s, status, 5)
		if stats := h.policy.Stats(); stats.States[balancer.Unhealthy] != 1 || stats.ServerLimits != want {
			t.Errorf("status %d: stats %+v, want one Unhealthy server and limits of %v", status, stats, want)
		}
	}
}

// A server that failed three times in a row is ejected for four latency objectives. If the other servers
// have no capacity, it is checked after one objective, because using a server that fails some requests is
// better than rejecting all of them.
func TestEjectionEndsEarlyWhileOthersAreSaturated(t *testing.T) {
	for _, saturated := range []bool{false, true} {
		h := newHarness(t, testSettings(), 4)
		h.failThreeTimes()
		if saturated {
			for range 40 { // more than the other servers' limits permit; without a key any server takes them
				h.request(idempotentClass, 0)
			}
		}
		h.now += h.ejectionMs() + 1
		h.request(idempotentClass, 0)
		if checked := h.healthStates()[balancer.UnhealthyPending] == 1; checked != saturated {
			t.Errorf("others saturated: %t, failing server checked after one objective: %t (states %v)",
				saturated, checked, h.healthStates())
		}
	}
}

// failThreeTimes makes one server fail three requests in a row, each after its ejection time.
func (h *harness) failThreeTimes() {
	h.t.Helper()
	id, failing := h.mustForward(idempotentClass, h.random.Uint64()|1)
	for failures := 1; ; failures++ {
		h.serveRetry(id, h.endAttempt(id, 0, failing, balancer.StatusError, 5), 5)
		if failures == 3 {
			return
		}
		h.now += float64(int(1)<<(failures-1))*h.ejectionMs() + 1
		id = h.forwardTo(failing)
	}
}

// forwardTo makes requests with new keys until one is forwarded to the server, and returns its id. The other
// requests are served.
func (h *harness) forwardTo(s balancer.Addr) balancer.RequestID {
	h.t.Helper()
	for range 102 {
		id, to := h.mustForward(idempotentClass, h.random.Uint64()|1)
		if to == s {
			return id
		}
		h.endAttempt(id, 0, to, balancer.StatusOK, 5)
	}
	h.t.Fatal("no request checked the pending server")
	return 0
}
