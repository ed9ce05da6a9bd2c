package policy_test

import (
	"math"
	"testing"

	"fernbeam.example/fernbeam/internal/balancer"
)

// retryMark tells whether a client marks a request as a retry.
type retryMark bool

const (
	marked    retryMark = true
	notMarked retryMark = false
)

// A client's retry is judged by the time that has passed for the client: where it can only be queued, it
// is rejected once the latency objective of the first request has passed, not one objective later.
func TestMarkedRetryIsJudgedByItsFirstRequest(t *testing.T) {
	// The client had waited 200 ms for its first request: its retry ends that much sooner.
	retry, first := queuedRetryMs(t, marked), queuedRetryMs(t, notMarked)
	if math.Abs(first-retry-200) > 10 {
		t.Errorf("a queued retry was rejected after %.0f ms, a first request after %.0f", retry, first)
	}
}

// queuedRetryMs is how long a request is queued that comes after its client has waited 200 ms for another
// one of the same key, where the only server is at its limit.
func queuedRetryMs(t *testing.T, mark retryMark) float64 {
	t.Helper()
	h := newHarness(t, testSettings(), 1)
	id, s := h.mustForward(idempotentClass, 5)
	h.now += 200
	h.handle(balancer.Event{Kind: balancer.EventClientGone, Request: id})
	h.endAttempt(id, 0, s, balancer.StatusCancelled, 200)
	for h.policy.Stats().InFlight < 2 { // the server's limit is reached: what comes is queued
		_, actions := h.request(idempotentClass, h.random.Uint64()|1)
		if findAction(actions, balancer.ActionForward) == nil {
			t.Fatalf("the limit is not reached: %+v", h.policy.Stats())
		}
	}
	h.lastRequest++
	retry := arrival(h.lastRequest, idempotentClass, 5, 600)
	retry.Retry = bool(mark)
	actions := h.handle(retry)
	ms, answered := h.waitForAnswer(actions)
	if !answered {
		t.Fatalf("retry %v: queued for 500 ms", mark)
	}
	return ms
}

// Where clients do not mark their retries, a request with less time than others of its class were given
// is taken for a retry, and the time that it lacks has passed since the first. Where each request has a
// time of its own, shorter than the total timeout, a shorter time has no such meaning.
func TestUnmarkedRetryIsJudgedByItsFirstRequest(t *testing.T) {
	first := queuedRequestMs(t, 1000, 1000)
	second := queuedRequestMs(t, 1000, 800)
	third := queuedRequestMs(t, 1000, 650)
	if math.Abs(first-second-200) > 10 || third > 10 {
		t.Errorf("first requests were queued for %.0f ms, "+
			"retries after 200 ms for %.0f, after 350 ms for %.0f", first, second, third)
	}
	full, shorter := queuedRequestMs(t, 500, 500), queuedRequestMs(t, 500, 400)
	if math.Abs(full-first) > 10 || math.Abs(shorter-first) > 10 {
		t.Errorf("requests of 500 ms were queued for %.0f ms, one of 400 for %.0f, first requests for %.0f",
			full, shorter, first)
	}
}

// queuedRequestMs is how long a request with remainingMs left is queued, where the only server is at its
// limit by requests that were given givenMs. The objective is 300 ms, the total timeout 1,000 ms.
func queuedRequestMs(t *testing.T, givenMs, remainingMs float64) float64 {
	t.Helper()
	settings := testSettings()
	settings.Clients.MarksRetry = false
	h := newHarness(t, settings, 1)
	arrive := func(remainingMs float64) []balancer.Action {
		h.lastRequest++
		return h.handle(arrival(h.lastRequest, idempotentClass, h.random.Uint64()|1, remainingMs))
	}
	for h.policy.Stats().InFlight < 2 { // the server's limit is reached: what comes is queued
		if findAction(arrive(givenMs), balancer.ActionForward) == nil {
			t.Fatalf("the limit is not reached: %+v", h.policy.Stats())
		}
	}
	ms, answered := h.waitForAnswer(arrive(remainingMs))
	if !answered {
		t.Fatalf("queued for 500 ms, given %.0f of %.0f ms", remainingMs, givenMs)
	}
	return ms
}
