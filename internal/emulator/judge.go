package emulator

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"fernbeam.example/fernbeam/internal/balancer"
)

// Rule is one of the four operating rules (WIRE, "Operating rules"). Its values are stored in records.
type Rule string

// The operating rules.
const (
	RuleLost      Rule = "lost"      // every request gets one complete response, which a server made for it
	RuleDuplicate Rule = "duplicate" // no request executes twice unless its class allows it
	RuleDrain     Rule = "drain"     // no new request goes to a server after the notification of its removal
	RuleSlowStart Rule = "cold"      // no server in slow start is overloaded by agents notified of its start
)

// Violation is a breach of a rule. Request is nil if the breach does not concern a single request.
type Violation struct {
	Rule        Rule     `json:"Rule"`
	Description string   `json:"What"`
	Request     *Request `json:"Try"`
}

// String returns a one-line description of the violation.
func (v Violation) String() string {
	if v.Request == nil {
		return fmt.Sprintf("%s: %s", v.Rule, v.Description)
	}
	return fmt.Sprintf("%s: %s: %v", v.Rule, v.Description, v.Request)
}

// agentServer is a pair of an agent and a server.
type agentServer struct{ agent, server string }

// judge checks a history and collects its violations.
type judge struct {
	contract   *Contract
	removedAt  map[agentServer]time.Duration // first notification of the drain or removal
	violations []Violation
}

// Judge returns the violations of the operating rules in a complete history.
func Judge(history *History, classes []Class, contract *Contract) []Violation {
	j := &judge{contract: contract, removedAt: firstNotifications(history.Removals)}
	for _, request := range history.Requests {
		slices.SortFunc(request.Attempts, func(a, b Attempt) int { return cmp.Compare(a.Received, b.Received) })
		j.checkResponse(request)
		j.checkDuplicates(request, &classes[request.Class])
		j.checkDrain(request)
	}
	for _, overload := range history.Overloads {
		if overload.ByNotifiedAgents {
			j.report(RuleSlowStart, nil, "%s overloaded in slow start at %v", overload.Server, overload.At)
		}
	}
	return j.violations
}

// firstNotifications returns the time at which each agent was first notified of each server's drain or removal.
func firstNotifications(notifications []Notification) map[agentServer]time.Duration {
	first := map[agentServer]time.Duration{}
	for _, n := range notifications {
		key := agentServer{n.Agent, n.Server}
		if at, ok := first[key]; !ok || n.At < at {
			first[key] = n.At
		}
	}
	return first
}

// report adds a violation. The request may be nil.
func (j *judge) report(rule Rule, request *Request, format string, args ...any) {
	j.violations = append(j.violations, Violation{rule, fmt.Sprintf(format, args...), request})
}

// checkResponse checks that the request got one complete response, which a server made for it.
func (j *judge) checkResponse(request *Request) {
	switch {
	case request.Outcome == RequestLost && !request.AgentStopped:
		j.report(RuleLost, request, "no complete response")
	case request.Outcome == ResponseForged:
		j.report(RuleLost, request, "a response that no server made")
	}
}

// checkDuplicates checks that no two attempts are in flight at the same time, and that an attempt that may have
// executed is followed only by attempts that the class allows. It also checks that a request is not rejected after an
// attempt that may have executed, because clients retry after a rejection. The last check does not apply to classes
// whose requests any server may execute again.
func (j *judge) checkDuplicates(request *Request, class *Class) {
	for i := range request.Attempts {
		for k := range request.Attempts[:i] {
			j.checkPair(request, class, &request.Attempts[k], &request.Attempts[i])
		}
	}
	if request.Outcome != RequestRejected || class.idempotentEverywhere() {
		return
	}
	for i := range request.Attempts {
		if a := &request.Attempts[i]; a.mayHaveExecuted() {
			j.report(RuleDuplicate, request, "rejected after it may have executed at %s", a.Server)
		}
	}
}

// checkPair checks an attempt against an earlier attempt of the same request.
func (j *judge) checkPair(request *Request, class *Class, earlier, later *Attempt) {
	slack := j.contract.Slack
	if earlier.Outcome == AttemptOpen || earlier.Ended > later.Received+slack {
		j.report(RuleDuplicate, request, "at %s while it is in flight at %s", later.Server, earlier.Server)
	}
	if !earlier.mayHaveExecuted() {
		return
	}
	switch {
	case class.Idempotency == balancer.NonIdempotent:
		j.report(RuleDuplicate, request, "at %s after it may have executed at %s", later.Server, earlier.Server)
	case class.Idempotency == balancer.IdempotentByKey && class.inDifferentScopes(earlier, later):
		j.report(RuleDuplicate, request, "at %s after it may have executed at %s, in another %s",
			later.Server, earlier.Server, class.DedupScope)
	case class.Idempotency == balancer.IdempotentByKey && later.Received > earlier.Started+class.DedupWindow+slack:
		j.report(RuleDuplicate, request, "at %s %v after it was sent to %s",
			later.Server, later.Received-earlier.Started, earlier.Server)
	}
}

// checkDrain checks that no attempt started later than the drain grace after the agent was notified of the server's
// drain or removal.
func (j *judge) checkDrain(request *Request) {
	for _, a := range request.Attempts {
		removedAt, ok := j.removedAt[agentServer{request.Agent, a.Server}]
		if ok && a.Started > removedAt+j.contract.DrainGrace+j.contract.Slack {
			j.report(RuleDrain, request, "sent to %s %v after the notification of its removal",
				a.Server, a.Started-removedAt)
		}
	}
}
