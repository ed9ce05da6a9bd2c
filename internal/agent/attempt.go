package agent

import (
	"context"
	"time"

	"fernbeam.example/fernbeam/internal/balancer"
)

type attempt struct {
	server    *upstreamServer
	cancel    context.CancelFunc
	done      bool
	startedAt time.Time
	status    balancer.Status // once it is done
	reason    string
	latencyMs float64
}

func (l *eventLoop) forward(a *balancer.Action) {
	r := l.requests[a.Request]
	if r == nil {
		// The request is over and forgotten: nothing can be sent, or counted.
		l.logViolation("attempt for a finished request")
		return
	}
	index := len(r.attempts)
	b := l.endpoints.byAddr[a.Server]
	now := time.Now()
	t := &attempt{server: b, startedAt: now}
	r.attempts = append(r.attempts, t)
	// Also the last byte of a long body may have come by now, which nobody has read yet.
	until := r.client.respondBy()
	long := r.client.streamed != nil
	if a.Ms != 0 {
		until = earliest(until, now.Add(milliseconds(a.Ms)))
	}
	why := ""
	if !r.answered && r.client.ctx.Err() != nil {
		why = errClientGone.Error() // the front's word of it is on its way
		l.closeAsGone(r)
	} else if why = l.violation(r, b, now, until); why != "" {
		l.logViolation(why, "id", r.client.id)
	}
	if why != "" {
		t.done, t.status, t.reason = true, balancer.StatusUnsent, why
		l.pendingEvents = append(l.pendingEvents, balancer.Event{Kind: balancer.EventAttemptDone, Request: r.id, Attempt: index,
			Server: a.Server, Status: balancer.StatusUnsent, RequestDone: r.answered})
		return
	}
	var sendBy time.Time
	if r.mayHaveRun == 0 {
		r.firstSentAt = now
	} else if c := r.client.rules; c.Idempotency == balancer.IdempotentByKey {
		// Backends drop repeats for so long. The connect may take its time, so the module's
		// look at the clock is not enough; what is written has a round to arrive.
		sendBy = r.firstSentAt.Add(milliseconds(c.DedupWindowMs - 2*l.cfg.Settings.RoundTripMs))
	}
	r.sendingBody = long
	r.inFlight++
	r.mayHaveRun++
	b.inFlight++
	// Withdrawn by the client's leaving as well, and not only by the loop once it knows.
	ctx, cancel := context.WithCancel(r.client.ctx)
	t.cancel = cancel
	addr := b.addr
	m := &upstreamMessage{newRequest: r.client.upstreamRequest, streamed: r.client.streamed, clientGone: r.client.clientGone, sendBy: sendBy, responseTime: r.client.timeout - r.client.backstopMargin(),
		onSent: func() { l.post(func() { l.streamedBodySent(r, index) }) }}
	go func() {
		res := l.pool.attempt(ctx, b, addr, m, now, until)
		cancel()
		l.post(func() { l.attemptDone(r, index, &res) })
	}()
}

// forbidden guards the contract whatever the module says; "" allows the attempt.
func (l *eventLoop) violation(r *request, b *upstreamServer, now, until time.Time) string {
	c := r.client.rules
	switch {
	case r.answered:
		return "attempt for a finished request"
	case b == nil || b.addr == "":
		return "attempt to a server that is not listed"
	case b.unavailable.Load():
		return "attempt to a draining or removed server"
	case r.inFlight > 0:
		return "second attempt while one is in flight"
	case len(r.attempts) > c.MaxAttempts:
		return "more attempts than allowed"
	case r.client.streamed.isConsumed():
		return "retry of a body that was not buffered"
	case r.mayHaveRun > 0 && c.Idempotency == balancer.NonIdempotent:
		return "retry of a non-idempotent request that may have executed"
	case !until.After(now):
		return "attempt without time left"
	}
	return ""
}

// ended takes the end of an attempt.
func (l *eventLoop) attemptDone(r *request, index int, res *attemptResult) {
	t := r.attempts[index]
	t.done, t.status, t.reason, t.latencyMs = true, res.status, res.reason, res.latencyMs
	l.metrics.attempts[res.status]++
	t.server.inFlight--
	r.inFlight--
	if res.status.NotExecuted() {
		r.mayHaveRun--
	}
	r.badRequest = res.status == balancer.StatusBadRequest
	r.sendingBody = false
	switch {
	case r.answered:
		res.body.release()
	case res.status != balancer.StatusOK && r.client.ctx.Err() != nil:
		l.clientLeft(r) // the front's word of it is on its way
	case res.status == balancer.StatusOK:
		l.finish(r, finalResponse{kind: responseServed, header: res.header, body: res.body})
	case res.clientErr != nil:
		// No more of the request comes, so it is none, and no backend has it whole.
		l.finish(r, finalResponse{kind: responseFailed, badRequest: true})
	}
	l.handle(&balancer.Event{Kind: balancer.EventAttemptDone, Request: r.id, Attempt: index, Server: t.server.policyAddr,
		Status: res.status, LatencyMs: res.latencyMs, RequestDone: r.answered, BodyConsumed: r.client.streamed.isConsumed()})
	if r.answered && r.inFlight == 0 {
		delete(l.requests, r.id)
	}
	l.endpoints.forget(t.server)
}
