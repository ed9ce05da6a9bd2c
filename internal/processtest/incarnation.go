package processtest

import (
	"slices"
	"time"
)

// Incarnation is one run of a process, from its start to its end as the harness made them: a process that ends by
// itself counts as running until the harness ends it. All times are of one machine's clock.
type Incarnation struct {
	Start    time.Time
	End      time.Time // just before it is sent a signal; zero: it was sent none
	Graceful bool      // it was ended by SIGTERM
}

// IsRunning tells whether the incarnation has not been ended.
func (i Incarnation) IsRunning() bool { return i.End.IsZero() }

// EndedBefore tells whether the incarnation was ended before another one began.
func (i Incarnation) EndedBefore(other Incarnation) bool {
	return !i.End.IsZero() && i.End.Before(other.Start)
}

// Incarnations returns the runs of a process so far, in order.
func (c *Cluster) Incarnations(name string) []Incarnation {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.processes[name]
	if p == nil {
		return nil
	}
	return slices.Clone(p.incarnations)
}
