package emulator

import (
	"fmt"
	"strings"
	"time"

	"fernbeam.example/fernbeam/internal/clock"
)

// Outcome is how an attempt ended for the server or a request ended for the client. Its values are stored in records.
type Outcome string

// Served is the outcome of an attempt or request that got a successful response.
const Served Outcome = "served"

// Other outcomes of an attempt.
const (
	AttemptFailed    Outcome = "error"
	AttemptRejected  Outcome = "turned away" // not executed
	AttemptCancelled Outcome = "called off"  // the agent closed the connection
	AttemptBroken    Outcome = "broken"      // the server closed the connection or was partitioned
	AttemptOpen      Outcome = "open"        // in flight
)

// Other outcomes of a request.
const (
	RequestRejected  Outcome = "refused"
	RequestFailed    Outcome = "failed"
	RequestTimedOut  Outcome = "gave up"     // the client reached the request timeout
	AgentUnreachable Outcome = "unreachable" // no process accepted the connection
	RequestLost      Outcome = "lost"        // the agent closed the connection before the response was complete
	ResponseForged   Outcome = "forged"      // a response that no server made for the request
)

// Attempt is one arrival of a request at a server. Times count from the emulator's start.
type Attempt struct {
	Server   string        `json:"Node"`
	Zone     int           `json:"Zone"`
	Cell     int           `json:"Cell"`
	Started  time.Duration `json:"Began"`   // when its header was read
	Received time.Duration `json:"Arrived"` // when its last byte was read
	Ended    time.Duration `json:"Ended"`
	Outcome  Outcome       `json:"How"`
}

// mayHaveExecuted reports whether the server may have executed the request.
func (a *Attempt) mayHaveExecuted() bool { return a.Outcome != AttemptRejected }

// Request is a request from a client to its agent. It is the first request of a call or one of its retries; each has
// its own ID. Times count from the emulator's start.
type Request struct {
	ID           string        `json:"ID"`
	Agent        string        `json:"Agent"`
	Class        int           `json:"Class"`
	Key          uint64        `json:"Key"`
	Retry        int           `json:"Nth"`    // 0 for the first request of the call
	Sent         time.Duration `json:"Sent"`   // when the client started to send it
	Timeout      time.Duration `json:"Within"` // how long the client waits after Sent
	Ended        time.Duration `json:"Ended"`
	Outcome      Outcome       `json:"How"`
	AgentStopped bool          `json:"AgentEnded"` // the experiment stopped the agent's process in the meantime
	Attempts     []Attempt     `json:"Attempts"`
}

// String returns a one-line description of the request and its attempts.
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

// milliseconds formats a duration in milliseconds with one decimal.
func milliseconds(d time.Duration) string { return fmt.Sprintf("%.1f", clock.Milliseconds(d)) }

// Notification records when an agent was notified of a change of a server's state.
type Notification struct {
	Agent, Server string
	At            time.Duration
}

// SlowStartOverload records that a server in slow start was overloaded and failed.
type SlowStartOverload struct {
	Server string
	At     time.Duration
	// ByNotifiedAgents is set if more than two thirds of the load came from agents that had been notified of the start.
	ByNotifiedAgents bool
}

// History holds what the emulator observed in a run. Judge checks it against the operating rules.
type History struct {
	Requests []*Request
	// Removals are the notifications to agents that a server is draining or removed.
	Removals  []Notification
	Overloads []SlowStartOverload
}
