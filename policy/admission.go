package policy

import (
	"fernbeam.example/fernbeam/internal/balancer"
)

// maxForwardFailures is the number of failures after which a dispatch skips the rest of the queue. A failure
// is a queued request that may go to any server but finds none with capacity.
const maxForwardFailures = 4

// onRequest admits a new request to the queue, or rejects it to shed load.
func (b *Balancer) onRequest(ev *balancer.Event) {
	rules := b.requestRules(ev)
	if rules == nil || b.requests[ev.Request] != nil {
		return
	}
	r := b.newRequest(ev, rules)
	b.requests[r.id] = r
	b.classes.countRequest(r.class)
	b.healthChecks.recordRequest()
	b.healthChecks.start()
	b.queue.add(r)
	if b.random.Float64() < b.shedder.fraction() {
		b.shedder.recordUnserved()
		b.reject(r)
	}
}

// requestRules returns the rules that came with the request. If none did, it returns the rules in force for
// the request's class, or nil if there is no such class.
func (b *Balancer) requestRules(ev *balancer.Event) *balancer.RequestRules {
	if ev.Rules != nil {
		return ev.Rules
	}
	if ev.Class < 0 || ev.Class >= len(b.classes.classes) {
		return nil
	}
	return &balancer.RequestRules{
		Class:       b.settings.Classes[ev.Class],
		MaxAttempts: b.settings.Limits.MaxAttempts,
	}
}

// newRequest returns a request for an EventRequest.
func (b *Balancer) newRequest(ev *balancer.Event, rules *balancer.RequestRules) *request {
	c := b.classes.findOrNew(rules.Class)
	r := &request{
		id:             ev.Request,
		streamedBody:   ev.StreamedBody,
		class:          c,
		maxAttempts:    rules.MaxAttempts,
		key:            ev.Key,
		arrivedAt:      b.now,
		firstArrivedAt: b.history.firstArrival(c, ev),
	}
	r.setDeadlines(b.environment, max(ev.RemainingMs, 0), r.firstArrivedAt)
	r.partitionKey = b.partitions.choose(r.key)
	return r
}

// dispatch forwards queued requests in the order of their priority while there is capacity, and rejects
// those of the lowest priority if more than maxQueued remain.
func (b *Balancer) dispatch() {
	b.queue.sort()
	b.forwardQueued()
	for len(b.queue.requests) > maxQueued {
		b.reject(b.queue.last())
	}
}

// forwardQueued forwards the queued requests for which a server has capacity. A request that waits for the
// preferred servers of its key is skipped if they are full, because the next request may find capacity
// elsewhere. After maxForwardFailures requests that may go to any server but found none with capacity, all
// servers are considered full and forwardQueued stops.
func (b *Balancer) forwardQueued() {
	b.queue.saturated = false
	unresponsive := b.endpoints.unresponsiveInFlight()
	failures := 0
	for i := 0; i < len(b.queue.requests) && failures < maxForwardFailures; {
		if !b.concurrency.allows(b.concurrency.inFlight - unresponsive) {
			b.queue.saturated = true
			return
		}
		r := b.queue.requests[i]
		if b.selector.preferredAreFull(r) {
			i++
			continue
		}
		if s := b.selector.choose(r); s != nil && b.forward(r, s) {
			b.queue.removeAt(i)
			continue
		}
		i++
		if !r.waitsForKey(b.now) {
			failures++
		}
		b.queue.saturated = failures > 0
	}
}

// rejectExpired rejects queued requests whose responses would come too late, so that no server spends
// work on them.
func (b *Balancer) rejectExpired() {
	for i := 0; i < len(b.queue.requests); {
		r := b.queue.requests[i]
		if b.queue.isExpired(r) {
			b.reject(r)
			continue
		}
		i++
	}
}

// reject ends a request without a response from a server. The client gets a rejection if a retry of
// the request is harmless, and a failure otherwise.
func (b *Balancer) reject(r *request) {
	if r.closed || r.responseStarted {
		return
	}
	b.history.add(r)
	harmless := r.harmlessToRepeat(b.now)
	b.close(r)
	if harmless {
		retryAfterMs := b.settings.Limits.MaxRetryAfterMs
		b.emit(balancer.Action{Kind: balancer.ActionReject, Request: r.id, Ms: retryAfterMs})
		return
	}
	b.emit(balancer.Action{Kind: balancer.ActionFail, Request: r.id})
}

// onClientGone closes a request whose client has closed its connection.
func (b *Balancer) onClientGone(ev *balancer.Event) {
	r := b.requests[ev.Request]
	if r == nil || r.closed {
		return
	}
	b.history.add(r)
	if r.isAtServer() {
		b.shedder.recordUnserved()
	}
	b.close(r)
}

// close marks a request as closed, cancels its attempts in flight if that is permitted, and deletes the
// request once none of its attempts is in flight.
func (b *Balancer) close(r *request) {
	r.closed = true
	b.queue.remove(r)
	for _, a := range r.attempts {
		if !a.ended && b.settings.Limits.AttemptCancellation {
			b.emit(balancer.Action{Kind: balancer.ActionCancelAttempt, Request: r.id, Attempt: a.index})
		}
	}
	if r.inFlight == 0 {
		delete(b.requests, r.id)
	}
}
