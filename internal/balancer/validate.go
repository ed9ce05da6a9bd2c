package balancer

import (
	"errors"
	"fmt"
	"slices"
)

// Validate returns an error for the first invalid setting, in the form "settings: KEY: REASON", or nil if
// all settings are valid.
func (s *Settings) Validate() error {
	if len(s.Classes) == 0 {
		return errors.New("settings: classes: none given")
	}
	for i := range s.Classes {
		if err := s.validateClass(i); err != nil {
			return fmt.Errorf("settings: classes[%d].%w", i, err)
		}
	}
	if s.Limits.MaxAttempts < 1 {
		return fmt.Errorf("settings: limits.maxAttempts: must be above 0, is %d", s.Limits.MaxAttempts)
	}
	if !s.DiscoveryMode.valid() {
		return fmt.Errorf("settings: membershipMode: unknown mode %q", s.DiscoveryMode)
	}
	return s.validateNumbers()
}

// validateClass returns an error for the first invalid rule of the class at the index, in the form
// "KEY: REASON", or nil if all are valid.
func (s *Settings) validateClass(index int) error {
	c := &s.Classes[index]
	sameName := func(other Class) bool { return other.Name == c.Name }
	switch {
	case c.Name == "" || slices.ContainsFunc(s.Classes[:index], sameName):
		return fmt.Errorf("name: must be non-empty and unique among the classes, is %q", c.Name)
	case !(c.LatencyObjectiveMs > 0):
		return fmt.Errorf("aimMs: must be above 0, is %v", c.LatencyObjectiveMs)
	case !(c.TotalTimeoutMs > 0):
		return fmt.Errorf("giveUpMs: must be above 0, is %v", c.TotalTimeoutMs)
	case !(c.PriorityWeight >= 0):
		return fmt.Errorf("credit: must not be negative, is %v", c.PriorityWeight)
	case !c.Idempotency.valid():
		return fmt.Errorf("effect: unknown effect %q", c.Idempotency)
	case c.Idempotency == IdempotentByKey && !c.DedupScope.valid():
		return fmt.Errorf("group: unknown group %q", c.DedupScope)
	case c.Idempotency == IdempotentByKey && !(c.DedupWindowMs > 0):
		return fmt.Errorf("keyTtlMs: must be above 0, is %v", c.DedupWindowMs)
	}
	return nil
}

// validateNumbers returns an error for the first number that is negative or NaN, or nil if there is none.
func (s *Settings) validateNumbers() error {
	for _, number := range []struct {
		key   string
		value float64
	}{
		{"contract.answerSlackMs", s.Contract.ResponseSlackMs},
		{"contract.askWithinMs", s.Contract.PollWithinMs},
		{"contract.coldFrom", s.Contract.SlowStartFrom},
		{"contract.coldMs", s.Contract.SlowStartMs},
		{"contract.drainGraceMs", s.Contract.DrainGraceMs},
		{"contract.fallMultiple", s.Contract.OverloadMultiple},
		{"contract.tipAfterMs", s.Contract.OverloadWindowMs},
		{"limits.maxRetryAfterMs", s.Limits.MaxRetryAfterMs},
		{"replicasOfMe", float64(s.FleetSize)},
		{"roundMs", s.RoundTripMs},
	} {
		if !(number.value >= 0) {
			return fmt.Errorf("settings: %s: must not be negative, is %v", number.key, number.value)
		}
	}
	return nil
}

// valid reports whether i is a defined value of Idempotency.
func (i Idempotency) valid() bool {
	return i == Idempotent || i == IdempotentByKey || i == NonIdempotent
}

// valid reports whether d is a defined value of DedupScope.
func (d DedupScope) valid() bool { return d == DedupFleet || d == DedupZone || d == DedupCell }

// valid reports whether d is a defined value of DiscoveryMode.
func (d DiscoveryMode) valid() bool { return d == DiscoveryPushed || d == DiscoveryOnRequest }
