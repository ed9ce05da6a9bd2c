package agent

import (
	"context"
	"log/slog"
	"net/http"
	"net/url"
	"time"

	"fernbeam.example/fernbeam/internal/balancer"
)

// call is a client's request as the front took it, and where its answer goes.
type clientRequest struct {
	ctx          context.Context // ends with its client
	clientGone   func() bool     // looks whether the client has left unnoticed; nil: it can't be looked
	id           string          // the client's
	arrivedAt    time.Time
	method, host string
	url          *url.URL
	header       http.Header
	body         []byte        // as far as it is kept
	streamed     *streamedBody // its rest, if there is more
	timeout      time.Duration
	rules        *balancer.RequestRules // as they were when it came
	key          uint64
	retry        bool
	deadline     time.Time
	response     chan finalResponse // of capacity one: the loop never waits for a client
}

// margin is how long before the client's deadline the backstop answers: less than
// backstopMargin where the client gives little time.
func (c *clientRequest) backstopMargin() time.Duration { return min(backstopMargin, c.timeout/16) }

// answerBy is when the backstop answers and no attempt goes on any more.
func (c *clientRequest) respondBy() time.Time { return c.deadline.Add(-c.backstopMargin()) }

type responseKind uint8

const (
	responseServed responseKind = iota
	responseRejected
	responseFailed
)

// answer is the one final answer to a call.
type finalResponse struct {
	kind         responseKind
	retryAfterMs float64 // refused: when the client may come back
	timedOut     bool    // failed: because the time was up
	badRequest   bool    // failed: because a backend called the request wrong
	header       http.Header
	body         *responseBody
}

// request is a call in the loop, kept until it is answered and no attempt is out.
type request struct {
	id          balancer.RequestID
	client      *clientRequest
	answered    bool
	attempts    []*attempt
	sendingBody bool      // a long body is on its way to a backend: its time has not begun
	inFlight    int       // attempts out
	mayHaveRun  int       // attempts that are out or may have run
	firstSentAt time.Time // when the first of those began
	badRequest  bool      // by a backend's word
	backstop    *time.Timer
}

// take gives a call to the module. Beyond openCap nothing is taken on, as at the
// simulator, where such requests never reach the instance.
func (l *eventLoop) startRequest(c *clientRequest) *request {
	l.metrics.requests++
	l.nextID++
	r := &request{id: l.nextID, client: c}
	l.unanswered++
	left := time.Until(c.deadline)
	most := l.cfg.Settings.Limits.MaxOpenRequests
	if time.Until(c.respondBy()) <= 0 || most > 0 && l.unanswered > most {
		l.reject(r, l.cfg.Settings.Limits.MaxRetryAfterMs)
		return r
	}
	l.requests[r.id] = r
	r.backstop = time.AfterFunc(time.Until(c.respondBy()), func() {
		l.post(func() { l.backstopExpired(r) })
	})
	left -= min(policyMargin, left/8)
	l.handle(&balancer.Event{Kind: balancer.EventRequest, Request: r.id, Rules: c.rules,
		Key: c.key, RemainingMs: float64(left.Microseconds()) / 1000, Retry: c.retry, StreamedBody: c.streamed != nil})
	return r
}

// written is told when the last byte of a long request is with its backend: from now on its
// time counts, and the backend works on it.
func (l *eventLoop) streamedBodySent(r *request, index int) {
	r.sendingBody = false
	if r.answered {
		return
	}
	c := r.client
	c.deadline = c.streamed.respondBy(c.timeout)
	c.arrivedAt = c.deadline.Add(-c.timeout)
	r.backstop.Reset(time.Until(c.respondBy()))
	left := max(time.Until(c.deadline), 0)
	left -= min(policyMargin, left/8)
	l.handle(&balancer.Event{Kind: balancer.EventRequestSent, Request: r.id, Attempt: index,
		RemainingMs: float64(left.Microseconds()) / 1000})
}

// late is the backstop: the module should have ended the request before. That it
// did not is a bug or a stall, so it is logged and counted.
func (l *eventLoop) backstopExpired(r *request) {
	if r.answered || r.sendingBody {
		return
	}
	l.metrics.backstops++
	l.log(slog.LevelWarn, "backstop ended a request", "id", r.client.id, "attempts", len(r.attempts), "in_flight", r.inFlight,
		"late_ms", float64(time.Since(r.client.respondBy()).Microseconds())/1000)
	l.finish(r, finalResponse{kind: responseFailed, timedOut: true})
	l.cancelRequest(r)
}

// discard is called when nobody waits for the answer any more.
func (l *eventLoop) discardResponse(r *request) {
	l.clientLeft(r)
	select {
	case a := <-r.client.response:
		a.body.release()
	default:
	}
}

// breakOff withdraws the long requests that are still on their way to a backend: none has it
// whole, so they can come again, to another process.
func (l *eventLoop) cancelStreaming() {
	for _, r := range l.requests {
		if t := len(r.attempts) - 1; r.sendingBody && t >= 0 && r.attempts[t].cancel != nil {
			r.attempts[t].cancel()
		}
	}
}

// giveUp ends what is held: the process is about to be killed, and whatever has no final
// answer by then is lost. What can't have run may come again, to another process.
func (l *eventLoop) endAll() {
	for _, r := range l.requests {
		switch {
		case r.answered:
			continue
		case r.mayHaveRun == 0:
			l.reject(r, l.cfg.Settings.Limits.MaxRetryAfterMs)
		default:
			l.finish(r, finalResponse{kind: responseFailed, timedOut: true})
		}
		l.cancelRequest(r)
	}
}

// left is called when a client has gone away.
func (l *eventLoop) clientLeft(r *request) {
	if r.answered {
		return
	}
	l.closeAsGone(r)
	l.cancelRequest(r)
}

// depart ends a request whose client has left.
func (l *eventLoop) closeAsGone(r *request) {
	l.metrics.clientsGone++
	l.logRequest(r, "abandoned by its client")
	l.closeRequest(r)
}

// abandon tells the module that a request is over, and withdraws its attempts.
func (l *eventLoop) cancelRequest(r *request) {
	for _, t := range r.attempts {
		if !t.done && t.cancel != nil {
			t.cancel()
		}
	}
	l.handle(&balancer.Event{Kind: balancer.EventClientGone, Request: r.id})
}

// refuse answers that a retry is harmless, unless an attempt may have run that
// makes it harmful: then the request has failed.
func (l *eventLoop) reject(r *request, afterMs float64) {
	c := r.client.rules
	if r.mayHaveRun > 0 && (c.Idempotency == balancer.NonIdempotent || c.Idempotency == balancer.IdempotentByKey && c.DedupScope != balancer.DedupFleet) {
		l.logViolation("rejection after an attempt that may have executed", "id", r.client.id)
		l.finish(r, finalResponse{kind: responseFailed})
		return
	}
	l.finish(r, finalResponse{kind: responseRejected, retryAfterMs: afterMs})
}

// finish gives the final answer; only the first counts.
func (l *eventLoop) finish(r *request, a finalResponse) {
	if r.answered {
		return
	}
	aim := milliseconds(r.client.rules.LatencyObjectiveMs)
	switch {
	case a.kind == responseServed && time.Since(r.client.arrivedAt) <= aim:
		l.metrics.served++
	case a.kind == responseServed:
		l.metrics.servedLate++
		l.logRequest(r, "served late")
	case a.kind == responseRejected:
		l.metrics.rejected++
		l.logRequest(r, "rejected")
	case a.kind == responseFailed:
		l.metrics.failed++
		l.logRequest(r, "failed")
	}
	r.client.response <- a
	l.closeRequest(r)
}

// close marks a request as over and forgets it as soon as no attempt is out.
func (l *eventLoop) closeRequest(r *request) {
	if !r.answered {
		r.answered = true
		l.unanswered--
	}
	if r.backstop != nil {
		r.backstop.Stop()
	}
	if r.inFlight == 0 {
		delete(l.requests, r.id)
	}
}
