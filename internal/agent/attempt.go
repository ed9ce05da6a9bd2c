package agent

import (
	"context"
	"net/http"
	"time"

	"fernbeam.example/fernbeam/internal/balancer"
)

// attempt is one forwarding of a request to a server.
type attempt struct {
	server    *listedServer
	cancel    context.CancelFunc // nil: it was never started
	startedAt time.Time

	done      bool
	status    balancer.Status // once it is done
	reason    string          // why it failed, for the log
	latencyMs float64
}

// forward starts an attempt at the action's server, after a check against the rules of the request. An attempt
// that the check forbids ends at once with StatusUnsent.
func (l *eventLoop) forward(action *balancer.Action) {
	r := l.requests.byID[action.Request]
	if r == nil {
		// The request is forgotten: nothing can be sent or counted for it.
		l.logViolation(errRequestFinished)
		return
	}
	now := time.Now()
	index := len(r.attempts)
	server := l.endpoints.byAddr[action.Server]
	started := &attempt{server: server, startedAt: now}
	r.attempts = append(r.attempts, started)
	deadline := r.respondBy()
	if action.Ms != 0 {
		deadline = earliest(deadline, now.Add(milliseconds(action.Ms)))
	}
	if err := l.mayForward(r, server, now, deadline); err != nil {
		l.endUnsent(r, index, action.Server, err)
		return
	}
	sendBy := l.retryDeadline(r)
	if r.mayHaveRun == 0 {
		r.firstSentAt = now
	}
	r.sendingBody = r.client.streamed != nil
	r.inFlight++
	r.mayHaveRun++
	server.inFlight++
	l.runAttempt(r, index, sendBy, deadline)
}

// mayForward says why an attempt must not be started; nil allows it.
func (l *eventLoop) mayForward(r *request, server *listedServer, now, deadline time.Time) error {
	if !r.answered && r.client.ctx.Err() != nil {
		// The downstream server's notification of it is on its way.
		l.closeAsGone(r)
		return errClientGone
	}
	err := checkRules(r, server, now, deadline)
	if err != nil {
		l.logViolation(err, "id", r.client.id)
	}
	return err
}

// endUnsent ends an attempt that was never started.
func (l *eventLoop) endUnsent(r *request, index int, policyAddr balancer.Addr, reason error) {
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
		RequestDone: r.answered,
	})
}

// retryDeadline is the time until which a retry of a request that is idempotent by key may be sent, as servers
// drop duplicates only within a window. The connect may take long, so the policy's own check is not enough, and
// what is written needs a round trip to arrive. Zero: there is no limit.
func (l *eventLoop) retryDeadline(r *request) time.Time {
	rules := r.client.rules
	if r.mayHaveRun == 0 || rules.Idempotency != balancer.IdempotentByKey {
		return time.Time{}
	}
	return r.firstSentAt.Add(milliseconds(rules.DedupWindowMs - 2*l.cfg.Settings.RoundTripMs))
}

// runAttempt runs an attempt in a goroutine of its own, which posts its end. The attempt is cancelled both by
// the loop and by the end of the client's connection.
func (l *eventLoop) runAttempt(r *request, index int, sendBy, deadline time.Time) {
	client := r.client
	current := r.attempts[index]
	server := current.server
	addr := server.addr
	ctx, cancel := context.WithCancel(client.ctx)
	current.cancel = cancel
	message := &upstreamMessage{
		newRequest:   func(left time.Duration) *http.Request { return newUpstreamRequest(client, left) },
		streamed:     client.streamed,
		clientGone:   client.clientGone,
		sendBy:       sendBy,
		responseTime: client.timeout - r.backstopMargin(),
		onSent:       func() { l.post(func() { l.streamedBodySent(r, index) }) },
	}
	go func() {
		result := l.pool.attempt(ctx, &server.upstreamServer, addr, message, current.startedAt, deadline)
		cancel()
		l.post(func() { l.attemptDone(r, index, &result) })
	}()
}

// cancelAttempt cancels the action's attempt if it is in flight.
func (l *eventLoop) cancelAttempt(action *balancer.Action) {
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

// attemptDone takes the end of an attempt.
func (l *eventLoop) attemptDone(r *request, index int, result *attemptResult) {
	ended := r.attempts[index]
	ended.done = true
	ended.status = result.status
	ended.reason = result.reason
	ended.latencyMs = result.latencyMs
	ended.server.inFlight--
	l.metrics.attempts[result.status]++
	r.inFlight--
	if result.status.NotExecuted() {
		r.mayHaveRun--
	}
	r.badRequest = result.status == balancer.StatusBadRequest
	r.sendingBody = false
	l.respondTo(r, result)
	l.handle(&balancer.Event{
		Kind:         balancer.EventAttemptDone,
		Request:      r.id,
		Attempt:      index,
		Server:       ended.server.policyAddr,
		Status:       result.status,
		LatencyMs:    result.latencyMs,
		RequestDone:  r.answered,
		BodyConsumed: r.client.streamed.isConsumed(),
	})
	l.requests.forgetFinished(r)
	l.endpoints.forget(ended.server)
}

// respondTo gives the request the final response that an attempt's end decides by itself; all others are left
// to the policy.
func (l *eventLoop) respondTo(r *request, result *attemptResult) {
	switch {
	case r.answered:
		result.body.release()
	case result.status != balancer.StatusOK && r.client.ctx.Err() != nil:
		// The downstream server's notification of it is on its way.
		l.clientLeft(r)
	case result.status == balancer.StatusOK:
		l.finish(r, finalResponse{kind: responseServed, header: result.header, body: result.body})
	case result.clientErr != nil:
		// No more of the request will come, and no server has all of it.
		l.finish(r, finalResponse{kind: responseFailed, badRequest: true})
	}
}
