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

// Idempotency tells whether a request may execute twice. The texts are those of scenarios and settings.
type Idempotency string

// The kinds of idempotency.
const (
	Idempotent      Idempotency = "free"
	IdempotentByKey Idempotency = "guarded" // duplicates are dropped within the DedupScope and the DedupWindow
	NonIdempotent   Idempotency = "single_shot"
)

// DedupScope says among which servers duplicates of a request are dropped. The texts are those of scenarios and
// settings.
type DedupScope string

// The scopes of deduplication.
const (
	DedupFleet DedupScope = "all"
	DedupZone  DedupScope = "zone"
	DedupCell  DedupScope = "cell"
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
	PriorityWeight float64       `toml:"worth"`
	LateFraction   float64       `toml:"late_worth"`
	Idempotency    Idempotency   `toml:"effect"`
	DedupScope     DedupScope    `toml:"group"`   // of IdempotentByKey
	DedupWindow    time.Duration `toml:"key_for"` // of IdempotentByKey
}

// idempotentEverywhere tells whether any server may execute a request of the class after another one.
func (c *Class) idempotentEverywhere() bool {
	return c.Idempotency == Idempotent || c.Idempotency == IdempotentByKey && c.DedupScope == DedupFleet
}

// outsideScope tells whether two attempts reached servers that do not drop each other's duplicates.
func (c *Class) outsideScope(a, b *Attempt) bool {
	switch c.DedupScope {
	case DedupCell:
		return a.Cell != b.Cell
	case DedupZone:
		return a.Zone != b.Zone
	default: // DedupFleet, or the class has no scope
		return false
	}
}
