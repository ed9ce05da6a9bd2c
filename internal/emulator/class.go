package emulator

import (
	"time"

	"fernbeam.example/fernbeam/internal/balancer"
)

// Class describes a request class and its share of the traffic.
type Class struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"` // fraction of the calls
	// Work is the mean work on a standard core. WorkCV is its coefficient of variation; if it is 0, the work is
	// constant.
	Work   time.Duration `toml:"work"`
	WorkCV float64       `toml:"work_cv"`
	// DependencyWait is how long a server waits for its dependencies after the work.
	DependencyWait   time.Duration `toml:"wait"`
	LatencyObjective time.Duration `toml:"aim"`
	TotalTimeout     time.Duration `toml:"give_up"`
	// PriorityWeight is the value of a response within the latency objective. LateFraction is the fraction of this
	// value that a later response has.
	PriorityWeight float64              `toml:"worth"`
	LateFraction   float64              `toml:"late_worth"`
	Idempotency    balancer.Idempotency `toml:"effect"`
	DedupScope     balancer.DedupScope  `toml:"group"`   // for IdempotentByKey
	DedupWindow    time.Duration        `toml:"key_for"` // for IdempotentByKey
}

// idempotentEverywhere reports whether any server may execute a request of the class after another server may have
// executed it.
func (c *Class) idempotentEverywhere() bool {
	inWholeFleet := c.Idempotency == balancer.IdempotentByKey && c.DedupScope == balancer.DedupFleet
	return c.Idempotency == balancer.Idempotent || inWholeFleet
}

// inDifferentScopes reports whether two attempts reached servers that do not drop each other's duplicates.
func (c *Class) inDifferentScopes(a, b *Attempt) bool {
	switch c.DedupScope {
	case balancer.DedupCell:
		return a.Cell != b.Cell
	case balancer.DedupZone:
		return a.Zone != b.Zone
	default: // DedupFleet, or a class without a scope
		return false
	}
}
