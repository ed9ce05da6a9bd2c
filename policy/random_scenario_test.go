package policy_test

import (
	"math/rand/v2"
	"slices"

	"fernbeam.example/fernbeam/internal/balancer"
	"fernbeam.example/fernbeam/policy"
)

const (
	// scenarioSteps is the number of steps of a random scenario, of a round trip each; requests
	// arrive in the first arrivalSteps of them.
	scenarioSteps = 1500
	arrivalSteps  = 1200
	// scenarioServers is the number of servers that may be listed.
	scenarioServers = 8
	// cancelledAfterMs is how long after its cancellation an attempt ends.
	cancelledAfterMs = 5
	// forgetAfterMs is how long after its deadline an answered request is dropped.
	forgetAfterMs = 100
	// unknownRequest is the id of no request.
	unknownRequest = 1 << 30
)

// checker is what a scenario reports to: a *testing.T or a *rapid.T.
type checker interface {
	Helper()
	Errorf(format string, args ...any)
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// randomScenario plays random clients, servers and endpoint lists against one Balancer, and checks the
// rules from outside, by the actions alone.
type randomScenario struct {
	t             checker
	random        *rand.Rand
	settings      balancer.Settings
	policy        *policy.Balancer
	now           float64
	lastRequest   balancer.RequestID
	requests      map[balancer.RequestID]*simulatedRequest
	timers        []timer
	endpoints     map[balancer.Addr]balancer.Endpoint
	unusableSince map[balancer.Addr]float64 // when it was listed as draining or removed
	history       []balancer.Action
	earlierRules  []balancer.RequestRules // that were in force
}

// runRandomScenario runs random clients, servers and endpoint lists, drawn from the seed, against one
// Balancer with these settings, and returns all its actions.
func runRandomScenario(t checker, settings balancer.Settings, seed uint64) []balancer.Action {
	t.Helper()
	s := newRandomScenario(t, settings, seed)
	for i := range scenarioSteps {
		s.step()
		for i < arrivalSteps && s.random.IntN(3) == 0 {
			s.addRequest()
		}
		s.disturb()
	}
	s.checkEnd(seed)
	return s.history
}

// newRandomScenario starts the Balancer of a scenario and lists its first servers.
func newRandomScenario(t checker, settings balancer.Settings, seed uint64) *randomScenario {
	t.Helper()
	b, err := policy.New(settings, seed)
	if err != nil {
		t.Fatal(err)
	}
	s := &randomScenario{
		t:             t,
		random:        rand.New(rand.NewPCG(seed, 7)),
		settings:      settings,
		policy:        b,
		now:           5000,
		requests:      map[balancer.RequestID]*simulatedRequest{},
		endpoints:     map[balancer.Addr]balancer.Endpoint{},
		unusableSince: map[balancer.Addr]float64{},
	}
	s.apply(b.Start(s.now, nil))
	for range 10 {
		s.changeEndpoint()
	}
	return s
}

// handle hands the policy an event and carries out its actions.
func (s *randomScenario) handle(ev balancer.Event) { s.apply(s.policy.Handle(s.now, &ev, nil)) }

// apply checks the actions and carries them out.
func (s *randomScenario) apply(actions []balancer.Action) {
	s.history = append(s.history, actions...)
	for _, a := range actions {
		r := s.requests[a.Request]
		switch a.Kind {
		case balancer.ActionForward:
			s.checkForward(r, &a)
			s.forward(r, &a)
		case balancer.ActionReject, balancer.ActionFail:
			r.finalAnswers++
			s.checkFinalAnswer(r, &a)
		case balancer.ActionCancelAttempt:
			s.cancel(r, &a)
		case balancer.ActionHealthCheck:
			if !s.settings.Limits.HealthChecks {
				s.t.Fatal("health check where it is not allowed")
			}
		case balancer.ActionSetTimer:
			s.timers = append(s.timers, timer{s.now + a.Ms, a.Token})
		case balancer.ActionWatchList, balancer.ActionFetchList, balancer.ActionLog, balancer.ActionCloseIdle:
			// permitted at any time, and without effect in the scenario
		}
	}
}

// step lets a round trip pass: it fires the timers that are due and ends the attempts that end.
func (s *randomScenario) step() {
	s.now += s.settings.RoundTripMs
	s.fireTimers()
	for id := balancer.RequestID(1); id <= s.lastRequest; id++ {
		if r := s.requests[id]; r != nil {
			s.stepRequest(id, r)
		}
	}
}

// fireTimers fires the timers that are due.
func (s *randomScenario) fireTimers() {
	for i := 0; i < len(s.timers); i++ {
		if t := s.timers[i]; t.at <= s.now {
			s.timers = slices.Delete(s.timers, i, i+1)
			i--
			s.handle(balancer.Event{Kind: balancer.EventTimer, Token: t.token})
		}
	}
}

// disturb sometimes changes an endpoint or the settings, lets a client leave, or hands the policy events
// about what it does not know.
func (s *randomScenario) disturb() {
	switch s.random.IntN(40) {
	case 0:
		s.changeEndpoint()
	case 1:
		if r := s.requests[s.lastRequest]; r != nil && r.finalAnswers == 0 {
			r.finalAnswers = 1
			s.handle(balancer.Event{Kind: balancer.EventClientGone, Request: s.lastRequest})
		}
	case 2:
		s.handle(balancer.Event{
			Kind:    balancer.EventAttemptDone,
			Request: unknownRequest,
			Server:  serverAddress(1),
			Status:  balancer.StatusOK,
		})
		s.handle(balancer.Event{Kind: balancer.EventClientGone, Request: unknownRequest})
		s.handle(balancer.Event{Kind: balancer.EventTimer, Token: 99})
		s.handle(balancer.Event{Kind: balancer.EventList, ListUpdate: balancer.ListFailed})
	case 3:
		s.retune()
	}
}
