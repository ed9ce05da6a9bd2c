package processtest

import (
	"slices"
	"time"
)

// Action is what was done to a process or to the cluster.
type Action string

// The values of Action.
const (
	ActionStart     Action = "start"
	ActionKill      Action = "kill"
	ActionTerm      Action = "term"
	ActionPause     Action = "pause"
	ActionResume    Action = "resume"
	ActionPartition Action = "partition"
	ActionHeal      Action = "heal"
)

// Event is one entry of the history.
type Event struct {
	At      time.Duration // since New
	Process string        // "": the whole cluster
	Action  Action
	Detail  string // such as the process id; "": none
}

// record adds an event to the history.
func (c *Cluster) record(process string, action Action, detail string) {
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
