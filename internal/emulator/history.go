package emulator

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// How an attempt ended, as the node saw it.
const (
	Served           = "served"
	AttemptFailed    = "error"
	AttemptRejected  = "turned away"
	AttemptCancelled = "called off" // the agent closed the connection
	AttemptBroken    = "broken"     // the node ended the connection, or was silent
	AttemptOpen      = "open"
)

// Attempt is one arrival of a request at a node; times count from the world's start.
type Attempt struct {
	Server   string        `json:"Node"`
	Zone     int           `json:"Zone"`
	Cell     int           `json:"Cell"`
	Started  time.Duration `json:"Began"`   // its head was read
	Received time.Duration `json:"Arrived"` // its last byte was
	Ended    time.Duration `json:"Ended"`
	Outcome  string        `json:"How"`
}

// mayHaveRun tells whether the node may have done its work.
func (a *Attempt) mayHaveExecuted() bool { return a.Outcome != AttemptRejected }

// How a try of a client ended.
const (
	RequestRejected  = "refused" // or served, as an attempt
	RequestFailed    = "failed"
	RequestTimedOut  = "gave up"     // the client, as its time was over
	AgentUnreachable = "unreachable" // nobody took the request
	RequestLost      = "lost"        // the agent ended the connection without a whole answer
	ResponseForged   = "forged"      // an answer that no node made for it
)

// Try is one request of a client to its agent: its first, or a retry with an id of its own.
type Request struct {
	ID           string        `json:"ID"`
	Agent        string        `json:"Agent"`
	Class        int           `json:"Class"`
	Key          uint64        `json:"Key"`
	Retry        int           `json:"Nth"`    // 0: the first
	Sent         time.Duration `json:"Sent"`   // its first byte
	Timeout      time.Duration `json:"Within"` // how long the client waits from then on
	Ended        time.Duration `json:"Ended"`
	Outcome      string        `json:"How"`
	AgentStopped bool          `json:"AgentEnded"` // the agent's process was ended by the lab meanwhile
	Attempts     []Attempt     `json:"Attempts"`
}

// Told is when an agent had been told of a node's state.
type Notification struct {
	Agent, Server string
	At            time.Duration
}

// Fall is a cold node that fell over.
type SlowStartOverload struct {
	Server           string
	At               time.Duration
	ByNotifiedAgents bool // over two thirds of what came was from agents that had been told of the start
}

// History is what a world saw, for the judge.
type History struct {
	Requests []*Request
	// Leaving are, for each agent and node, when it was told that the node drains or is gone.
	Removals  []Notification
	Overloads []SlowStartOverload
}

// Violation is a rule that a history breaks, with the course of the request where there is one.
type Violation struct {
	Rule        string   `json:"Rule"` // "lost", "duplicate", "drain" or "cold", as in WIRE's operating rules
	Description string   `json:"What"`
	Request     *Request `json:"Try"`
}

func (v Violation) String() string {
	if v.Request == nil {
		return v.Rule + ": " + v.Description
	}
	return fmt.Sprintf("%s: %s: %v", v.Rule, v.Description, v.Request)
}

func (t *Request) String() string {
	var b strings.Builder
	ms := func(d time.Duration) string { return fmt.Sprintf("%.1f", float64(d.Microseconds())/1000) }
	fmt.Fprintf(&b, "request %s (class %d, try %d) sent to %s at %s ms for %s ms, ended %q at %s ms", t.ID, t.Class, t.Retry, t.Agent,
		ms(t.Sent), ms(t.Timeout), t.Outcome, ms(t.Ended))
	for _, a := range t.Attempts {
		fmt.Fprintf(&b, "; at %s (zone %d, cell %d) from %s, whole at %s, %q at %s", a.Server, a.Zone, a.Cell, ms(a.Started), ms(a.Received), a.Outcome, ms(a.Ended))
	}
	return b.String()
}

// Class is a class of requests as the rules know it.
type Class struct {
	Name             string        `toml:"name"`
	Share            float64       `toml:"share"` // of the requests
	Work             time.Duration `toml:"work"`
	WorkCV           float64       `toml:"work_cv"` // coefficient of variation of the work; 0: fixed
	DependencyWait   time.Duration `toml:"wait"`
	LatencyObjective time.Duration `toml:"aim"`
	TotalTimeout     time.Duration `toml:"give_up"`
	PriorityWeight   float64       `toml:"worth"`
	LateFraction     float64       `toml:"late_worth"`
	Idempotency      string        `toml:"effect"`  // "free", "guarded" or "single_shot"
	DedupScope       string        `toml:"group"`   // of guarded: "all", "zone" or "cell"
	DedupWindow      time.Duration `toml:"key_for"` // of guarded
}

// Judge decides from a whole history which of the four rules were broken.
func Judge(h *History, classes []Class, c *Contract) (found []Violation) {
	left := map[[2]string]time.Duration{}
	for _, t := range h.Removals {
		k := [2]string{t.Agent, t.Server}
		if at, ok := left[k]; !ok || t.At < at {
			left[k] = t.At
		}
	}
	for _, t := range h.Requests {
		broken := func(rule, what string, args ...any) {
			found = append(found, Violation{rule, fmt.Sprintf(what, args...), t})
		}
		switch {
		case t.Outcome == RequestLost && !t.AgentStopped:
			broken("lost", "no whole answer")
		case t.Outcome == ResponseForged:
			broken("lost", "an answer that no node made")
		}
		slices.SortFunc(t.Attempts, func(a, b Attempt) int { return int(a.Received - b.Received) })
		checkDuplicates(t, &classes[t.Class], c, broken)
		for _, a := range t.Attempts {
			if at, ok := left[[2]string{t.Agent, a.Server}]; ok && a.Started > at+c.DrainGrace+c.Slack {
				broken("drain", "sent to %s %v after it was told to leave it", a.Server, a.Started-at)
			}
		}
	}
	for _, f := range h.Overloads {
		if f.ByNotifiedAgents {
			found = append(found, Violation{"cold", fmt.Sprintf("%s pushed over at %v", f.Server, f.At), nil})
		}
	}
	return found
}

// duplicates judges one try's attempts: never two at once, and after one that may have run only
// what the class allows; the same holds for a refusal, after which clients come again.
func checkDuplicates(t *Request, class *Class, c *Contract, broken func(rule, what string, args ...any)) {
	for i := range t.Attempts {
		b := &t.Attempts[i]
		for j := range t.Attempts[:i] {
			a := &t.Attempts[j]
			if a.Outcome == AttemptOpen || a.Ended > b.Received+c.Slack {
				broken("duplicate", "at %s while it is out at %s", b.Server, a.Server)
			}
			if !a.mayHaveExecuted() {
				continue
			}
			switch {
			case class.Idempotency == "single_shot":
				broken("duplicate", "at %s after it may have run at %s", b.Server, a.Server)
			case class.Idempotency == "guarded" && (class.DedupScope == "cell" && a.Cell != b.Cell || class.DedupScope == "zone" && a.Zone != b.Zone):
				broken("duplicate", "at %s after it may have run at %s, in another %s", b.Server, a.Server, class.DedupScope)
			case class.Idempotency == "guarded" && b.Received > a.Started+class.DedupWindow+c.Slack:
				broken("duplicate", "at %s %v after it was sent to %s", b.Server, b.Received-a.Started, a.Server)
			}
		}
	}
	if t.Outcome == RequestRejected && class.Idempotency != "free" && !(class.Idempotency == "guarded" && class.DedupScope == "all") {
		for _, a := range t.Attempts {
			if a.mayHaveExecuted() {
				broken("duplicate", "refused after it may have run at %s", a.Server)
			}
		}
	}
}
