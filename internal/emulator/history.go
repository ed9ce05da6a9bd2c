package emulator

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// How an attempt ended, as the node saw it.
const (
	Served     = "served"
	Error      = "error"
	TurnedAway = "turned away"
	CalledOff  = "called off" // the agent closed the connection
	Broken     = "broken"     // the node ended the connection, or was silent
	Open       = "open"
)

// Attempt is one arrival of a request at a node; times count from the world's start.
type Attempt struct {
	Node    string        `json:"Node"`
	Zone    int           `json:"Zone"`
	Cell    int           `json:"Cell"`
	Began   time.Duration `json:"Began"`   // its head was read
	Arrived time.Duration `json:"Arrived"` // its last byte was
	Ended   time.Duration `json:"Ended"`
	How     string        `json:"How"`
}

// mayHaveRun tells whether the node may have done its work.
func (a *Attempt) mayHaveRun() bool { return a.How != TurnedAway }

// How a try of a client ended.
const (
	Refused     = "refused" // or served, as an attempt
	Failed      = "failed"
	GaveUp      = "gave up"     // the client, as its time was over
	Unreachable = "unreachable" // nobody took the request
	Lost        = "lost"        // the agent ended the connection without a whole answer
	Forged      = "forged"      // an answer that no node made for it
)

// Try is one request of a client to its agent: its first, or a retry with an id of its own.
type Try struct {
	ID         string        `json:"ID"`
	Agent      string        `json:"Agent"`
	Class      int           `json:"Class"`
	Key        uint64        `json:"Key"`
	Nth        int           `json:"Nth"`    // 0: the first
	Sent       time.Duration `json:"Sent"`   // its first byte
	Within     time.Duration `json:"Within"` // how long the client waits from then on
	Ended      time.Duration `json:"Ended"`
	How        string        `json:"How"`
	AgentEnded bool          `json:"AgentEnded"` // the agent's process was ended by the lab meanwhile
	Attempts   []Attempt     `json:"Attempts"`
}

// Told is when an agent had been told of a node's state.
type Told struct {
	Agent, Node string
	At          time.Duration
}

// Fall is a cold node that fell over.
type Fall struct {
	Node   string
	At     time.Duration
	Guilty bool // over two thirds of what came was from agents that had been told of the start
}

// History is what a world saw, for the judge.
type History struct {
	Tries []*Try
	// Leaving are, for each agent and node, when it was told that the node drains or is gone.
	Leaving []Told
	Falls   []Fall
}

// Violation is a rule that a history breaks, with the course of the request where there is one.
type Violation struct {
	Rule string `json:"Rule"` // "lost", "duplicate", "drain" or "cold", as in WIRE's operating rules
	What string `json:"What"`
	Try  *Try   `json:"Try"`
}

func (v Violation) String() string {
	if v.Try == nil {
		return v.Rule + ": " + v.What
	}
	return fmt.Sprintf("%s: %s: %v", v.Rule, v.What, v.Try)
}

func (t *Try) String() string {
	var b strings.Builder
	ms := func(d time.Duration) string { return fmt.Sprintf("%.1f", float64(d.Microseconds())/1000) }
	fmt.Fprintf(&b, "request %s (class %d, try %d) sent to %s at %s ms for %s ms, ended %q at %s ms", t.ID, t.Class, t.Nth, t.Agent,
		ms(t.Sent), ms(t.Within), t.How, ms(t.Ended))
	for _, a := range t.Attempts {
		fmt.Fprintf(&b, "; at %s (zone %d, cell %d) from %s, whole at %s, %q at %s", a.Node, a.Zone, a.Cell, ms(a.Began), ms(a.Arrived), a.How, ms(a.Ended))
	}
	return b.String()
}

// Class is a class of requests as the rules know it.
type Class struct {
	Name      string        `toml:"name"`
	Share     float64       `toml:"share"` // of the requests
	Work      time.Duration `toml:"work"`
	WorkCV    float64       `toml:"work_cv"` // coefficient of variation of the work; 0: fixed
	Wait      time.Duration `toml:"wait"`
	Aim       time.Duration `toml:"aim"`
	GiveUp    time.Duration `toml:"give_up"`
	Worth     float64       `toml:"worth"`
	LateWorth float64       `toml:"late_worth"`
	Effect    string        `toml:"effect"`  // "free", "guarded" or "single_shot"
	Group     string        `toml:"group"`   // of guarded: "all", "zone" or "cell"
	KeyFor    time.Duration `toml:"key_for"` // of guarded
}

// Judge decides from a whole history which of the four rules were broken.
func Judge(h *History, classes []Class, c *Contract) (found []Violation) {
	left := map[[2]string]time.Duration{}
	for _, t := range h.Leaving {
		k := [2]string{t.Agent, t.Node}
		if at, ok := left[k]; !ok || t.At < at {
			left[k] = t.At
		}
	}
	for _, t := range h.Tries {
		broken := func(rule, what string, args ...any) {
			found = append(found, Violation{rule, fmt.Sprintf(what, args...), t})
		}
		switch {
		case t.How == Lost && !t.AgentEnded:
			broken("lost", "no whole answer")
		case t.How == Forged:
			broken("lost", "an answer that no node made")
		}
		slices.SortFunc(t.Attempts, func(a, b Attempt) int { return int(a.Arrived - b.Arrived) })
		duplicates(t, &classes[t.Class], c, broken)
		for _, a := range t.Attempts {
			if at, ok := left[[2]string{t.Agent, a.Node}]; ok && a.Began > at+c.DrainGrace+c.Slack {
				broken("drain", "sent to %s %v after it was told to leave it", a.Node, a.Began-at)
			}
		}
	}
	for _, f := range h.Falls {
		if f.Guilty {
			found = append(found, Violation{"cold", fmt.Sprintf("%s pushed over at %v", f.Node, f.At), nil})
		}
	}
	return found
}

// duplicates judges one try's attempts: never two at once, and after one that may have run only
// what the class allows; the same holds for a refusal, after which clients come again.
func duplicates(t *Try, class *Class, c *Contract, broken func(rule, what string, args ...any)) {
	for i := range t.Attempts {
		b := &t.Attempts[i]
		for j := range t.Attempts[:i] {
			a := &t.Attempts[j]
			if a.How == Open || a.Ended > b.Arrived+c.Slack {
				broken("duplicate", "at %s while it is out at %s", b.Node, a.Node)
			}
			if !a.mayHaveRun() {
				continue
			}
			switch {
			case class.Effect == "single_shot":
				broken("duplicate", "at %s after it may have run at %s", b.Node, a.Node)
			case class.Effect == "guarded" && (class.Group == "cell" && a.Cell != b.Cell || class.Group == "zone" && a.Zone != b.Zone):
				broken("duplicate", "at %s after it may have run at %s, in another %s", b.Node, a.Node, class.Group)
			case class.Effect == "guarded" && b.Arrived > a.Began+class.KeyFor+c.Slack:
				broken("duplicate", "at %s %v after it was sent to %s", b.Node, b.Arrived-a.Began, a.Node)
			}
		}
	}
	if t.How == Refused && class.Effect != "free" && !(class.Effect == "guarded" && class.Group == "all") {
		for _, a := range t.Attempts {
			if a.mayHaveRun() {
				broken("duplicate", "refused after it may have run at %s", a.Node)
			}
		}
	}
}
