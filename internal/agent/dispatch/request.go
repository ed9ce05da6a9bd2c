package dispatch

import (
	"log/slog"
	"time"

	"fernbeam.example/fernbeam/internal/agent/message"
	"fernbeam.example/fernbeam/internal/balancer"
	"fernbeam.example/fernbeam/internal/clock"
)

const (
	// maxBackstopMargin is how long before the client's deadline the backstop responds, well after the policy
	// should have done so, and backstopTimeoutDivisor the part of the request's timeout, as a divisor, that bounds it.
	maxBackstopMargin, backstopTimeoutDivisor = 4 * time.Millisecond, 16
	// maxPolicyMargin is subtracted from the time left that the policy is given for a request: the end of the
	// last attempt needs it to become a response at the client. policyTimeLeftDivisor is the part of the time left,
	// as a divisor, that bounds it.
	maxPolicyMargin, policyTimeLeftDivisor = 8 * time.Millisecond, 8
)

// request is a client's request in the event loop, until it has a final response and no attempt is in flight.
type request struct {
	id              balancer.RequestID
	incoming        *message.Request
	closed          bool
	attempts        []*attempt
	sendingBody     bool      // a streamed body is on its way to a server: the request's time has not begun
	inFlight        int       // attempts in flight
	mayHaveExecuted int       // attempts that are in flight or may have executed
	firstSentAt     time.Time // when the first of those began
	badRequest      bool      // the last attempt's server called the request invalid
	backstop        *time.Timer
}

// backstopMargin is the margin of the backstop: less than maxBackstopMargin where the client gives little time.
func (r *request) backstopMargin() time.Duration {
	return min(maxBackstopMargin, r.incoming.Timeout/backstopTimeoutDivisor)
}

// backstopTime is when the backstop responds; no attempt continues after it.
func (r *request) backstopTime() time.Time {
	return r.incoming.Deadline.Add(-r.backstopMargin())
}

// policyTimeLeftMs is the time left that the policy is given, in ms.
func (r *request) policyTimeLeftMs() float64 {
	left := time.Until(r.incoming.Deadline)
	left -= min(maxPolicyMargin, left/policyTimeLeftDivisor)
	return clock.Milliseconds(left)
}

// attemptStarted counts an attempt that starts now.
func (r *request) attemptStarted(now time.Time) {
	if r.mayHaveExecuted == 0 {
		r.firstSentAt = now
	}
	r.sendingBody = r.incoming.Streamed != nil
	r.inFlight++
	r.mayHaveExecuted++
}

// startRequest gives a request to the policy. Beyond the limit of open requests it is rejected at once, as in
// the simulator, where such requests never reach the instance.
func (l *Loop) startRequest(incoming *message.Request) {
	l.metrics.Requests++
	r := l.requests.open(incoming)
	maxOpen := l.cfg.Settings.Limits.MaxOpenRequests
	tooMany := maxOpen > 0 && l.requests.openCount > maxOpen
	if time.Until(r.backstopTime()) <= 0 || tooMany {
		l.reject(r, l.cfg.Settings.Limits.MaxRetryAfterMs)
		return
	}
	l.requests.byID[r.id] = r
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

// streamedBodySent handles the write of the last byte of a streamed request. The request's time counts from that
// byte on, and the server can execute the request.
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

// backstopExpired ends a request that the policy should have ended before. That it did not is a fault or a
// stall, so it is logged and counted.
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

// abandonRequest ends a request whose client no longer waits for the response. One that is not in flight any
// more has its response.
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

// cancelStreaming cancels the attempts whose streamed body is still on its way to a server: no server has all of
// it, so the client can safely send it again, to another process.
func (l *Loop) cancelStreaming() {
	for _, r := range l.requests.byID {
		if len(r.attempts) > 0 && r.sendingBody {
			r.attempts[len(r.attempts)-1].cancelInFlight()
		}
	}
}

// endAllRequests gives every open request its final response: the process is about to be killed, and a request that
// has none by then is lost. A request that can't have executed is rejected, so that the client may send it again.
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

// closeAbandoned counts, logs and closes a request whose client has closed its connection.
func (l *Loop) closeAbandoned(r *request) {
	l.metrics.ClientsGone++
	l.logRequest(r, "abandoned by its client")
	l.closeRequest(r)
}

// cancelRequest tells the policy that a request is over, and cancels its attempts.
func (l *Loop) cancelRequest(r *request) {
	for _, a := range r.attempts {
		a.cancelInFlight()
	}
	l.handle(&balancer.Event{Kind: balancer.EventClientGone, Request: r.id})
}

// reject responds that a retry is harmless. Where an attempt may have executed that makes a retry harmful, the
// request fails instead.
func (l *Loop) reject(r *request, retryAfterMs float64) {
	if r.mayHaveExecuted > 0 && !safeToRetryAnywhere(r.incoming.Rules) {
		l.logViolation(errUnsafeRejection, "id", r.incoming.ID)
		l.finish(r, message.Response{Kind: message.Failed})
		return
	}
	l.finish(r, message.Response{Kind: message.Rejected, RetryAfterMs: retryAfterMs})
}

// finish gives a request its final response; only the first one counts.
func (l *Loop) finish(r *request, response message.Response) {
	if r.closed {
		return
	}
	l.countResponse(r, response.Kind)
	r.incoming.Response <- response
	l.closeRequest(r)
}

// countResponse counts a final response, and logs one that is not a success in time.
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

// closeRequest marks a request as over, and forgets it once no attempt is in flight.
func (l *Loop) closeRequest(r *request) {
	if !r.closed {
		r.closed = true
		l.requests.openCount--
	}
	if r.backstop != nil {
		r.backstop.Stop()
	}
	l.requests.forgetFinished(r)
}
