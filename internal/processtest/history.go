package processtest

import "time"

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
	c.history.Add(Event{At: time.Since(c.start), Process: process, Action: action, Detail: detail})
}

// History returns a copy of the events so far, in the order in which they were recorded.
func (c *Cluster) History() []Event { return c.history.All() }
