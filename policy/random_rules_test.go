package policy_test

import (
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"fernbeam.example/fernbeam/internal/balancer"
)

// mayHaveExecuted reports whether any attempt of the request may have executed.
func (r *simulatedRequest) mayHaveExecuted() bool {
	return slices.ContainsFunc(r.attempts, (*simulatedAttempt).mayHaveExecuted)
}

// mayHaveExecuted reports whether the attempt may have executed.
func (a *simulatedAttempt) mayHaveExecuted() bool { return !a.ended || !a.status.NotExecuted() }

// checkForward checks the number, the time and the server of a new attempt, and that the attempt cannot
// execute a request a second time unless that is permitted.
func (s *randomScenario) checkForward(r *simulatedRequest, a *balancer.Action) {
	s.t.Helper()
	if r.finalAnswers > 0 || s.now > r.deadline {
		s.t.Fatalf("request %d forwarded after its answer or its deadline", a.Request)
	}
	if len(r.attempts) >= r.rules.MaxAttempts {
		s.t.Fatalf("request %d: attempt %d of at most %d", a.Request, len(r.attempts)+1, r.rules.MaxAttempts)
	}
	since, unusable := s.unusableSince[a.Server]
	if unusable && s.now-since > s.settings.Contract.DrainGraceMs {
		s.t.Fatalf("forwarded to %v %.0f ms after it was listed as draining or removed",
			a.Server, s.now-since)
	}
	for _, earlier := range r.attempts {
		if !earlier.ended && !s.settings.Limits.HedgedRequests {
			s.t.Fatalf("request %d hedged although the settings do not permit it", a.Request)
		}
		if earlier.mayHaveExecuted() {
			s.checkRetry(r, earlier, a)
		}
	}
}

// checkRetry checks an attempt after one that may have executed.
func (s *randomScenario) checkRetry(r *simulatedRequest, earlier *simulatedAttempt, a *balancer.Action) {
	s.t.Helper()
	if r.rules.Idempotency == balancer.NonIdempotent {
		s.t.Fatalf("request %d retried although it may have executed", a.Request)
	}
	if r.rules.Idempotency != balancer.IdempotentByKey {
		return
	}
	if afterMs := s.now - earlier.startedAt; afterMs > r.rules.DedupWindowMs {
		s.t.Fatalf("request %d retried %.0f ms after it may have executed", a.Request, afterMs)
	}
	from, to := s.endpoints[earlier.server], s.endpoints[a.Server]
	if r.rules.DedupScope == balancer.DedupZone && from.Zone != to.Zone ||
		r.rules.DedupScope == balancer.DedupCell && from.Cell != to.Cell {
		s.t.Fatalf("request %d retried outside its deduplication scope", a.Request)
	}
}

// checkFinalAnswer checks that a rejection or a failure is the only final answer and in time, and that a
// rejection does not permit a retry that may execute the request twice.
func (s *randomScenario) checkFinalAnswer(r *simulatedRequest, a *balancer.Action) {
	s.t.Helper()
	if r.finalAnswers > 1 {
		s.t.Fatalf("request %d has a second final answer", a.Request)
	}
	if s.now > r.deadline+s.settings.Contract.ResponseSlackMs {
		s.t.Fatalf("request %d answered %.1f ms after its deadline", a.Request, s.now-r.deadline)
	}
	repeatable := r.rules.Idempotency == balancer.Idempotent ||
		r.rules.Idempotency == balancer.IdempotentByKey && r.rules.DedupScope == balancer.DedupFleet
	if a.Kind == balancer.ActionReject && r.mayHaveExecuted() && !repeatable {
		s.t.Fatalf("request %d with idempotency %q rejected although it may have executed",
			a.Request, r.rules.Idempotency)
	}
}

// checkNotLost checks that a request has a final answer in time.
func (s *randomScenario) checkNotLost(id balancer.RequestID, r *simulatedRequest) {
	s.t.Helper()
	if r.finalAnswers == 0 && s.now > r.deadline+s.settings.Contract.ResponseSlackMs {
		s.t.Fatalf("request %d of class %s has no answer %.0f ms after its deadline",
			id, r.rules.Name, s.now-r.deadline)
	}
}

// checkEnd checks that at the end every request has exactly one final answer, every attempt has ended, and
// nothing is queued or in flight in the policy.
func (s *randomScenario) checkEnd(seed uint64) {
	s.t.Helper()
	for id, r := range s.requests {
		if r.finalAnswers != 1 {
			s.t.Errorf("seed %d: request %d has %d final answers at the end", seed, id, r.finalAnswers)
		}
		for i, attempt := range r.attempts {
			if !attempt.ended {
				s.t.Errorf("seed %d: request %d: attempt %d at %v has not ended", seed, id, i, attempt.server)
			}
		}
	}
	if stats := s.policy.Stats(); stats.Queued != 0 || stats.InFlight != 0 {
		s.t.Errorf("seed %d: %d queued and %d in flight at the end", seed, stats.Queued, stats.InFlight)
	}
}

// The rules hold in random scenarios with settings and seeds drawn by rapid.
func TestRulesHoldInRandomScenarios(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		runRandomScenario(t, drawSettings(t), rapid.Uint64().Draw(t, "seed"))
	})
}

// Two runs of the same scenario return the same actions.
func TestEqualInputsGiveEqualActions(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		settings, seed := drawSettings(t), rapid.Uint64().Draw(t, "seed")
		first := runRandomScenario(t, settings, seed)
		if !reflect.DeepEqual(first, runRandomScenario(t, settings, seed)) {
			t.Error("two runs of the same scenario returned different actions")
		}
	})
}
