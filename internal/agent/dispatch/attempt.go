package dispatch

import (
	"context"
	"net/http"
	"time"

	"fernbeam.example/fernbeam/internal/agent/message"
	"fernbeam.example/fernbeam/internal/agent/upstream"
	"fernbeam.example/fernbeam/internal/balancer"
	"fernbeam.example/fernbeam/internal/clock"
)

// attempt is one attempt to forward a request to a server.
type attempt struct {
	server    *listedServer
	cancel    context.CancelFunc // nil if it was never started
	startedAt time.Time

	done      bool
	status    balancer.Status // valid once done
	reason    string          // why it failed; logged only
	latencyMs float64
}

// forward starts an attempt to the action's server if the rules of the request allow it. Otherwise the attempt ends
// immediately with StatusUnsent.
func (l *Loop) forward(action *balancer.Action) {
	r := l.requests.byID[action.Request]
	if r == nil {
		// The request is no longer in the table, so there is nothing to send or count.
		l.logViolation(errRequestFinished)
		return
	}
	now := time.Now()
	index := len(r.attempts)
	server := l.endpoints.byAddr[action.Server]
	started := &attempt{server: server, startedAt: now}
	r.attempts = append(r.attempts, started)
	deadline := r.backstopTime()
	if action.Ms != 0 {
		deadline = clock.Earliest(deadline, now.Add(clock.FromMilliseconds(action.Ms)))
	}
	if err := l.checkForward(r, server, now, deadline); err != nil {
		l.endUnsent(r, index, action.Server, err)
		return
	}
	sendBy := l.retryDeadline(r)
	r.attemptStarted(now)
	server.inFlight++
	l.runAttempt(r, index, sendBy, deadline)
}

// checkForward returns the reason why an attempt must not be started, or nil if it may be started. It closes the
// request if its client has disconnected, and logs a violation if the attempt breaks a rule.
func (l *Loop) checkForward(r *request, server *listedServer, now, deadline time.Time) error {
	if !r.closed && r.incoming.Context.Err() != nil {
		// The downstream server's notification has not arrived yet.
		l.closeAbandoned(r)
		return upstream.ErrClientGone
	}
	err := checkRules(r, server, now, deadline)
	if err != nil {
		l.logViolation(err, "id", r.incoming.ID)
	}
	return err
}

// endUnsent ends an attempt that was never started.
func (l *Loop) endUnsent(r *request, index int, policyAddr balancer.Addr, reason error) {
	ended := r.attempts[index]
	ended.done = true
	ended.status = balancer.StatusUnsent
	ended.reason = reason.Error()
	l.pendingEvents = append(l.pendingEvents, balancer.Event{
		Kind:        balancer.EventAttemptDone,
		Request:     r.id,
		Attempt:     index,
		Server:      policyAddr,
		Status:      balancer.StatusUnsent,
		RequestDone: r.closed,
	})
}

// retryDeadline returns the latest time at which a retry of a request may be sent. A request that is idempotent by key
// has such a limit, because servers detect duplicates only within the deduplication window. The policy's own check is
// not sufficient, because connecting may take long. The limit leaves a round trip for the request to arrive. The zero
// time means no limit.
func (l *Loop) retryDeadline(r *request) time.Time {
	rules := r.incoming.Rules
	if r.mayHaveExecuted == 0 || rules.Idempotency != balancer.IdempotentByKey {
		return time.Time{}
	}
	return r.firstSentAt.Add(clock.FromMilliseconds(rules.DedupWindowMs - 2*l.cfg.Settings.RoundTripMs))
}

// runAttempt runs an attempt in a separate goroutine, which posts the result to the loop. The attempt is cancelled by
// the loop or when the client's connection ends.
func (l *Loop) runAttempt(r *request, index int, sendBy, deadline time.Time) {
	incoming := r.incoming
	current := r.attempts[index]
	target := upstream.Target{Server: &current.server.Server, Addr: current.server.addr}
	ctx, cancel := context.WithCancel(incoming.Context)
	current.cancel = cancel
	outgoing := &upstream.Message{
		NewRequest:   func(left time.Duration) *http.Request { return upstream.NewRequest(incoming, left) },
		Streamed:     incoming.Streamed,
		ClientGone:   incoming.ClientGone,
		StartedAt:    current.startedAt,
		Deadline:     deadline,
		SendBy:       sendBy,
		ResponseTime: incoming.Timeout - r.backstopMargin(),
		OnSent:       func() { l.Post(func() { l.streamedBodySent(r, index) }) },
	}
	go func() {
		result := l.pool.Attempt(ctx, target, outgoing)
		cancel()
		l.Post(func() { l.attemptDone(r, index, &result) })
	}()
}

// cancelAttempt cancels the action's attempt if it is in flight.
func (l *Loop) cancelAttempt(action *balancer.Action) {
	r := l.requests.byID[action.Request]
	if r == nil || action.Attempt < 0 || action.Attempt >= len(r.attempts) {
		return
	}
	r.attempts[action.Attempt].cancelInFlight()
}

// cancelInFlight cancels the attempt unless it has ended or was never started.
func (a *attempt) cancelInFlight() {
	if !a.done && a.cancel != nil {
		a.cancel()
	}
}

// attemptDone handles the end of an attempt.
func (l *Loop) attemptDone(r *request, index int, result *upstream.Result) {
	ended := r.attempts[index]
	ended.done = true
	ended.status = result.Status
	ended.reason = result.Reason
	ended.latencyMs = result.LatencyMs
	ended.server.inFlight--
	l.metrics.Attempts[result.Status]++
	r.inFlight--
	// After a client's error no server has received the whole request.
	if result.Status.NotExecuted() || result.ClientErr != nil {
		r.mayHaveExecuted--
		l.forgetUnexecuted(r)
	}
	r.badRequest = result.Status == balancer.StatusBadRequest
	r.timedOut = result.Status == balancer.StatusTimeout
	r.sendingBody = false
	l.respondTo(r, result)
	l.handle(&balancer.Event{
		Kind:         balancer.EventAttemptDone,
		Request:      r.id,
		Attempt:      index,
		Server:       ended.server.policyAddr,
		Status:       result.Status,
		LatencyMs:    result.LatencyMs,
		RequestDone:  r.closed,
		BodyConsumed: r.incoming.Streamed.IsConsumed(),
	})
	l.requests.forgetFinished(r)
	l.endpoints.forget(ended.server)
}

// respondTo sends the final response to a request if the attempt's result determines that response. Otherwise it leaves
// the decision to the policy.
func (l *Loop) respondTo(r *request, result *upstream.Result) {
	switch {
	case r.closed:
		result.Body.Release()
	case result.Status != balancer.StatusOK && r.incoming.Context.Err() != nil:
		// The downstream server's notification has not arrived yet.
		l.handleClientGone(r)
	case result.Status == balancer.StatusOK:
		l.finish(r, message.Response{Kind: message.Served, Header: result.Header, Body: result.Body})
	case result.ClientErr != nil:
		// The rest of the request will not arrive, and no server has received all of it.
		l.finish(r, message.Response{Kind: message.Failed, BadRequest: true})
	}
}
