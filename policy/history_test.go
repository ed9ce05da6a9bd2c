package policy_test

import (
	"math"
	"testing"

	"fernbeam.example/fernbeam/internal/balancer"
)

// retryMark specifies whether a client marks a request as a retry.
type retryMark bool

const (
	marked    retryMark = true
	notMarked retryMark = false
)

// The latency objective of a client's retry counts from the client's first request: a retry that stays
// queued is rejected one objective after the first request, not one objective after its own arrival.
func TestMarkedRetryIsJudgedByItsFirstRequest(t *testing.T) {
	// The client has waited 200 ms for its first request, so its retry is rejected 200 ms earlier.
	retry, first := queuedRetryMs(t, marked), queuedRetryMs(t, notMarked)
	if math.Abs(first-retry-200) > 10 {
		t.Errorf("queued retry was rejected after %.0f ms, first request after %.0f ms, "+
			"want a difference of 200 ms", retry, first)
	}
}

// queuedRetryMs returns how long a request is queued if its client has already waited 200 ms for an
// earlier request of the same key. The only server is at its limit.
func queuedRetryMs(t *testing.T, mark retryMark) float64 {
	t.Helper()
	h := newHarness(t, testSettings(), 1)
	id, s := h.mustForward(idempotentClass, 5)
	h.now += 200
	h.handle(balancer.Event{Kind: balancer.EventClientGone, Request: id})
	h.endAttempt(id, 0, s, balancer.StatusCancelled, 200)
	for h.policy.Stats().InFlight < 2 { // until the server is at its limit: further requests are queued
		_, actions := h.request(idempotentClass, h.random.Uint64()|1)
		if findAction(actions, balancer.ActionForward) == nil {
			t.Fatalf("server did not reach its limit: %+v", h.policy.Stats())
		}
	}
	h.lastRequest++
	retry := arrival(h.lastRequest, idempotentClass, 5, 600)
	retry.Retry = bool(mark)
	actions := h.handle(retry)
	ms, answered := h.waitForAnswer(actions)
	if !answered {
		t.Fatalf("request is still queued after 500 ms (marked as a retry: %t)", mark)
	}
	return ms
}

// If clients do not mark their retries, a request with less remaining time than others of its class
// counts as a retry. The difference counts as the time since the first request. If clients give their
// requests less time than the total timeout, a shorter remaining time does not indicate a retry.
func TestUnmarkedRetryIsJudgedByItsFirstRequest(t *testing.T) {
	first := queuedRequestMs(t, 1000, 1000)
	second := queuedRequestMs(t, 1000, 800)
	third := queuedRequestMs(t, 1000, 650)
	if math.Abs(first-second-200) > 10 || third > 10 {
		t.Errorf("first request was queued for %.0f ms, "+
			"retry after 200 ms for %.0f ms, retry after 350 ms for %.0f ms", first, second, third)
	}
	full, shorter := queuedRequestMs(t, 500, 500), queuedRequestMs(t, 500, 400)
	if math.Abs(full-first) > 10 || math.Abs(shorter-first) > 10 {
		t.Errorf("request with 500 ms was queued for %.0f ms, one with 400 ms for %.0f ms, "+
			"first request for %.0f ms",
			full, shorter, first)
	}
}

// queuedRequestMs returns how long a request with remainingMs left is queued while the only server is at its
// limit with requests that had givenMs left. The objective is 300 ms, the total timeout 1,000 ms.
func queuedRequestMs(t *testing.T, givenMs, remainingMs float64) float64 {
	t.Helper()
	settings := testSettings()
	settings.Clients.MarksRetry = false
	h := newHarness(t, settings, 1)
	arrive := func(remainingMs float64) []balancer.Action {
		h.lastRequest++
		return h.handle(arrival(h.lastRequest, idempotentClass, h.random.Uint64()|1, remainingMs))
	}
	for h.policy.Stats().InFlight < 2 { // until the server is at its limit: further requests are queued
		if findAction(arrive(givenMs), balancer.ActionForward) == nil {
			t.Fatalf("server did not reach its limit: %+v", h.policy.Stats())
		}
	}
	ms, answered := h.waitForAnswer(arrive(remainingMs))
	if !answered {
		t.Fatalf("request with %.0f of %.0f ms left is still queued after 500 ms", remainingMs, givenMs)
	}
	return ms
}
