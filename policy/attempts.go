package policy

import (
	"cmp"

	"fernbeam.example/fernbeam/internal/balancer"
)

// fullCostConnections is the number of open connections per server that cost Costs.Connection.
const fullCostConnections = 100.0

// forward starts an attempt of the request at the server if that is permitted, and reports whether it did.
func (b *Balancer) forward(r *request, s *server) bool {
	if !b.selector.mayForward(r, s) {
		return false
	}
	a := r.addAttempt(s, b.now)
	if !r.streamedBody {
		b.concurrency.begin(a)
	}
	b.slowStart.charge(s)
	b.concurrency.recordForward(s)
	timeoutMs := r.deadline - b.now
	b.emit(balancer.Action{Kind: balancer.ActionForward, Request: r.id, Server: s.address, Ms: timeoutMs})
	return true
}

// findAttempt returns the attempt that an event refers to, or nil if it has ended or is unknown.
func (b *Balancer) findAttempt(ev *balancer.Event) *attempt {
	r := b.requests[ev.Request]
	if r == nil || ev.Attempt < 0 || ev.Attempt >= len(r.attempts) {
		return nil
	}
	if a := r.attempts[ev.Attempt]; !a.ended {
		return a
	}
	return nil
}

// onRequestSent counts an attempt with a streamed body as in flight. The server has received all of the
// request now, so its deadlines and its latency are measured from this time.
func (b *Balancer) onRequestSent(ev *balancer.Event) {
	a := b.findAttempt(ev)
	if a == nil || a.fullySent || a.request.closed {
		return
	}
	a.request.setDeadlines(b.environment, ev.RemainingMs, b.now)
	b.concurrency.begin(a)
}

// onResponseStarted records that a streamed response to the client has started.
func (b *Balancer) onResponseStarted(ev *balancer.Event) {
	a := b.findAttempt(ev)
	if a == nil || a.request.closed {
		return
	}
	a.request.responseStarted = true
	a.server.lastResponseAt = b.now
}

// onAttemptDone handles the end of an attempt: it updates the statistics of the server, and closes the
// request or decides whether to retry it.
func (b *Balancer) onAttemptDone(ev *balancer.Event) {
	a := b.findAttempt(ev)
	if a == nil {
		return
	}
	r := a.request
	b.endAttempt(a, ev)
	b.recordStatus(a, ev)
	b.closeIdleConnections(a.server)
	switch {
	case r.closed || r.responseStarted || ev.RequestDone || ev.Status == balancer.StatusOK:
		b.close(r)
	case ev.Status == balancer.StatusBadRequest: // any other server would respond the same
		b.close(r)
		b.emit(balancer.Action{Kind: balancer.ActionFail, Request: r.id})
	default:
		b.retryOrReject(r, ev.Status)
	}
}

// endAttempt marks an attempt as ended and removes it from all counts.
func (b *Balancer) endAttempt(a *attempt, ev *balancer.Event) {
	r := a.request
	a.ended = true
	r.inFlight--
	if ev.BodyConsumed {
		r.maxAttempts = len(r.attempts)
	}
	b.concurrency.end(a)
	if ev.Status.NotExecuted() {
		r.maybeExecuted--
	}
}

// recordStatus updates the state of the attempt's server according to the status of the attempt.
func (b *Balancer) recordStatus(a *attempt, ev *balancer.Event) {
	s := a.server
	switch ev.Status {
	case balancer.StatusOK:
		b.recordSuccess(a, ev)
	case balancer.StatusBadRequest: // a response, not a server failure
		s.lastResponseAt = b.now
	case balancer.StatusError, balancer.StatusReset:
		s.lastResponseAt = b.now
		b.outliers.eject(s, failedAttempt)
	case balancer.StatusConnectFailed:
		b.outliers.recordUnreachable(s)
	case balancer.StatusTimeout:
		b.recordTimeout(a, ev)
	case balancer.StatusOverloaded:
		s.lastResponseAt = b.now
		b.concurrency.recordRejection(s)
		b.concurrency.recordLoad(a, overloaded)
		b.zone.record(s, objectiveMissed)
		b.concurrency.startCooldown(s, minCooldownIntervals)
	case balancer.StatusCancelled, balancer.StatusUnsent: // ended by the agent, not by the server
	}
}

// recordTimeout records the timeout of an attempt. A server that has responded to other attempts since
// the attempt started counts as slow, any other server as unresponsive.
func (b *Balancer) recordTimeout(a *attempt, ev *balancer.Event) {
	if b.responseWasLost(a) {
		return
	}
	s := a.server
	b.zone.record(s, objectiveMissed)
	b.concurrency.startCooldown(s, minCooldownIntervals)
	if s.lastResponseAt > a.startedAt {
		s.recordLatency(a.request.class.latency(ev.LatencyMs))
		b.concurrency.recordLoad(a, overloaded)
		return
	}
	b.outliers.eject(s, noResponse)
}

// responseWasLost reports whether an attempt timed out because its response was lost in the network,
// which is no sign of a slow server. This is assumed only if the server has responded to later attempts
// within its latency limit, and to enough of them for its current latency to be known.
func (b *Balancer) responseWasLost(a *attempt) bool {
	s := a.server
	return s.latency <= b.concurrency.serverLatencyLimit(s) && b.concurrency.presumedLost(a) &&
		b.now-a.startedAt > baselineSamples*s.forwards.meanIntervalMs
}

// recordSuccess updates all statistics for a successful response.
func (b *Balancer) recordSuccess(a *attempt, ev *balancer.Event) {
	s := a.server
	b.slowStart.grantCredits(s)
	b.retryBudget.deposit()
	b.slowStart.recordReachable(s)
	s.responseMs = movingMean(s.responseMs, ev.LatencyMs, serverSmoothing)
	outcome := b.recordServed(a.request, ev.LatencyMs)
	b.zone.record(s, outcome)
	latency := a.request.class.latency(ev.LatencyMs)
	b.latency.record(latency, a.soleAtServer)
	s.recordLatency(latency)
	b.concurrency.startCooldownIfSlow(s, latency, outcome)
	latencyLimit := b.concurrency.serverLatencyLimit(s)
	if b.latency.known() {
		b.concurrency.recordLoad(a, b.concurrency.loadOf(s, latency, latencyLimit))
	}
	if b.outliers.recordSuccess(a) {
		b.concurrency.adjustServer(s, latencyLimit, ev.LatencyMs)
	}
}

// recordServed adds a response to the statistics of its class and to the served fraction, and returns
// whether it met the latency objective.
func (b *Balancer) recordServed(r *request, responseMs float64) objectiveOutcome {
	r.class.recordResponseTime(responseMs)
	outcome := objectiveMet
	value := 1.0
	if b.now > r.objectiveAt {
		outcome = objectiveMissed
		value = r.class.LateFraction
	} else {
		r.class.countObjectiveMet()
	}
	if !r.closed {
		b.shedder.recordServed(value)
	}
	return outcome
}

// closeIdleConnections closes the idle connections to a server that has no attempt in flight anymore. It
// does so only if, by the costs in the settings, keeping the connections open until the next attempt costs
// more than a new handshake. That is the case in large fleets, where each agent uses a given server rarely.
func (b *Balancer) closeIdleConnections(s *server) {
	costs := &b.settings.Costs
	servers := float64(len(b.endpoints.servers))
	intervalMs := b.concurrency.forwards.meanIntervalMs
	serverIntervalMs := cmp.Or(s.forwards.meanIntervalMs, b.concurrency.evenServerIntervalMs())
	keepCost := costs.Connection * serverIntervalMs * float64(b.settings.FleetSize)
	openCost := fullCostConnections * servers * intervalMs * costs.Handshake
	if len(s.inFlight) == 0 && keepCost > openCost {
		b.emit(balancer.Action{Kind: balancer.ActionCloseIdle, Server: s.address})
	}
}

// retryOrReject handles a request whose attempt failed: it queues the request again if its class, its
// deadline and the retry budget permit a retry, and rejects it otherwise.
func (b *Balancer) retryOrReject(r *request, status balancer.Status) {
	if b.mayRetry(r, status) {
		b.retryBudget.withdraw()
		b.queue.add(r)
		return
	}
	if status == balancer.StatusOverloaded || status == balancer.StatusTimeout {
		b.shedder.recordUnserved() // errors and lost connections are no sign of overload
	}
	b.reject(r)
}

// mayRetry reports whether the request may be queued for another attempt after one that ended with the
// given status. request.mayAttemptAt decides which servers may be used.
func (b *Balancer) mayRetry(r *request, status balancer.Status) bool {
	if r.maybeExecuted > 0 && r.class.Idempotency == balancer.NonIdempotent {
		return false
	}
	return b.retryBudget.hasToken() && len(r.attempts) < r.maxAttempts &&
		status != balancer.StatusUnsent && !(b.now >= r.deadline)
}
