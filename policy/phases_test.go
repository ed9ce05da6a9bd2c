package policy_test

import (
	"testing"

	"fernbeam.example/fernbeam/internal/balancer"
)

// phase is a sequence of requests, one every 40 ms, each with a response after responseMs.
type phase struct {
	responseMs float64
	requests   int
}

// runPhases runs the phases on one agent of a fleet with 60 servers and returns its Stats at the end of each
// phase.
func runPhases(t *testing.T, agents int, phases ...phase) []balancer.Stats {
	t.Helper()
	settings := testSettings()
	settings.FleetSize = agents
	p := phaseRunner{harness: newHarness(t, settings, 60)}
	var stats []balancer.Stats
	for _, phase := range phases {
		p.run(phase)
		stats = append(stats, p.policy.Stats())
	}
	return stats
}

// phaseRunner runs phases on a harness.
type phaseRunner struct {
	*harness
	inFlight []phaseAttempt // in the order of their ends
}

// phaseAttempt is an attempt in flight.
type phaseAttempt struct {
	request balancer.RequestID
	server  balancer.Addr
	endsAt  float64
}

// run runs the requests of one phase.
func (p *phaseRunner) run(phase phase) {
	for range phase.requests {
		p.now += 40
		p.endDue(phase.responseMs)
		_, actions := p.request(nonIdempotentClass, p.random.Uint64())
		if a := findAction(actions, balancer.ActionForward); a != nil {
			p.start(a, phase.responseMs)
		}
		p.advance(0)
	}
}

// start records an attempt that is forwarded now and ends after responseMs.
func (p *phaseRunner) start(a *balancer.Action, responseMs float64) {
	p.inFlight = append(p.inFlight, phaseAttempt{a.Request, a.Server, p.now + responseMs})
}

// endDue ends the attempts that are due, each with a response after responseMs, and records those that are
// forwarded as a result.
func (p *phaseRunner) endDue(responseMs float64) {
	for len(p.inFlight) > 0 && p.inFlight[0].endsAt <= p.now {
		ended := p.inFlight[0]
		p.inFlight = p.inFlight[1:]
		actions := p.endAttempt(ended.request, 0, ended.server, balancer.StatusOK, responseMs)
		for i := range actions {
			if actions[i].Kind == balancer.ActionForward {
				p.start(&actions[i], responseMs)
			}
		}
	}
}
