package policy_test

import (
	"testing"

	"fernbeam.example/fernbeam/internal/balancer"
)

// A request goes to an ejected server if there is no server of a better tier.
func TestEjectedServersServeWhenNoOtherIsLeft(t *testing.T) {
	h := newHarness(t, testSettings(), 2)
	for range 2 {
		id, s := h.mustForward(nonIdempotentClass, 3)
		h.endAttempt(id, 0, s, balancer.StatusError, 5)
	}
	if _, s := h.mustForward(idempotentClass, 3); s == (balancer.Addr{}) {
		t.Error("nothing was sent though Unhealthy servers are the only ones")
	}
}

// A server's health state follows its responses: Unknown, Connected, Unhealthy, and after its ejection
// time UnhealthyPending until a request checks it.
func TestHealthStateTransitions(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	if got := h.healthStates(); got != [4]int{0, 4, 0, 0} {
		t.Fatalf("listed servers start as %v, want all Unknown", got)
	}
	id, s := h.mustForward(idempotentClass, 7)
	h.now += 50
	h.endAttempt(id, 0, s, balancer.StatusOK, 50)
	if got := h.healthStates(); got != [4]int{1, 3, 0, 0} {
		t.Fatalf("served: %v, want one Connected", got)
	}
	h.ejectServerOf(7, s)
	h.checkNoneGoTo(s)
	h.now += h.ejectionMs() + 1
	id = h.checkPending(s)
	h.now += 50
	h.endAttempt(id, 0, s, balancer.StatusOK, 50)
	if got := h.healthStates(); got != [4]int{4, 0, 0, 0} {
		t.Fatalf("checked: %v, want it Connected", got)
	}
}

// ejectServerOf has the server of a key fail a request, which another server then serves, and checks
// that the server is ejected.
func (h *harness) ejectServerOf(key uint64, s balancer.Addr) {
	h.t.Helper()
	id, second := h.mustForward(idempotentClass, key)
	if second != s {
		h.t.Fatalf("key moved from %v to %v without a cause", s, second)
	}
	actions := h.endAttempt(id, 0, s, balancer.StatusError, 5)
	if got := h.healthStates(); got[balancer.Unhealthy] != 1 || got[balancer.Connected] != 0 {
		h.t.Fatalf("error: %v, want the server Unhealthy", got)
	}
	if findAction(actions, balancer.ActionFetchList) == nil {
		h.t.Error("an ejection did not fetch the list")
	}
	if a := findAction(actions, balancer.ActionForward); a == nil || a.Server == s {
		h.t.Fatalf("the idempotent request did not go on to another server: %+v", actions)
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
			h.t.Fatal("an Unhealthy server was chosen before the better tier")
		}
		h.endAttempt(id, 0, to, balancer.StatusOK, 1)
	}
}

// checkPending checks that a server whose ejection time has passed is pending until a request checks it,
// and returns that request.
func (h *harness) checkPending(s balancer.Addr) balancer.RequestID {
	h.t.Helper()
	for range 52 {
		id, to := h.mustForward(idempotentClass, h.random.Uint64()|1)
		if got := h.healthStates(); got[balancer.UnhealthyPending] != 1 {
			h.t.Fatalf("after the ejection time: %v, want it pending", got)
		}
		if to == s {
			return id
		}
		h.endAttempt(id, 0, to, balancer.StatusOK, 1)
	}
	h.t.Fatal("a server pending after its ejection time is never checked by a request")
	return 0
}

// A server that rejects an attempt as overloaded is not ejected, and the request goes to another.
func TestOverloadedStatusDoesNotEject(t *testing.T) {
	h := newHarness(t, testSettings(), 3)
	id, s := h.mustForward(nonIdempotentClass, 7)
	actions := h.endAttempt(id, 0, s, balancer.StatusOverloaded, 1)
	if got := h.healthStates(); got[balancer.Unhealthy]+got[balancer.UnhealthyPending] != 0 {
		t.Errorf("an overloaded status ejected the server: %v", got)
	}
	if a := findAction(actions, balancer.ActionForward); a == nil || a.Server == s {
		t.Errorf("a request that was rejected by the server did not go elsewhere: %+v", actions)
	}
}

// A server that hangs would stay Connected by its statuses alone; it is ejected as it does not respond.
func TestUnresponsiveServerIsEjected(t *testing.T) {
	h := newHarness(t, testSettings(), 4)
	h.serve(200, 10) // so that the response time is known
	h.mustForward(idempotentClass, 9)
	for range 30 {
		if h.advance(10); h.healthStates()[balancer.Unhealthy] == 1 {
			return
		}
	}
	t.Error("a server that does not respond for 300 ms was not ejected")
}

// A non-idempotent request does not find out whether a pending server serves again; an idempotent one
// does.
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
		t.Errorf("a pending server was checked by %d idempotent and %d non-idempotent requests; "+
			"want some and none", idempotent, nonIdempotent)
	}
}

// A failure with a response is no sign of overload and keeps the server's limit; a failed connect halves
// it.
func TestFailureWithAResponseKeepsTheServerLimit(t *testing.T) {
	for status, want := range map[balancer.Status]float64{
		balancer.StatusError:         8 + 8,
		balancer.StatusReset:         8 + 8,
		balancer.StatusConnectFailed: 8 + 4,
	} {
		settings := testSettings()
		settings.FleetSize = 1 // a single agent begins with eight for each server
		h := newHarness(t, settings, 2)
		id, s := h.mustForward(nonIdempotentClass, 0)
		h.endAttempt(id, 0, s, status, 5)
		if stats := h.policy.Stats(); stats.States[balancer.Unhealthy] != 1 || stats.ServerLimits != want {
			t.Errorf("ended %d: %+v, want one Unhealthy and limits of %v", status, stats, want)
		}
	}
}

// A server that failed three times in a row is ejected for four latency objectives. While the others have
// no capacity it is checked after one: a server that fails some requests is better than rejecting all.
func TestEjectionEndsEarlyWhileOthersAreSaturated(t *testing.T) {
	for _, saturated := range []bool{false, true} {
		h := newHarness(t, testSettings(), 4)
		h.failThreeTimes()
		if saturated {
			for range 40 { // more than the other limits permit, without a key: they take any server
				h.request(idempotentClass, 0)
			}
		}
		h.now += h.ejectionMs() + 1
		h.request(idempotentClass, 0)
		if checked := h.healthStates()[balancer.UnhealthyPending] == 1; checked != saturated {
			t.Errorf("others full: %v; failing server checked after one objective: %v (%v)",
				saturated, checked, h.healthStates())
		}
	}
}

// failThreeTimes has one server fail three requests in a row, each after its ejection time.
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

// forwardTo makes requests of new keys until one is forwarded to the server, and returns that one; the
// others are served.
func (h *harness) forwardTo(s balancer.Addr) balancer.RequestID {
	h.t.Helper()
	for range 102 {
		id, to := h.mustForward(idempotentClass, h.random.Uint64()|1)
		if to == s {
			return id
		}
		h.endAttempt(id, 0, to, balancer.StatusOK, 5)
	}
	h.t.Fatal("a pending server was never checked")
	return 0
}
