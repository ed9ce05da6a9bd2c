package dispatch

import (
	"log/slog"
	"time"

	"fernbeam.example/fernbeam/internal/agent/message"
	"fernbeam.example/fernbeam/internal/balancer"
	"fernbeam.example/fernbeam/internal/clock"
)

const (
	// The backstop responds maxBackstopMargin before the client's deadline, well after the policy should have responded.
	// The margin is at most the request's timeout divided by backstopTimeoutDivisor.
	maxBackstopMargin, backstopTimeoutDivisor = 4 * time.Millisecond, 16
	// maxPolicyMargin is subtracted from a request's remaining time before that time is passed to the policy, because the
	// result of the last attempt takes time to reach the client. The margin is at most the remaining time divided by
	// policyTimeLeftDivisor.
	maxPolicyMargin, policyTimeLeftDivisor = 8 * time.Millisecond, 8
)

// request is the event loop's state of a client's request, kept until it is closed and no attempt is in flight.
type request struct {
	id              balancer.RequestID
	incoming        *message.Request
	closed          bool // it has a final response or its client has gone
	attempts        []*attempt
	sendingBody     bool      // a streamed body is being sent to a server; the request's timeout has not started
	inFlight        int       // attempts in flight
	mayHaveExecuted int       // attempts that are in flight or may have executed
	firstSentAt     time.Time // when the first of those started
	badRequest      bool      // the server of the last attempt found the request invalid
	timedOut        bool      // the last attempt got no response in its time
	abandoned       bool      // its id is remembered in Loop.clientIDs
	backstop        *time.Timer
}

// backstopMargin returns how long before the deadline the backstop responds. It is shorter for short timeouts.
func (r *request) backstopMargin() time.Duration {
	return min(maxBackstopMargin, r.incoming.Timeout/backstopTimeoutDivisor)
}

// backstopTime returns the time at which the backstop responds. No attempt continues after it.
func (r *request) backstopTime() time.Time {
	return r.incoming.Deadline.Add(-r.backstopMargin())
}

// policyTimeLeftMs returns the remaining time that is passed to the policy, in milliseconds.
func (r *request) policyTimeLeftMs() float64 {
	left := time.Until(r.incoming.Deadline)
	left -= min(maxPolicyMargin, left/policyTimeLeftDivisor)
	return clock.Milliseconds(left)
}

// attemptStarted updates the request's state for an attempt that starts now.
func (r *request) attemptStarted(now time.Time) {
	if r.mayHaveExecuted == 0 {
		r.firstSentAt = now
	}
	r.sendingBody = r.incoming.Streamed != nil
	r.inFlight++
	r.mayHaveExecuted++
}

// startRequest passes a request to the policy. It rejects the request instead if no time is left or if the limit of
// open requests is exceeded. The simulator also applies that limit: there, such requests never reach the agent.
func (l *Loop) startRequest(incoming *message.Request) {
	if l.awaitOtherProcess(incoming) {
		return
	}
	l.metrics.Requests++
	r := l.requests.open(incoming)
	maxOpen := l.cfg.Settings.Limits.MaxOpenRequests
	tooMany := maxOpen > 0 && l.requests.openCount > maxOpen
	if l.wasAbandoned(incoming) {
		l.failRepeated(r)
		return
	}
	if time.Until(r.backstopTime()) <= 0 || tooMany {
		l.reject(r, l.cfg.Settings.Limits.MaxRetryAfterMs)
		return
	}
	l.requests.add(r)
	r.backstop = time.AfterFunc(time.Until(r.backstopTime()), func() {
		l.Post(func() { l.backstopExpired(r) })
	})
	l.handle(&balancer.Event{
		Kind:         balancer.EventRequest,
		Request:      r.id,
		Rules:        incoming.Rules,
		Key:          incoming.Key,
		RemainingMs:  r.policyTimeLeftMs(),
		Retry:        incoming.Retry,
		StreamedBody: incoming.Streamed != nil,
	})
}

// streamedBodySent is called when the last byte of a streamed body has been written. The request's timeout starts at
// that byte, because the server can't execute the request before it.
func (l *Loop) streamedBodySent(r *request, index int) {
	r.sendingBody = false
	if r.closed {
		return
	}
	incoming := r.incoming
	incoming.Deadline = incoming.Streamed.ResponseDeadline(incoming.Timeout)
	incoming.ArrivedAt = incoming.Deadline.Add(-incoming.Timeout)
	r.backstop.Reset(time.Until(r.backstopTime()))
	l.handle(&balancer.Event{
		Kind:        balancer.EventRequestSent,
		Request:     r.id,
		Attempt:     index,
		RemainingMs: max(r.policyTimeLeftMs(), 0),
	})
}

// backstopExpired ends a request that the policy should have ended earlier. This indicates a fault or a stall, so it is
// logged and counted.
func (l *Loop) backstopExpired(r *request) {
	if r.closed || r.sendingBody {
		return
	}
	l.metrics.Backstops++
	l.logger.logLimited(slog.LevelWarn, "backstop ended a request", "id", r.incoming.ID, "attempts", len(r.attempts),
		"in_flight", r.inFlight, "late_ms", clock.MillisecondsSince(r.backstopTime()))
	l.finish(r, message.Response{Kind: message.Failed, TimedOut: true})
	l.cancelRequest(r)
}

// abandonRequest ends a request whose client no longer waits for the response. A response that has already been sent
// to the request's channel is released.
func (l *Loop) abandonRequest(incoming *message.Request) {
	if r := l.requests.byID[incoming.DispatchID]; r != nil {
		l.handleClientGone(r)
	}
	select {
	case response := <-incoming.Response:
		response.Body.Release()
	default:
	}
}

// cancelStreaming cancels the attempts of requests whose streamed body is still being sent to a server. No server has
// received the whole body of such a request, so the client can safely retry the request through another agent process.
func (l *Loop) cancelStreaming() {
	for _, r := range l.requests.byID {
		if len(r.attempts) > 0 && r.sendingBody {
			r.attempts[len(r.attempts)-1].cancelInFlight()
		}
	}
}

// endAllRequests sends the final response to every open request. The process is about to be killed, and requests
// without a response would be lost. Requests that can't have executed are rejected, so that their clients can retry.
func (l *Loop) endAllRequests() {
	for _, r := range l.requests.byID {
		if r.closed {
			continue
		}
		if r.mayHaveExecuted == 0 {
			l.reject(r, l.cfg.Settings.Limits.MaxRetryAfterMs)
		} else {
			l.finish(r, message.Response{Kind: message.Failed, TimedOut: true})
		}
		l.cancelRequest(r)
	}
}

// handleClientGone ends a request whose client has closed its connection, and cancels its attempts.
func (l *Loop) handleClientGone(r *request) {
	if r.closed {
		return
	}
	l.closeAbandoned(r)
	l.cancelRequest(r)
}

// closeAbandoned closes a request whose client has closed its connection, and counts and logs it.
func (l *Loop) closeAbandoned(r *request) {
	l.metrics.ClientsGone++
	l.logRequest(r, "abandoned by its client")
	l.rememberAbandoned(r)
	l.closeRequest(r)
}

// cancelRequest cancels a request's attempts and notifies the policy that the request has ended.
func (l *Loop) cancelRequest(r *request) {
	for _, a := range r.attempts {
		a.cancelInFlight()
	}
	l.handle(&balancer.Event{Kind: balancer.EventClientGone, Request: r.id})
}

// reject sends a rejection, which tells the client that a retry is safe. If an attempt may have executed and a retry
// could execute the request again, reject sends a failure instead.
func (l *Loop) reject(r *request, retryAfterMs float64) {
	if r.mayHaveExecuted > 0 && !safeToRetryAnywhere(r.incoming.Rules) {
		l.logViolation(errUnsafeRejection, "id", r.incoming.ID)
		l.finish(r, message.Response{Kind: message.Failed})
		return
	}
	l.finish(r, message.Response{Kind: message.Rejected, RetryAfterMs: retryAfterMs})
}

// finish sends the final response to a request. It does nothing if the request is closed.
func (l *Loop) finish(r *request, response message.Response) {
	if r.closed {
		return
	}
	l.countResponse(r, response.Kind)
	if hasClientLeft(r.incoming) {
		l.rememberAbandoned(r) // the response can't reach the client
	}
	r.incoming.Response <- response
	l.closeRequest(r)
}

// countResponse counts a final response, and logs the request unless it was served in time.
func (l *Loop) countResponse(r *request, kind message.ResponseKind) {
	switch kind {
	case message.Served:
		if time.Since(r.incoming.ArrivedAt) <= clock.FromMilliseconds(r.incoming.Rules.LatencyObjectiveMs) {
			l.metrics.Served++
			return
		}
		l.metrics.ServedLate++
		l.logRequest(r, "served late")
	case message.Rejected:
		l.metrics.Rejected++
		l.logRequest(r, "rejected")
	case message.Failed:
		l.metrics.Failed++
		l.logRequest(r, "failed")
	}
}

// closeRequest marks a request as closed and removes it from the table if no attempt is in flight.
func (l *Loop) closeRequest(r *request) {
	l.requests.close(r)
	if r.backstop != nil {
		r.backstop.Stop()
	}
	l.requests.forgetFinished(r)
}
