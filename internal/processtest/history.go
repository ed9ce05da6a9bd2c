package processtest

import "time"

// Action is an action of the harness on a process or on the cluster.
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

// Event is an entry of a cluster's history.
type Event struct {
	At      time.Duration // since New
	Process string        // empty for an action on the whole cluster
	Action  Action
	Detail  string // such as the process ID; may be empty
}

// record adds an event to the history.
func (c *Cluster) record(process string, action Action, detail string) {
	c.history.Add(Event{At: time.Since(c.start), Process: process, Action: action, Detail: detail})
}

// History returns a copy of the events so far, in the order of their recording.
func (c *Cluster) History() []Event { return c.history.All() }
