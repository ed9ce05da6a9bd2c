package emulator

import (
	"fmt"
	"strings"
	"time"

	"fernbeam.example/fernbeam/internal/clock"
)

// Outcome is how an attempt ended for the server, or a request for the client. The texts stand in records.
type Outcome string

// Served is the outcome of an attempt or a request that was answered successfully.
const Served Outcome = "served"

// The other outcomes of an attempt.
const (
	AttemptFailed    Outcome = "error"
	AttemptRejected  Outcome = "turned away" // not executed
	AttemptCancelled Outcome = "called off"  // the agent closed the connection
	AttemptBroken    Outcome = "broken"      // the server closed the connection, or was partitioned
	AttemptOpen      Outcome = "open"
)

// The other outcomes of a request.
const (
	RequestRejected  Outcome = "refused"
	RequestFailed    Outcome = "failed"
	RequestTimedOut  Outcome = "gave up"     // the client gave up
	AgentUnreachable Outcome = "unreachable" // no process took the request
	RequestLost      Outcome = "lost"        // the agent closed the connection before a complete response
	ResponseForged   Outcome = "forged"      // a response that no server made for the request
)

// Attempt is one arrival of a request at a server; times count from the emulator's start.
type Attempt struct {
	Server   string        `json:"Node"`
	Zone     int           `json:"Zone"`
	Cell     int           `json:"Cell"`
	Started  time.Duration `json:"Began"`   // its header was read
	Received time.Duration `json:"Arrived"` // its last byte was read
	Ended    time.Duration `json:"Ended"`
	Outcome  Outcome       `json:"How"`
}

// mayHaveExecuted tells whether the server may have executed the request.
func (a *Attempt) mayHaveExecuted() bool { return a.Outcome != AttemptRejected }

// Request is one request of a client to its agent: the first one of a call, or a retry, which has an id of its own.
type Request struct {
	ID           string        `json:"ID"`
	Agent        string        `json:"Agent"`
	Class        int           `json:"Class"`
	Key          uint64        `json:"Key"`
	Retry        int           `json:"Nth"`    // 0: the first request of the call
	Sent         time.Duration `json:"Sent"`   // its first byte was written
	Timeout      time.Duration `json:"Within"` // how long the client waits from then on
	Ended        time.Duration `json:"Ended"`
	Outcome      Outcome       `json:"How"`
	AgentStopped bool          `json:"AgentEnded"` // the experiment ended the agent's process meanwhile
	Attempts     []Attempt     `json:"Attempts"`
}

// String describes the request and its attempts on one line.
func (r *Request) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s (class %d, retry %d) sent to %s at %s ms for %s ms, ended %q at %s ms",
		r.ID, r.Class, r.Retry, r.Agent, milliseconds(r.Sent), milliseconds(r.Timeout), r.Outcome,
		milliseconds(r.Ended))
	for _, a := range r.Attempts {
		fmt.Fprintf(&b, "; at %s (zone %d, cell %d) from %s, received at %s, %q at %s",
			a.Server, a.Zone, a.Cell, milliseconds(a.Started), milliseconds(a.Received), a.Outcome,
			milliseconds(a.Ended))
	}
	return b.String()
}

// milliseconds formats a time in milliseconds with one decimal.
func milliseconds(d time.Duration) string { return fmt.Sprintf("%.1f", clock.Milliseconds(d)) }

// Notification is when an agent was notified of a change of a server's state.
type Notification struct {
	Agent, Server string
	At            time.Duration
}

// SlowStartOverload is a server in slow start that was overloaded and failed.
type SlowStartOverload struct {
	Server string
	At     time.Duration
	// ByNotifiedAgents tells that over two thirds of the load came from agents that were notified of the start.
	ByNotifiedAgents bool
}

// History is what the emulator observed in a run, for Judge.
type History struct {
	Requests []*Request
	// Removals are the notifications of agents that a server is draining or removed.
	Removals  []Notification
	Overloads []SlowStartOverload
}
