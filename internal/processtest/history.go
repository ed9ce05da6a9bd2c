package processtest

import (
	"slices"
	"time"
)

// Event is one entry of the history: when (since New), which process ("" for the whole cluster), what was done or seen,
// and any detail.
type Event struct {
	At      time.Duration
	Process string
	Action  string
	Detail  string
}

// record adds an event to the history.
func (c *Cluster) record(process, action, detail string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.history = append(c.history, Event{At: time.Since(c.start), Process: process, Action: action, Detail: detail})
}

// History is a copy of the events so far, in order.
func (c *Cluster) History() []Event {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.history)
}
