package policy_test

import (
	"testing"

	"fernbeam.example/fernbeam/internal/balancer"
)

// A request is rejected in time if the endpoint list is empty.
func TestRequestIsRejectedWhileNoServerIsListed(t *testing.T) {
	h := newHarness(t, testSettings(), 0)
	id, actions := h.request(nonIdempotentClass, 1)
	for range 130 {
		if a := findAction(actions, balancer.ActionReject); a != nil {
			if a.Request != id {
				t.Fatalf("rejected request %d, want %d", a.Request, id)
			}
			return
		}
		actions = h.advance(10)
	}
	t.Error("request was not answered while the endpoint list was empty")
}

// Load is shed when responses are late. Otherwise overloaded servers would work for clients that have
// given up, and each rejection by a server would cause a retry. Errors and queued requests do not
// indicate overload.
func TestLoadIsShedWhenResponsesAreLate(t *testing.T) {
	for _, c := range []struct {
		name       string
		status     balancer.Status
		responseMs float64
		sheds      bool
	}{
		{"in time", balancer.StatusOK, 20, false},
		{"late", balancer.StatusOK, 500, true},
		{"overloaded", balancer.StatusOverloaded, 1, true},
		{"timeout", balancer.StatusTimeout, 600, true},
		{"error", balancer.StatusError, 5, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			rejected := rejectedOf200(t, c.status, c.responseMs)
			if c.sheds && (rejected < 100 || rejected > 170) || !c.sheds && rejected > 0 {
				t.Errorf("%d of 200 requests rejected", rejected)
			}
		})
	}
}

// rejectedOf200 returns how many of 200 requests are rejected if each attempt ends with the status after
// responseMs.
func rejectedOf200(t *testing.T, status balancer.Status, responseMs float64) int {
	t.Helper()
	settings := testSettings()
	settings.Limits.MaxAttempts = 1
	h := newHarness(t, settings, 6)
	rejected := 0
	for range 200 {
		h.now += 500
		id, actions := h.request(idempotentClass, h.random.Uint64())
		if a := findAction(actions, balancer.ActionForward); a != nil {
			h.now += responseMs
			h.endAttempt(id, 0, a.Server, status, responseMs)
		} else if findAction(actions, balancer.ActionReject) != nil {
			rejected++
		}
	}
	return rejected
}

// A rejection tells the client that a retry is safe. After the deduplication window it is not, so the
// request fails instead.
func TestRejectionOnlyWithinTheDeduplicationWindow(t *testing.T) {
	for _, c := range []struct {
		name    string
		afterMs float64
		want    balancer.ActionKind
	}{
		{"within the window of 500 ms", 100, balancer.ActionReject},
		{"past the window of 500 ms", 550, balancer.ActionFail},
	} {
		t.Run(c.name, func(t *testing.T) {
			settings := testSettings()
			settings.Classes[byKeyClass].DedupScope = balancer.DedupFleet
			settings.Limits.MaxAttempts = 1
			h := newHarness(t, settings, 4)
			id, s := h.mustForward(byKeyClass, 5)
			h.now += c.afterMs
			actions := h.endAttempt(id, 0, s, balancer.StatusError, c.afterMs)
			if findAction(actions, c.want) == nil {
				t.Errorf("attempt failed after %.0f ms: got actions %+v", c.afterMs, actions)
			}
		})
	}
}

// After the start of a streamed response the policy neither answers nor retries the request.
func TestStartedStreamIsNotInterrupted(t *testing.T) {
	settings := testSettings()
	settings.Classes[idempotentClass].Streaming = true
	h := newHarness(t, settings, 4)
	id, s := h.mustForward(idempotentClass, 3)
	h.now += 30
	h.handle(balancer.Event{
		Kind:      balancer.EventResponseStarted,
		Request:   id,
		Attempt:   0,
		Server:    s,
		LatencyMs: 30,
	})
	for range 200 {
		for _, a := range h.advance(10) {
			if a.Request == id && a.Kind != balancer.ActionSetTimer {
				t.Fatalf("action %+v for a request whose response is being streamed", a)
			}
		}
	}
	actions := h.handle(balancer.Event{
		Kind:        balancer.EventAttemptDone,
		Request:     id,
		Attempt:     0,
		Server:      s,
		Status:      balancer.StatusReset,
		LatencyMs:   2000,
		RequestDone: true,
	})
	if stats := h.policy.Stats(); findAction(actions, balancer.ActionForward) != nil ||
		findAction(actions, balancer.ActionFail) != nil || stats.InFlight+stats.Queued != 0 {
		t.Errorf("broken stream: actions %+v, %d in flight and %d queued, want no retry and no answer",
			actions, stats.InFlight, stats.Queued)
	}
}

// If late responses of a class have no value, an attempt times out at the latency objective, so that it
// keeps no server busy for longer, and the client is answered immediately. Otherwise the attempt has all of
// the client's remaining time.
func TestAttemptTimesOutAtTheObjectiveIfLateResponsesHaveNoValue(t *testing.T) {
	wants := []balancer.ActionKind{balancer.ActionReject, balancer.ActionFail, balancer.ActionFail}
	for class, want := range wants {
		settings := testSettings()
		settings.Classes[class].LateFraction = 0
		settings.Clients.MarksRetry = false
		h := newHarness(t, settings, 3)
		id, actions := h.request(class, 5)
		a := findAction(actions, balancer.ActionForward)
		if a == nil || a.Ms > 300 || a.Ms < 280 {
			t.Fatalf("class %d, objective 300 ms of 600: "+
				"want an attempt that times out at the objective, got %+v", class, actions)
		}
		h.now += a.Ms
		actions = h.endAttempt(id, 0, a.Server, balancer.StatusTimeout, a.Ms)
		if findAction(actions, want) == nil {
			t.Errorf("class %d: not answered after the objective: %+v", class, actions)
		}
		settings.Classes[class].LateFraction = 0.2
		_, actions = newHarness(t, settings, 3).request(class, 5)
		if a = findAction(actions, balancer.ActionForward); a == nil || a.Ms < 500 {
			t.Errorf("class %d, late responses have a value: "+
				"want an attempt with all of the remaining time, got %+v", class, actions)
		}
	}
}

// Queued requests that wait for the preferred servers of their keys do not block other requests from servers
// with capacity. All keys prefer the two servers of full weight; a third server with a hundredth of the
// weight takes a request without a key.
func TestRequestWaitingForItsKeyDoesNotBlockOthers(t *testing.T) {
	h := newHarness(t, testSettings(), 0)
	endpoints := readyEndpoints(3)
	endpoints[2].Weight = 0.01
	h.updateList(balancer.ListFull, endpoints...)
	inFlight := map[balancer.Addr]balancer.RequestID{} // the last request at each server
	var queued balancer.RequestID
	for i := 0; queued == 0; i++ { // without a key, until all three servers are full
		if i > 20 {
			t.Fatalf("the servers did not reach their limits: %+v", h.policy.Stats())
		}
		id, actions := h.request(idempotentClass, 0)
		if a := findAction(actions, balancer.ActionForward); a != nil {
			inFlight[a.Server] = id
		} else {
			queued = id
		}
	}
	for range 10 { // newer, so first in the queue; each waits for its two preferred servers
		h.now++
		if _, actions := h.request(idempotentClass, h.random.Uint64()|1); len(actions) != 0 {
			t.Fatalf("request with a key was not queued: %+v", actions)
		}
	}
	light := serverAddress(2)
	id, ok := inFlight[light]
	if !ok {
		t.Fatalf("no request was forwarded to the light server: %v", inFlight)
	}
	actions := h.endAttempt(id, 0, light, balancer.StatusOK, 5)
	if a := findAction(actions, balancer.ActionForward); a == nil || a.Request != queued {
		t.Errorf("capacity of the light server went to %+v, want request %d without a key", a, queued)
	}
}

// The objective has a part for the worst-served class, which gives requests of that class a higher
// priority in the queue. One request of each of two classes is queued, after half of the clients of one
// class have left before their responses. The request of that class is forwarded first, whichever of the
// two it is.
func TestWorstClassHasPriorityInTheQueue(t *testing.T) {
	for starved := range 2 {
		if got := firstServedClass(t, starved); got != starved {
			t.Errorf("class %d lost half of its clients, but class %d was forwarded first", starved, got)
		}
	}
}

// firstServedClass queues one request of each of two classes and returns the class of the one that is
// forwarded first. Before that, half of the clients of the starved class leave before their responses.
func firstServedClass(t *testing.T, starved int) int {
	t.Helper()
	settings := testSettings()
	settings.Objective = balancer.Objective{Total: 0.1, WorstClass: 0.9}
	h := newHarness(t, settings, 1)
	for i := range 200 {
		for class := range 2 {
			h.now += 10
			id, s := h.mustForward(class, 0)
			if class == starved && i%2 == 0 {
				h.handle(balancer.Event{Kind: balancer.EventClientGone, Request: id})
				h.endAttempt(id, 0, s, balancer.StatusCancelled, 5)
				continue
			}
			h.endAttempt(id, 0, s, balancer.StatusOK, 5)
		}
	}
	var inFlight []balancer.RequestID
	for h.policy.Stats().InFlight < 2 { // until the server is at its limit: further requests are queued
		id, _ := h.mustForward(1-starved, 0)
		inFlight = append(inFlight, id)
	}
	queued := [2]balancer.RequestID{}
	for class := range 2 {
		queued[class], _ = h.request(class, 0)
	}
	actions := h.endAttempt(inFlight[0], 0, serverAddress(0), balancer.StatusOK, 5)
	a := findAction(actions, balancer.ActionForward)
	for class, id := range queued {
		if a != nil && a.Request == id {
			return class
		}
	}
	t.Fatalf("starved class %d: capacity was used for %+v, want a queued request", starved, a)
	return -1
}

// A request with a key that arrives before the first endpoint list waits for it, like any other request.
func TestKeyedRequestBeforeTheFirstListWaits(t *testing.T) {
	b := newPolicy(t, testSettings(), 1)
	const now = 1e6
	b.Start(now, nil)
	request := arrival(1, idempotentClass, 7, 800)
	for _, a := range b.Handle(now, &request, nil) {
		if a.Kind != balancer.ActionSetTimer {
			t.Errorf("action %+v, want the request queued", a)
		}
	}
	if queued := b.Stats().Queued; queued != 1 {
		t.Errorf("%d requests queued, want 1", queued)
	}
}

// Clients that leave while they still send their bodies are no sign of overload. Guards against a crowd of
// such clients that gets the requests of others rejected.
func TestClientsThatLeaveDuringAnUploadShedNoLoad(t *testing.T) {
	h := newHarness(t, testSettings(), 6)
	for range 100 {
		h.now += 20
		id, _ := h.upload(nonIdempotentClass)
		h.handle(balancer.Event{Kind: balancer.EventClientGone, Request: id})
		h.handle(attemptDone(id, 0, serverAddress(0), balancer.StatusCancelled, 1))
	}
	if shed := h.policy.Stats().Shed; shed > 0 {
		t.Errorf("%.2f of the requests are shed", shed)
	}
}
