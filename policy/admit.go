package policy

import (
	"cmp"
	"math"
	"slices"

	"fernbeam.example/fernbeam/internal/balancer"
)

// Admission and budget: what is held, sent, refused, tried again, and what it may cost.

func (b *Balancer) onRequest(ev *balancer.Event) {
	rules := ev.Rules
	if rules == nil && ev.Class >= 0 && ev.Class < len(b.classes) {
		rules = &balancer.RequestRules{Class: b.settings.Classes[ev.Class],
			MaxAttempts: b.settings.Limits.MaxAttempts}
	}
	if rules == nil || b.requests[ev.Request] != nil {
		return
	}
	c := b.classOf(rules.Class)
	r := &request{id: ev.Request, streamedBody: ev.StreamedBody, class: c,
		maxAttempts: rules.MaxAttempts, key: ev.Key,
		arrivedAt: b.now, firstArrivedAt: b.firstArrival(c, ev)}
	b.setDeadlines(r, max(ev.RemainingMs, 0), r.firstArrivedAt)
	r.partitionKey = b.partition(r.key)
	b.requests[r.id] = r
	b.countRequest(r.class)
	b.checkTokens = min(b.checkTokens+checkTokensPerRequest, maxHealthChecks)
	b.checkEjected()
	b.queued = append(b.queued, r)
	if b.rng.Float64() < b.shedFraction() {
		b.recordFinished(0)
		b.reject(r)
	}
}

// due sets until when the request's answer earns its worth, and until when anything.
func (b *Balancer) setDeadlines(r *request, left, first float64) {
	r.deadline = b.now + left - min(b.settings.RoundTripMs, left/4)
	r.objectiveAt = min(first+r.class.LatencyObjectiveMs, r.deadline)
	if r.class.LateFraction == 0 {
		r.deadline = r.objectiveAt // work for it would be in vain
	}
}

// shed is the part of requests to refuse at once. Where much is served too late the
// servers are crowded and work for nothing, and only less load lets them recover; an
// agent that sees little knows no server's crowd, but its own part served in time.
func (b *Balancer) shedFraction() float64 {
	return min(max(b.finished-shedFactor*b.earned, 0)/(b.finished+1), maxShedFraction)
}

// value is the worth that a unit of server time spent on the request earns, by
// the objective: a part of the whole, and all of the worst class if it is of it.
func (b *Balancer) priority(r *request) float64 {
	c, o := r.class, &b.settings.Objective
	v := c.PriorityWeight * (o.Total + o.WorstWindow)
	if r.class == b.worst {
		v += o.WorstClass * b.meanWeight / c.requestShare
	}
	if b.now+r.class.expectedMs > r.objectiveAt {
		v *= c.LateFraction + b.settings.Costs.LateFailure
	}
	if b.settings.WeightBy != "work" {
		v /= c.expectedMs
	}
	return v
}

// dispatch sends what is held as far as there is room: the most valuable first,
// of equals the newest, as under overload the oldest would only end late.
func (b *Balancer) dispatch() {
	for _, r := range b.queued {
		r.priority = b.priority(r)
	}
	slices.SortFunc(b.queued, func(x, y *request) int {
		return cmp.Or(cmp.Compare(y.priority, x.priority), cmp.Compare(y.arrivedAt, x.arrivedAt),
			cmp.Compare(x.id, y.id))
	})
	// A request that waits for the servers of its key finds no room where the next
	// does: it is passed over. Of those that take any server a few failures tell.
	b.saturated = false
	lost := b.unresponsiveInFlight()
	for i, failures := 0, 0; i < len(b.queued) && failures < 4; {
		r := b.queued[i]
		if !b.underLimit(b.inFlight - lost) {
			b.saturated = true
			break
		}
		if b.waitsForKey(r) && r.nearestEpoch == b.epoch && !b.accepts(r.nearest[0], r) &&
			!b.accepts(r.nearest[1], r) {
			i++
			continue
		}
		if s := b.pick(r); s != nil && b.forward(r, s) {
			b.queued = slices.Delete(b.queued, i, i+1)
			continue
		}
		i++
		if !b.waitsForKey(r) {
			failures++
		}
		b.saturated = failures > 0
	}
	for len(b.queued) > maxQueued {
		b.reject(b.queued[len(b.queued)-1])
	}
}

// expire ends held requests that can no longer earn anything: refused early,
// before they cost server work. While room is scarce, one that can only be late is
// passed over for newer ones until its time is up: it is told at once instead.
func (b *Balancer) expire() {
	for i := 0; i < len(b.queued); {
		r := b.queued[i]
		last := r.objectiveAt
		if r.class.LateFraction > 0 && !b.saturated {
			last = r.deadline
		}
		if b.now+r.class.expectedMs > last || b.now >= r.deadline {
			b.reject(r)
			continue
		}
		i++
	}
}

// lost is the number of attempts out at servers that have fallen silent.
func (b *Balancer) unresponsiveInFlight() int {
	n := 0
	for _, s := range b.busy {
		if s.health >= balancer.UnhealthyPending && s.unresponsive {
			n += len(s.inFlight)
		}
	}
	return n
}

// roomFor bounds what is out at all servers, as a window bounds what is at one.
func (b *Balancer) underLimit(out int) bool {
	return float64(out) < max(b.limit, 1) &&
		(b.limit >= 1 || b.limitCutAt == 0 ||
			b.now-b.lastForwardAt >= b.baselineLatency*b.minObjectiveMs/b.limit)
}

// easeLimit is the part of the aim over which the median answer of all servers means a
// crowd: with the spread that answers have it is half as long again as when at ease. Of few
// agents each sees its servers often, and their windows have to follow a crowd first.
func (b *Balancer) fleetOverloadLatency() float64 {
	return min(max(fleetOverloadFactor*b.unloadedLatency, maxMeanLatency/2),
		maxFleetLatency) * b.fleetFactor()
}

// few is how much later than one of very many agents one of few acts by what it meets.
func (b *Balancer) fleetFactor() float64 { return 1 + 2/float64(max(b.settings.FleetSize, 1)) }

// coldShare is the part of an even share that a server may be sent: of a cold one
// what keeps the contract, so that its keys move to it as it warms up, instead of
// waiting for it.
func (b *Balancer) slowStartLoad(s *server) float64 {
	if k := b.slowStartFraction(s); k < 1 {
		return k * b.settings.Contract.OverloadMultiple / slowStartMargin
	}
	return 1
}

// maySend is the guard of all attempts: rules 2, 3 and the limits. Rule 4 is in
// hasRoom, whose credit every attempt to a cold server is charged in send.
func (b *Balancer) mayForward(r *request, s *server) bool {
	return s.ready && b.mayAttempt(r) && b.mayAttemptAt(r, s)
}

// mayTry is the part of maySend that holds for all servers.
func (b *Balancer) mayAttempt(r *request) bool {
	return !r.closed && !r.responseStarted && r.inFlight == 0 && b.now < r.deadline &&
		len(r.attempts) < r.maxAttempts
}

// mayTryAt is the part of maySend that earlier attempts of the request decide.
func (b *Balancer) mayAttemptAt(r *request, s *server) bool {
	for _, a := range r.attempts {
		if a.server == s && len(b.servers) > len(r.attempts) {
			return false // further attempts go elsewhere
		}
	}
	c := r.class
	if r.maybeExecuted == 0 || c.Idempotency == balancer.Idempotent {
		return true
	}
	return c.Idempotency == balancer.IdempotentByKey &&
		b.now-r.executedAt <= c.DedupWindowMs-2*b.settings.RoundTripMs &&
		(c.DedupScope == balancer.DedupFleet ||
			c.DedupScope == balancer.DedupZone && s.zone == r.executedOn.zone ||
			c.DedupScope == balancer.DedupCell && s.cell == r.executedOn.cell)
}

func (b *Balancer) forward(r *request, s *server) bool {
	if !b.mayForward(r, s) {
		return false
	}
	a := &attempt{request: r, server: s, index: len(r.attempts), alone: len(s.inFlight) == 0,
		startedAt: b.now}
	r.attempts = append(r.attempts, a)
	r.inFlight++
	if r.maybeExecuted == 0 {
		r.executedAt, r.executedOn = b.now, s
	}
	r.maybeExecuted++
	if !r.streamedBody {
		b.count(a)
	}
	if s.lastForwardAt > 0 {
		s.forwardInterval = movingMean(s.forwardInterval, b.now-s.lastForwardAt, serverSmoothing)
	}
	if b.lastForwardAt > 0 {
		b.forwardInterval = movingMean(b.forwardInterval, b.now-b.lastForwardAt, fleetSmoothing)
	}
	if b.slowStartFraction(s) < 1 {
		s.slowStartCredit = min(s.slowStartCredit+b.accruedCredit(s), maxSlowStartCredit) - 1
	}
	s.lastForwardAt, b.lastForwardAt = b.now, b.now
	b.emit(balancer.Action{Kind: balancer.ActionForward, Request: r.id, Server: s.address,
		Ms: r.deadline - b.now})
	return true
}

// begin counts an attempt as work of its server.
func (b *Balancer) count(a *attempt) {
	a.counted, a.startedAt = true, b.now
	if len(a.server.inFlight) == 0 {
		b.markBusy(a.server)
	}
	a.server.inFlight = append(a.server.inFlight, a)
	b.inFlight++
}

// onWritten begins a long request: its server has it whole, and its time counts from here.
func (b *Balancer) onRequestSent(ev *balancer.Event) {
	if a := b.attemptOf(ev); a != nil && !a.counted && !a.request.closed {
		b.setDeadlines(a.request, ev.RemainingMs, b.now)
		b.count(a)
	}
}

// earn keeps each cold server's credit: for all that warm servers have served it gets its share by
// weight and ramp. In a window W one of capacity C serves 2.5 C W at the most, by keys that it
// knows, so all agents' credits at ramp k grow by 2.5 C W k FallMultiple/coldMargin: 5/8 of the
// budget N = C W k FallMultiple. As each begins with a part of one drawn by chance, what they spend
// is that and a sum of rounded parts, whose variance is under N: by chance 2 x root of N + 2 at most.
// What was only sent does not count (ifa9784: 6 attempts a request, most turned away), nor what
// servers answer late that drain or failed: the weight of those that are left says nothing of them.
func (b *Balancer) earnSlowStartCredit(s *server) {
	warm := b.warmWeight()
	if warm == 0 || !b.isWarm(s) {
		return
	}
	b.warmRate = b.warmRate*math.Exp((b.warmRateAt-b.now)/b.settings.Contract.SlowStartMs) + 1/warm
	b.warmRateAt = b.now
	for _, o := range b.slowStartServers() {
		if b.slowStartFraction(o) < 1 {
			o.slowStartCredit = min(o.slowStartCredit+b.slowStartLoad(o)*o.weight/warm, maxSlowStartCredit)
		}
	}
}

// accrued is the credit that a cold server gains with time where no warm one is left to earn it:
// at the rate at which the warm ones last served, and for one call a window of all agents at least.
// Until they were gone they had earned it: that time does not count again.
func (b *Balancer) accruedCredit(s *server) float64 {
	if b.warmWeight() > 0 {
		return 0
	}
	c := &b.settings.Contract
	least := 1 / (max(c.OverloadWindowMs, 1) * float64(max(b.settings.FleetSize, 1)))
	perMs := max(b.warmRate*s.weight*b.slowStartLoad(s)/c.SlowStartMs, least)
	return (b.now - max(s.lastForwardAt, s.healthSince, b.warmGoneAt)) * perMs
}

// end is the guard of all final answers but served ones: a refusal where the
// class allows the claim that a retry is harmless, else a failure.
func (b *Balancer) reject(r *request) {
	if r.closed || r.responseStarted {
		return
	}
	b.rememberUnserved(r)
	c := r.class
	// Past the window a repeat of a guarded request would run again.
	harmless := r.maybeExecuted == 0 || c.Idempotency == balancer.Idempotent ||
		c.Idempotency == balancer.IdempotentByKey && c.DedupScope == balancer.DedupFleet &&
			b.now-r.executedAt < c.DedupWindowMs
	b.close(r)
	if harmless {
		b.emit(balancer.Action{Kind: balancer.ActionReject, Request: r.id,
			Ms: b.settings.Limits.MaxRetryAfterMs})
	} else {
		b.emit(balancer.Action{Kind: balancer.ActionFail, Request: r.id})
	}
}

// attemptOf is the attempt that an event is about, unless it has ended.
func (b *Balancer) attemptOf(ev *balancer.Event) *attempt {
	r := b.requests[ev.Request]
	if r == nil || ev.Attempt < 0 || ev.Attempt >= len(r.attempts) || r.attempts[ev.Attempt].ended {
		return nil
	}
	return r.attempts[ev.Attempt]
}

// close forgets a finished request as soon as no attempt of it is out.
func (b *Balancer) close(r *request) {
	r.closed = true
	b.queued = slices.DeleteFunc(b.queued, func(h *request) bool { return h == r })
	for _, a := range r.attempts {
		if !a.ended && b.settings.Limits.AttemptCancellation {
			b.emit(balancer.Action{Kind: balancer.ActionCancelAttempt, Request: r.id, Attempt: a.index})
		}
	}
	if r.inFlight == 0 {
		delete(b.requests, r.id)
	}
}

func (b *Balancer) onAttemptDone(ev *balancer.Event) {
	a := b.attemptOf(ev)
	if a == nil {
		return
	}
	r, s := a.request, a.server
	a.ended = true
	r.inFlight--
	if a.counted {
		b.inFlight--
	}
	if ev.BodyConsumed {
		r.maxAttempts = len(r.attempts)
	}
	s.inFlight = slices.DeleteFunc(s.inFlight, func(o *attempt) bool { return o == a })
	if a.counted && len(s.inFlight) == 0 {
		b.busy = slices.DeleteFunc(b.busy, func(o *server) bool { return o == s })
	}
	if ev.Status.NotExecuted() {
		r.maybeExecuted--
	}
	b.recordAttempt(a, ev)
	b.closeIdle(s)
	switch {
	case r.closed || r.responseStarted || ev.RequestDone || ev.Status == balancer.StatusOK:
		b.close(r)
	// so it is at every server, and on every try of the client's
	case ev.Status == balancer.StatusBadRequest:
		b.close(r)
		b.emit(balancer.Action{Kind: balancer.ActionFail, Request: r.id})
	default:
		b.retry(r, ev.Status)
	}
}

// hangUp closes the connections to a server that idle where, by its prices, keeping them
// until the next attempt costs more than opening one: of a thousand agents each would
// hold some to a third of the servers (i29baa9: 23 points of service).
func (b *Balancer) closeIdle(s *server) {
	p, n := &b.settings.Costs, float64(len(b.servers))
	gap := cmp.Or(s.forwardInterval, b.forwardInterval*n)
	if len(s.inFlight) == 0 &&
		p.Connection*gap*float64(b.settings.FleetSize) > 100*n*b.forwardInterval*p.Handshake {
		b.emit(balancer.Action{Kind: balancer.ActionCloseIdle, Server: s.address})
	}
}

// further holds an unanswered request for another server where its class and time allow,
// and ends it otherwise. Further attempts are earned by served requests: where few are served
// they would only multiply the load (ia9314f, ifa9784: two to six attempts a request).
func (b *Balancer) retry(r *request, why balancer.Status) {
	if r.maybeExecuted > 0 && r.class.Idempotency == balancer.NonIdempotent || b.retryTokens < 1 ||
		len(r.attempts) >= r.maxAttempts ||
		why == balancer.StatusUnsent || b.now >= r.deadline {
		if why == balancer.StatusOverloaded || why == balancer.StatusTimeout {
			b.recordFinished(0) // errors and lost connections tell nothing of crowds
		}
		b.reject(r)
		return
	}
	b.retryTokens--
	b.queued = append(b.queued, r)
}
