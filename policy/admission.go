package policy

import (
	"fernbeam.example/fernbeam/internal/balancer"
)

// maxForwardFailures is the number of queued requests that may go to any server and find none with
// capacity, after which the rest of the queue is not considered.
const maxForwardFailures = 4

// onRequest admits a request to the queue, or rejects it to shed load.
func (b *Balancer) onRequest(ev *balancer.Event) {
	rules := b.rulesOf(ev)
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

// rulesOf returns the rules that came with the request, or else those of its class in force; nil if
// there is no such class.
func (b *Balancer) rulesOf(ev *balancer.Event) *balancer.RequestRules {
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

// newRequest returns the request that an event brings.
func (b *Balancer) newRequest(ev *balancer.Event, rules *balancer.RequestRules) *request {
	c := b.classes.find(rules.Class)
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

// dispatch forwards queued requests as far as there is capacity, by priority.
func (b *Balancer) dispatch() {
	b.queue.sort()
	b.forwardQueued()
	for len(b.queue.requests) > maxQueued {
		b.reject(b.queue.last())
	}
}

// forwardQueued forwards the queued requests that find a server. A request that waits for the servers
// of its key may find no capacity where the next one does, so it is passed over; of requests that may
// go to any server a few that find none show that there is none.
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

// rejectExpired rejects queued requests whose response would be of no use to the client, before they
// cost work of a server.
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

// reject gives the final answer to a request that is not served: a rejection where a retry of the client
// is harmless, else a failure.
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

// onClientGone closes a request whose client has left.
func (b *Balancer) onClientGone(ev *balancer.Event) {
	r := b.requests[ev.Request]
	if r == nil || r.closed {
		return
	}
	b.history.add(r)
	if r.inFlight > 0 {
		b.shedder.recordUnserved()
	}
	b.close(r)
}

// close ends a request: its attempts in flight are cancelled where that is permitted, and it is
// forgotten as soon as none is left.
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
