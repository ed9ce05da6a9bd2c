package policy_test

import (
	"math"
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

// attemptStatuses are the ends of attempts, from which one is drawn.
var attemptStatuses = []balancer.Status{
	balancer.StatusOK, balancer.StatusOK, balancer.StatusOK, balancer.StatusOK, balancer.StatusOK,
	balancer.StatusError, balancer.StatusOverloaded, balancer.StatusTimeout,
	balancer.StatusConnectFailed, balancer.StatusReset,
}

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

// simulatedRequest is a request of a random client.
type simulatedRequest struct {
	rules          balancer.RequestRules // as they were at its arrival
	deadline       float64
	streamedBody   bool
	unsentDeadline float64 // its deadline if its body is never sent completely
	attempts       []*simulatedAttempt
	finalAnswers   int
}

// simulatedAttempt is an attempt at a random server.
type simulatedAttempt struct {
	server      balancer.Addr
	startedAt   float64
	endsAt      float64
	fullySentAt float64 // when the last byte of a streamed body is with its server; 0: it is, or not streamed
	status      balancer.Status
	ended       bool
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

// forward starts an attempt at a server, with a random end.
func (s *randomScenario) forward(r *simulatedRequest, a *balancer.Action) {
	ends := s.now + 1 + 150*s.random.Float64()
	status := attemptStatuses[s.random.IntN(len(attemptStatuses))]
	if status == balancer.StatusTimeout {
		ends = s.now + a.Ms
	}
	attempt := &simulatedAttempt{
		server:    a.Server,
		startedAt: s.now,
		endsAt:    min(ends, s.now+a.Ms),
		status:    status,
	}
	if r.streamedBody {
		s.streamBody(r, attempt, ends)
	}
	r.attempts = append(r.attempts, attempt)
}

// streamBody sends the body of a request as it comes: the server receives it as slowly as the client
// sends it, and rejects some requests before the end. The request has no deadline until then.
func (s *randomScenario) streamBody(r *simulatedRequest, attempt *simulatedAttempt, ends float64) {
	attempt.fullySentAt = s.now + 300*s.random.Float64()
	attempt.endsAt = ends
	if attempt.fullySentAt < ends || !attempt.status.NotExecuted() {
		attempt.endsAt = max(ends, attempt.fullySentAt+1)
	}
	r.unsentDeadline = r.deadline
	r.deadline = math.Inf(1)
}

// cancel ends an attempt soon.
func (s *randomScenario) cancel(r *simulatedRequest, a *balancer.Action) {
	if !s.settings.Limits.AttemptCancellation {
		s.t.Fatal("cancelled where it is not allowed")
	}
	if attempt := r.attempts[a.Attempt]; !attempt.ended {
		attempt.status = balancer.StatusCancelled
		attempt.endsAt = s.now + cancelledAfterMs
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

// stepRequest ends the request's attempts that end, and drops it some time after its answer.
func (s *randomScenario) stepRequest(id balancer.RequestID, r *simulatedRequest) {
	open := false
	for i, attempt := range r.attempts {
		if attempt.ended {
			continue
		}
		if attempt.fullySentAt > 0 && attempt.fullySentAt <= s.now && r.finalAnswers == 0 {
			s.completeBody(id, r, i)
		}
		if attempt.endsAt > s.now {
			open = true
			continue
		}
		s.endAttempt(id, r, i)
	}
	s.checkNotLost(id, r)
	if r.finalAnswers > 0 && !open && len(r.attempts) > 0 && s.now > r.deadline+forgetAfterMs {
		delete(s.requests, id)
	}
}

// completeBody tells the policy that the server has all of a streamed body; the request has a deadline
// from here.
func (s *randomScenario) completeBody(id balancer.RequestID, r *simulatedRequest, index int) {
	attempt := r.attempts[index]
	attempt.fullySentAt = 0
	remainingMs := 20 + 300*s.random.Float64()
	r.deadline = s.now + remainingMs
	attempt.endsAt = min(attempt.endsAt, r.deadline)
	s.handle(balancer.Event{
		Kind:        balancer.EventRequestSent,
		Request:     id,
		Attempt:     index,
		RemainingMs: remainingMs,
	})
}

// endAttempt ends an attempt with its status.
func (s *randomScenario) endAttempt(id balancer.RequestID, r *simulatedRequest, index int) {
	attempt := r.attempts[index]
	attempt.ended = true
	if attempt.fullySentAt > 0 {
		r.deadline = max(r.unsentDeadline, s.now)
	}
	if attempt.status == balancer.StatusOK {
		r.finalAnswers = 1 // the response of a second attempt changes nothing
	}
	s.handle(balancer.Event{
		Kind:         balancer.EventAttemptDone,
		Request:      id,
		Attempt:      index,
		Server:       attempt.server,
		Status:       attempt.status,
		LatencyMs:    s.now - attempt.startedAt,
		RequestDone:  r.finalAnswers > 0,
		BodyConsumed: r.streamedBody && s.random.IntN(2) == 0,
	})
}

// addRequest has a client send a random request; some come under rules that were in force earlier, as
// they were on their way when the settings changed.
func (s *randomScenario) addRequest() {
	s.lastRequest++
	remainingMs := 20 + 800*s.random.Float64()
	class := s.random.IntN(len(s.settings.Classes))
	rules := balancer.RequestRules{
		Class:       s.settings.Classes[class],
		MaxAttempts: s.settings.Limits.MaxAttempts,
	}
	ev := balancer.Event{
		Kind:        balancer.EventRequest,
		Request:     s.lastRequest,
		Class:       class,
		Key:         uint64(s.random.IntN(30)),
		RemainingMs: remainingMs,
		Retry:       s.random.IntN(5) == 0,
	}
	if len(s.earlierRules) > 0 && s.random.IntN(3) == 0 {
		rules = s.earlierRules[s.random.IntN(len(s.earlierRules))]
		ev.Rules = &rules
	}
	ev.StreamedBody = s.random.IntN(5) == 0
	s.requests[s.lastRequest] = &simulatedRequest{
		rules:        rules,
		streamedBody: ev.StreamedBody,
		deadline:     s.now + remainingMs,
	}
	s.handle(ev)
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

// changeEndpoint changes the entry of a random server.
func (s *randomScenario) changeEndpoint() {
	server := serverAddress(s.random.IntN(scenarioServers))
	states := []balancer.EndpointState{balancer.Ready, balancer.Ready, balancer.Draining, balancer.Removed}
	endpoint := balancer.Endpoint{
		Server: server,
		Zone:   int(server[3]) % 2,
		Cell:   int(server[3]) % 3,
		Weight: 1 + s.random.Float64(),
		State:  states[s.random.IntN(len(states))],
	}
	if s.random.IntN(3) == 0 {
		endpoint.StartedMs = s.now - 100*s.random.Float64()
	}
	s.endpoints[server] = endpoint
	if endpoint.State == balancer.Ready {
		delete(s.unusableSince, server)
	} else if _, known := s.unusableSince[server]; !known {
		s.unusableSince[server] = s.now
	}
	s.handle(balancer.Event{
		Kind:       balancer.EventList,
		ListUpdate: balancer.ListDelta,
		Endpoints:  []balancer.Endpoint{endpoint},
	})
}

// retune drops, adds and changes classes, and changes the attempts permitted; invalid settings must
// change nothing. The discovery mode and what else the deployment permits stay.
func (s *randomScenario) retune() {
	for _, class := range s.settings.Classes {
		rules := balancer.RequestRules{Class: class, MaxAttempts: s.settings.Limits.MaxAttempts}
		s.earlierRules = append(s.earlierRules, rules)
	}
	settings := s.settings
	settings.Limits.MaxAttempts = 1 + s.random.IntN(5)
	settings.Classes = s.drawClasses()
	invalid := settings
	invalid.Limits.MaxAttempts = 0
	if s.policy.Retune(invalid) == nil {
		s.t.Fatal("settings without attempts are taken over")
	}
	if err := s.policy.Retune(settings); err != nil {
		s.t.Fatal(err)
	}
	s.settings = settings
}

// drawClasses draws some of the classes of testSettings with other rules, and sometimes a new class.
func (s *randomScenario) drawClasses() []balancer.Class {
	classes := slices.Clone(testSettings().Classes)
	for i := range classes {
		classes[i].LatencyObjectiveMs = 50 + 400*s.random.Float64()
	}
	classes = classes[s.random.IntN(len(classes)):]
	idempotencies := []balancer.Idempotency{
		balancer.Idempotent, balancer.NonIdempotent, balancer.IdempotentByKey,
	}
	first := &classes[0]
	first.Idempotency = idempotencies[s.random.IntN(len(idempotencies))]
	first.DedupScope = balancer.DedupCell
	first.DedupWindowMs = 300
	if s.random.IntN(3) == 0 {
		classes = append(classes, balancer.Class{
			Name:               "new",
			LatencyObjectiveMs: 200,
			TotalTimeoutMs:     800,
			Idempotency:        balancer.NonIdempotent,
		})
	}
	return classes
}
