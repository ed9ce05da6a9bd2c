package emulator

import (
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/balancer"
)

const ms = time.Millisecond

// Indexes of judgeClasses.
const (
	classNonIdempotent = iota
	classIdempotentByKey
	classIdempotent
)

var judgeClasses = []Class{
	{Name: "once", Idempotency: balancer.NonIdempotent},
	{Name: "keyed", Idempotency: balancer.IdempotentByKey, DedupScope: balancer.DedupCell, DedupWindow: time.Second},
	{Name: "free", Idempotency: balancer.Idempotent},
}

// Indexes of the requests of validHistory.
const (
	requestForwardedTwice = iota
	requestWithDuplicate
	requestOfStoppedAgent
	requestRejectedWhileDraining
	requestRejectedAfterError
)

// validHistory returns a history without violations in which a small change violates each rule.
func validHistory() *History {
	requests := make([]*Request, 5)
	requests[requestForwardedTwice] = &Request{
		Agent: "a", Class: classNonIdempotent, Outcome: Served,
		Attempts: []Attempt{
			{Server: "x", Received: 10 * ms, Ended: 12 * ms, Outcome: AttemptRejected},
			{Server: "y", Received: 20 * ms, Ended: 90 * ms, Outcome: Served},
		},
	}
	requests[requestWithDuplicate] = &Request{
		Agent: "a", Class: classIdempotentByKey, Outcome: Served,
		Attempts: []Attempt{
			{Server: "x", Cell: 1, Started: 10 * ms, Received: 10 * ms, Ended: 200 * ms, Outcome: AttemptFailed},
			{Server: "y", Cell: 1, Received: 220 * ms, Ended: 400 * ms, Outcome: Served},
		},
	}
	requests[requestOfStoppedAgent] = &Request{
		Agent: "b", Class: classNonIdempotent, Outcome: RequestLost, AgentStopped: true,
		Attempts: []Attempt{{Server: "x", Received: 10 * ms, Outcome: AttemptOpen}},
	}
	requests[requestRejectedWhileDraining] = &Request{
		Agent: "a", Class: classNonIdempotent, Outcome: RequestRejected,
		Attempts: []Attempt{
			{Server: "z", Started: 1340 * ms, Received: 1340 * ms, Ended: 1345 * ms, Outcome: AttemptRejected},
		},
	}
	requests[requestRejectedAfterError] = &Request{
		Agent: "a", Class: classIdempotent, Outcome: RequestRejected,
		Attempts: []Attempt{{Server: "x", Received: 10 * ms, Ended: 20 * ms, Outcome: AttemptFailed}},
	}
	return &History{
		Requests:  requests,
		Removals:  []Notification{{"a", "z", time.Second}, {"b", "x", 0}},
		Overloads: []SlowStartOverload{{Server: "x"}},
	}
}

// TestJudgeFindsEachViolation adds one violation at a time to a history without violations.
func TestJudgeFindsEachViolation(t *testing.T) {
	contract := &Contract{DrainGrace: 300 * ms, Slack: 50 * ms}
	if got := Judge(validHistory(), judgeClasses, contract); len(got) > 0 {
		t.Fatalf("violations in a valid history: %v", got)
	}
	for _, test := range []struct {
		name    string
		want    Rule
		violate func(h *History)
	}{
		{"lost response", RuleLost, func(h *History) { h.Requests[requestOfStoppedAgent].AgentStopped = false }},
		{"forged response", RuleLost, func(h *History) { h.Requests[requestForwardedTwice].Outcome = ResponseForged }},
		{"executed twice", RuleDuplicate, func(h *History) {
			h.Requests[requestForwardedTwice].Attempts[0].Outcome = AttemptBroken
		}},
		{"two in flight", RuleDuplicate, func(h *History) {
			h.Requests[requestForwardedTwice].Attempts[0].Ended = 80 * ms
		}},
		{"other cell", RuleDuplicate, func(h *History) { h.Requests[requestWithDuplicate].Attempts[1].Cell = 2 }},
		{"after the window", RuleDuplicate, func(h *History) {
			h.Requests[requestWithDuplicate].Attempts[1].Received = 1070 * ms
		}},
		{"rejected after execution", RuleDuplicate, func(h *History) {
			h.Requests[requestRejectedWhileDraining].Attempts[0].Outcome = AttemptCancelled
		}},
		{"sent to a draining server", RuleDrain, func(h *History) {
			h.Requests[requestRejectedWhileDraining].Attempts[0].Started = 1351 * ms
		}},
		{"overloaded in slow start", RuleSlowStart, func(h *History) { h.Overloads[0].ByNotifiedAgents = true }},
	} {
		t.Run(test.name, func(t *testing.T) {
			history := validHistory()
			test.violate(history)
			if got := Judge(history, judgeClasses, contract); len(got) == 0 || got[0].Rule != test.want {
				t.Errorf("violations: %v, want one of %q", got, test.want)
			}
		})
	}
}
