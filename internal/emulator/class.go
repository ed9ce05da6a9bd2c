package emulator

import (
	"time"

	"fernbeam.example/fernbeam/internal/balancer"
)

// Class is a class of requests.
type Class struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"` // of the calls
	// Work is the mean work on a standard core, WorkCV its coefficient of variation (0: it is fixed).
	Work   time.Duration `toml:"work"`
	WorkCV float64       `toml:"work_cv"`
	// DependencyWait is how long a server waits on others after the work.
	DependencyWait   time.Duration `toml:"wait"`
	LatencyObjective time.Duration `toml:"aim"`
	TotalTimeout     time.Duration `toml:"give_up"`
	// PriorityWeight is what a response within the objective earns, LateFraction the part that a later one earns.
	PriorityWeight float64              `toml:"worth"`
	LateFraction   float64              `toml:"late_worth"`
	Idempotency    balancer.Idempotency `toml:"effect"`
	DedupScope     balancer.DedupScope  `toml:"group"`   // of IdempotentByKey
	DedupWindow    time.Duration        `toml:"key_for"` // of IdempotentByKey
}

// idempotentEverywhere tells whether any server may execute a request of the class after another one.
func (c *Class) idempotentEverywhere() bool {
	inWholeFleet := c.Idempotency == balancer.IdempotentByKey && c.DedupScope == balancer.DedupFleet
	return c.Idempotency == balancer.Idempotent || inWholeFleet
}

// inDifferentScopes tells whether two attempts reached servers that do not drop each other's duplicates.
func (c *Class) inDifferentScopes(a, b *Attempt) bool {
	switch c.DedupScope {
	case balancer.DedupCell:
		return a.Cell != b.Cell
	case balancer.DedupZone:
		return a.Zone != b.Zone
	default: // DedupFleet, or the class has no scope
		return false
	}
}
