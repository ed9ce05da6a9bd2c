package balancer

import (
	"fmt"
	"slices"
)

// Validate returns an error for the first setting that is not valid, as "settings: KEY: what is
// wrong", or nil.
func (s *Settings) Validate() error {
	if len(s.Classes) == 0 {
		return fmt.Errorf("settings: classes: none given")
	}
	for i, c := range s.Classes {
		at := func(key string) string { return fmt.Sprintf("settings: classes[%d].%s", i, key) }
		switch {
		case c.Name == "" || slices.ContainsFunc(s.Classes[:i], func(o Class) bool { return o.Name == c.Name }):
			return fmt.Errorf("%s: must be there and be another for each class, is %q", at("name"), c.Name)
		case !(c.LatencyObjectiveMs > 0):
			return fmt.Errorf("%s: must be above 0, is %v", at("aimMs"), c.LatencyObjectiveMs)
		case !(c.TotalTimeoutMs > 0):
			return fmt.Errorf("%s: must be above 0, is %v", at("giveUpMs"), c.TotalTimeoutMs)
		case !(c.PriorityWeight >= 0):
			return fmt.Errorf("%s: must not be negative, is %v", at("credit"), c.PriorityWeight)
		case c.Idempotency != Idempotent && c.Idempotency != IdempotentByKey && c.Idempotency != NonIdempotent:
			return fmt.Errorf("%s: unknown effect %q", at("effect"), c.Idempotency)
		case c.Idempotency == IdempotentByKey && c.DedupScope != DedupFleet && c.DedupScope != DedupZone &&
			c.DedupScope != DedupCell:
			return fmt.Errorf("%s: unknown group %q", at("group"), c.DedupScope)
		case c.Idempotency == IdempotentByKey && !(c.DedupWindowMs > 0):
			return fmt.Errorf("%s: must be above 0, is %v", at("keyTtlMs"), c.DedupWindowMs)
		}
	}
	if s.Limits.MaxAttempts < 1 {
		return fmt.Errorf("settings: limits.maxAttempts: must be above 0, is %d", s.Limits.MaxAttempts)
	}
	if s.DiscoveryMode != DiscoveryPushed && s.DiscoveryMode != DiscoveryOnRequest {
		return fmt.Errorf("settings: membershipMode: unknown mode %q", s.DiscoveryMode)
	}
	for _, f := range []struct {
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
		if !(f.value >= 0) {
			return fmt.Errorf("settings: %s: must not be negative, is %v", f.key, f.value)
		}
	}
	return nil
}
