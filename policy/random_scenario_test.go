package policy_test

import (
	"math/rand/v2"
	"slices"

	"fernbeam.example/fernbeam/internal/balancer"
	"fernbeam.example/fernbeam/policy"
)

const (
	// scenarioSteps is the number of steps of a random scenario, each of which takes one round trip.
	// Requests arrive in the first arrivalSteps of them.
	scenarioSteps = 1500
	arrivalSteps  = 1200
	// scenarioServers is the number of servers in a random scenario.
	scenarioServers = 8
	// cancelledAfterMs is the time between the cancellation of an attempt and its end.
	cancelledAfterMs = 5
	// forgetAfterMs is the time between the deadline of an answered request and its deletion.
	forgetAfterMs = 100
	// unknownRequest is an id that no request has.
	unknownRequest = 1 << 30
)

// testingT is the part of *testing.T and *rapid.T that a scenario uses.
type testingT interface {
	Helper()
	Errorf(format string, args ...any)
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// randomScenario simulates random clients, servers and endpoint lists of one Balancer. It checks the
// rules using only the actions of the Balancer.
type randomScenario struct {
	t             testingT
	random        *rand.Rand
	settings      balancer.Settings
	policy        *policy.Balancer
	now           float64 // milliseconds
	lastRequest   balancer.RequestID
	requests      map[balancer.RequestID]*simulatedRequest
	timers        []timer
	endpoints     map[balancer.Addr]balancer.Endpoint
	unusableSince map[balancer.Addr]float64 // when a server was listed as draining or removed
	history       []balancer.Action         // all actions so far
	earlierRules  []balancer.RequestRules   // rules that were in force
}

// runRandomScenario runs the scenario of the seed on a Balancer with the settings, and returns all actions
// of the Balancer.
func runRandomScenario(t testingT, settings balancer.Settings, seed uint64) []balancer.Action {
	t.Helper()
	s := newRandomScenario(t, settings, seed)
	for i := range scenarioSteps {
		s.step()
		for i < arrivalSteps && s.random.IntN(3) == 0 {
			s.addRequest()
		}
		s.injectEvent()
	}
	s.checkEnd(seed)
	return s.history
}

// newRandomScenario starts the Balancer of a scenario and lists the first servers.
func newRandomScenario(t testingT, settings balancer.Settings, seed uint64) *randomScenario {
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

// handle passes an event to the policy and applies the resulting actions.
func (s *randomScenario) handle(ev balancer.Event) { s.apply(s.policy.Handle(s.now, &ev, nil)) }

// apply checks the actions and simulates their effects.
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
				s.t.Fatal("health check although the settings do not permit it")
			}
		case balancer.ActionSetTimer:
			s.timers = append(s.timers, timer{s.now + a.Ms, a.Token})
		case balancer.ActionWatchList, balancer.ActionFetchList, balancer.ActionLog, balancer.ActionCloseIdle:
			// permitted at any time and without effect in the scenario
		}
	}
}

// step advances the time by a round trip, fires the timers and ends the attempts that are due.
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

// injectEvent sometimes changes an endpoint or the settings, makes a client leave, or passes events with
// unknown requests and timers to the policy.
func (s *randomScenario) injectEvent() {
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
		s.changeSettings()
	}
}
