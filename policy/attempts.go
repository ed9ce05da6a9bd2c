package policy

import (
	"cmp"

	"fernbeam.example/fernbeam/internal/balancer"
)

// fullCostConnections is the number of open connections of a server that Costs.Connection is the cost of.
const fullCostConnections = 100.0

// forward starts an attempt of the request at the server, if it is permitted.
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

// attemptOf is the attempt that an event is about; nil if it has ended or is not known.
func (b *Balancer) attemptOf(ev *balancer.Event) *attempt {
	r := b.requests[ev.Request]
	if r == nil || ev.Attempt < 0 || ev.Attempt >= len(r.attempts) {
		return nil
	}
	if a := r.attempts[ev.Attempt]; !a.ended {
		return a
	}
	return nil
}

// onRequestSent counts an attempt of a request with a streamed body: the server has all of it now,
// and its time counts from here.
func (b *Balancer) onRequestSent(ev *balancer.Event) {
	a := b.attemptOf(ev)
	if a == nil || a.fullySent || a.request.closed {
		return
	}
	a.request.setDeadlines(b.environment, ev.RemainingMs, b.now)
	b.concurrency.begin(a)
}

// onResponseStarted notes that the client has begun to receive a streamed response.
func (b *Balancer) onResponseStarted(ev *balancer.Event) {
	a := b.attemptOf(ev)
	if a == nil || a.request.closed {
		return
	}
	a.request.responseStarted = true
	a.server.lastResponseAt = b.now
}

// onAttemptDone takes the end of an attempt: it updates what is known of the server, and answers the
// request or decides about a retry.
func (b *Balancer) onAttemptDone(ev *balancer.Event) {
	a := b.attemptOf(ev)
	if a == nil {
		return
	}
	r := a.request
	b.endAttempt(a, ev)
	b.recordStatus(a, ev)
	b.closeIdle(a.server)
	switch {
	case r.closed || r.responseStarted || ev.RequestDone || ev.Status == balancer.StatusOK:
		b.close(r)
	case ev.Status == balancer.StatusBadRequest: // every other server would answer alike
		b.close(r)
		b.emit(balancer.Action{Kind: balancer.ActionFail, Request: r.id})
	default:
		b.retryOrReject(r, ev.Status)
	}
}

// endAttempt takes an ended attempt out of all counts.
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

// recordStatus updates what is known of the attempt's server by how the attempt ended.
func (b *Balancer) recordStatus(a *attempt, ev *balancer.Event) {
	s := a.server
	switch ev.Status {
	case balancer.StatusOK:
		b.recordSuccess(a, ev)
	case balancer.StatusBadRequest: // a response, and no failure of the server's
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
	case balancer.StatusCancelled, balancer.StatusUnsent: // ended by the agent: says nothing of the server
	}
}

// recordTimeout records a timeout. A server that has responded to other attempts meanwhile counts as
// slow, another one as unresponsive.
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

// responseWasLost tells whether an attempt timed out because its response was lost on its way, which
// says nothing about the server: the server has responded well to later attempts, and enough of them to
// know its present latency.
func (b *Balancer) responseWasLost(a *attempt) bool {
	s := a.server
	return s.latency <= b.concurrency.serverLatencyLimit(s) && b.concurrency.isLost(a) &&
		b.now-a.startedAt > baselineSamples*s.forwards.meanIntervalMs
}

// recordSuccess records a successful response with all components that learn from it.
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

// recordServed counts a response into the statistics of its class and the served fraction, and returns
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

// closeIdle closes the idle connections to a server that has just finished an attempt where, by the
// costs in the settings, keeping them until the next attempt costs more than opening one: of many agents
// each uses a server rarely.
func (b *Balancer) closeIdle(s *server) {
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

// retryOrReject queues a request whose attempt failed for another server, where its class, its time
// and the retry budget permit that, and rejects it otherwise.
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

// mayRetry tells whether the request may be queued for another attempt after one that ended with the status.
// At which servers is for request.mayAttemptAt to say.
func (b *Balancer) mayRetry(r *request, status balancer.Status) bool {
	if r.maybeExecuted > 0 && r.class.Idempotency == balancer.NonIdempotent {
		return false
	}
	return b.retryBudget.hasToken() && len(r.attempts) < r.maxAttempts &&
		status != balancer.StatusUnsent && !(b.now >= r.deadline)
}
