package policy_test

import (
	"math"
	"strings"
	"testing"

	"fernbeam.example/fernbeam/internal/balancer"
	"fernbeam.example/fernbeam/policy"
)

// Invalid settings are rejected with an error that contains the key of the invalid value.
func TestInvalidSettingsAreRejected(t *testing.T) {
	for key, invalidate := range map[string]func(*balancer.Settings){
		"classes":             func(s *balancer.Settings) { s.Classes = nil },
		"classes[0].aimMs":    func(s *balancer.Settings) { s.Classes[0].LatencyObjectiveMs = math.NaN() },
		"classes[1].giveUpMs": func(s *balancer.Settings) { s.Classes[1].TotalTimeoutMs = -1 },
		"classes[0].effect":   func(s *balancer.Settings) { s.Classes[0].Idempotency = "invalid" },
		"classes[2].group":    func(s *balancer.Settings) { s.Classes[2].DedupScope = "invalid" },
		"contract.coldMs":     func(s *balancer.Settings) { s.Contract.SlowStartMs = -5 },
		"membershipMode":      func(s *balancer.Settings) { s.DiscoveryMode = "" },
	} {
		s := testSettings()
		invalidate(&s)
		if _, err := policy.New(s, 1); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("invalid %s: error is %v, want one that contains the key", key, err)
		}
	}
}

// Invalid numbers in the endpoint list and in events are ignored: the policy still forwards requests, and its
// Stats contain no NaN.
func TestInvalidNumbersAreIgnored(t *testing.T) {
	for _, x := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, math.MaxFloat64} {
		h := newHarness(t, testSettings(), 3)
		h.updateList(balancer.ListFull,
			balancer.Endpoint{Server: serverAddress(0), State: balancer.Ready, Weight: x, StartedMs: x},
			balancer.Endpoint{Server: serverAddress(1), State: balancer.Ready, Weight: 1, StartedMs: -x})
		id, s := h.mustForward(idempotentClass, 7)
		h.endAttempt(id, 0, s, balancer.StatusOK, x)
		h.handle(balancer.Event{Kind: balancer.EventRequest, Request: 99, RemainingMs: x, Attempt: -1})
		h.handle(balancer.Event{Kind: balancer.EventAttemptDone, Request: 99, Attempt: -1, Server: s,
			Status: balancer.StatusOK})
		for range 40 { // each is forwarded immediately
			h.now += 10
			id, s := h.mustForward(idempotentClass, h.random.Uint64()|1)
			h.endAttempt(id, 0, s, balancer.StatusOK, 10)
		}
		if stats := h.policy.Stats(); math.IsNaN(stats.ServerLimits) || math.IsNaN(stats.ConcurrencyLimit) ||
			math.IsNaN(stats.Shed) || math.IsNaN(stats.OverloadedFraction) {
			t.Errorf("%v: stats %+v", x, stats)
		}
	}
}
