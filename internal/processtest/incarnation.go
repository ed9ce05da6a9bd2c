package processtest

import (
	"slices"
	"time"
)

// Incarnation is one run of a process, from its start to its end by the harness. A process that exits on its own counts
// as running until the harness ends it. All times are of one machine's clock.
type Incarnation struct {
	Start    time.Time
	End      time.Time // just before the signal is sent; zero if none was sent
	Graceful bool      // whether the signal was SIGTERM
}

// IsRunning reports whether the harness has not ended the incarnation.
func (i Incarnation) IsRunning() bool { return i.End.IsZero() }

// EndedBefore reports whether the incarnation was ended before the start of another one.
func (i Incarnation) EndedBefore(other Incarnation) bool {
	return !i.End.IsZero() && i.End.Before(other.Start)
}

// Incarnations returns the incarnations of a process so far, in order.
func (c *Cluster) Incarnations(name string) []Incarnation {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.processes[name]
	if p == nil {
		return nil
	}
	return slices.Clone(p.incarnations)
}
