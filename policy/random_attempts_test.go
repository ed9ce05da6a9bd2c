package policy_test

import (
	"math"

	"fernbeam.example/fernbeam/internal/balancer"
)

// attemptStatuses contains the statuses from which the status of an attempt is drawn.
var attemptStatuses = []balancer.Status{
	balancer.StatusOK, balancer.StatusOK, balancer.StatusOK, balancer.StatusOK, balancer.StatusOK,
	balancer.StatusError, balancer.StatusOverloaded, balancer.StatusTimeout,
	balancer.StatusConnectFailed, balancer.StatusReset,
}

// simulatedRequest is a request in a random scenario.
type simulatedRequest struct {
	rules          balancer.RequestRules // rules that apply to the request
	deadline       float64
	streamedBody   bool
	unsentDeadline float64 // its deadline if its body is not sent completely
	attempts       []*simulatedAttempt
	finalAnswers   int
}

// simulatedAttempt is an attempt in a random scenario.
type simulatedAttempt struct {
	server      balancer.Addr
	startedAt   float64
	endsAt      float64
	fullySentAt float64 // when the server has the whole streamed body; 0: it has it, or none is streamed
	status      balancer.Status
	ended       bool
}

// addRequest passes a random request to the policy. Some requests have rules that were in force earlier,
// as if the settings had changed while the requests were being received.
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

// forward starts an attempt with a random status and end.
func (s *randomScenario) forward(r *simulatedRequest, a *balancer.Action) {
	endsAt := s.now + 1 + 150*s.random.Float64()
	status := attemptStatuses[s.random.IntN(len(attemptStatuses))]
	if status == balancer.StatusTimeout {
		endsAt = s.now + a.Ms
	}
	attempt := &simulatedAttempt{
		server:    a.Server,
		startedAt: s.now,
		endsAt:    min(endsAt, s.now+a.Ms),
		status:    status,
	}
	if r.streamedBody {
		s.streamBody(r, attempt, endsAt)
	}
	r.attempts = append(r.attempts, attempt)
}

// streamBody simulates a streamed body: the server receives it as slowly as the client sends it, and rejects
// some requests before its end. The request has no deadline until the body is complete.
func (s *randomScenario) streamBody(r *simulatedRequest, attempt *simulatedAttempt, endsAt float64) {
	attempt.fullySentAt = s.now + 300*s.random.Float64()
	attempt.endsAt = endsAt
	if attempt.fullySentAt < endsAt || !attempt.status.NotExecuted() {
		attempt.endsAt = max(endsAt, attempt.fullySentAt+1)
	}
	r.unsentDeadline = r.deadline
	r.deadline = math.Inf(1)
}

// cancel makes an attempt end as cancelled after cancelledAfterMs.
func (s *randomScenario) cancel(r *simulatedRequest, a *balancer.Action) {
	if !s.settings.Limits.AttemptCancellation {
		s.t.Fatal("attempt cancelled although the settings do not permit it")
	}
	if attempt := r.attempts[a.Attempt]; !attempt.ended {
		attempt.status = balancer.StatusCancelled
		attempt.endsAt = s.now + cancelledAfterMs
	}
}

// stepRequest ends the attempts of a request that are due, and deletes the request some time after its
// answer.
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

// completeBody notifies the policy that a server has the whole streamed body. From then on the request has a
// deadline.
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

// endAttempt passes the end of an attempt to the policy.
func (s *randomScenario) endAttempt(id balancer.RequestID, r *simulatedRequest, index int) {
	attempt := r.attempts[index]
	attempt.ended = true
	if attempt.fullySentAt > 0 {
		r.deadline = max(r.unsentDeadline, s.now)
	}
	if attempt.status == balancer.StatusOK {
		r.finalAnswers = 1 // the response of another attempt has no effect
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
