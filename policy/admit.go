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
		rules = &balancer.RequestRules{Class: b.set.Classes[ev.Class], MaxAttempts: b.set.Limits.MaxAttempts}
	}
	if rules == nil || b.requests[ev.Request] != nil {
		return
	}
	c := b.classOf(rules.Class)
	r := &request{id: ev.Request, long: ev.StreamedBody, class: c, most: rules.MaxAttempts, key: ev.Key,
		arrived: b.now, first: b.firstTry(c, ev)}
	b.due(r, max(ev.RemainingMs, 0), r.first)
	r.spot = b.spot(r.key)
	b.requests[r.id] = r
	b.tally(r.class)
	b.mayProbe = min(b.mayProbe+probeShare, probeCap)
	b.revalidate()
	b.held = append(b.held, r)
	if b.rng.Float64() < b.shed() {
		b.gain(0)
		b.end(r)
	}
}

// due sets until when the request's answer earns its worth, and until when anything.
func (b *Balancer) due(r *request, left, first float64) {
	r.deadline = b.now + left - min(b.set.RoundTripMs, left/4)
	r.aimAt = min(first+r.class.LatencyObjectiveMs, r.deadline)
	if r.class.LateFraction == 0 {
		r.deadline = r.aimAt // work for it would be in vain
	}
}

// shed is the part of requests to refuse at once. Where much is served too late the
// servers are crowded and work for nothing, and only less load lets them recover; an
// agent that sees little knows no server's crowd, but its own part served in time.
func (b *Balancer) shed() float64 {
	return min(max(b.tried-shedFactor*b.gained, 0)/(b.tried+1), shedMost)
}

// value is the worth that a unit of server time spent on the request earns, by
// the objective: a part of the whole, and all of the worst class if it is of it.
func (b *Balancer) value(r *request) float64 {
	c, o := r.class, &b.set.Objective
	v := c.PriorityWeight * (o.Total + o.WorstWindow)
	if r.class == b.worst {
		v += o.WorstClass * b.credit / c.asked
	}
	if b.now+r.class.expect > r.aimAt {
		v *= c.LateFraction + b.set.Costs.LateFailure
	}
	if b.set.WeightBy != "work" {
		v /= c.expect
	}
	return v
}

// dispatch sends what is held as far as there is room: the most valuable first,
// of equals the newest, as under overload the oldest would only end late.
func (b *Balancer) dispatch() {
	for _, r := range b.held {
		r.value = b.value(r)
	}
	slices.SortFunc(b.held, func(x, y *request) int {
		return cmp.Or(cmp.Compare(y.value, x.value), cmp.Compare(y.arrived, x.arrived),
			cmp.Compare(x.id, y.id))
	})
	// A request that waits for the servers of its key finds no room where the next
	// does: it is passed over. Of those that take any server a few failures tell.
	b.scarce = false
	lost := b.lost()
	for i, failures := 0, 0; i < len(b.held) && failures < 4; {
		r := b.held[i]
		if !b.roomFor(b.inflight - lost) {
			b.scarce = true
			break
		}
		if b.waits(r) && r.epoch == b.epoch && !b.takes(r.near[0], r) && !b.takes(r.near[1], r) {
			i++
			continue
		}
		if s := b.pick(r); s != nil && b.send(r, s) {
			b.held = slices.Delete(b.held, i, i+1)
			continue
		}
		i++
		if !b.waits(r) {
			failures++
		}
		b.scarce = failures > 0
	}
	for len(b.held) > maxHeld {
		b.end(b.held[len(b.held)-1])
	}
}

// expire ends held requests that can no longer earn anything: refused early,
// before they cost server work. While room is scarce, one that can only be late is
// passed over for newer ones until its time is up: it is told at once instead.
func (b *Balancer) expire() {
	for i := 0; i < len(b.held); {
		r := b.held[i]
		last := r.aimAt
		if r.class.LateFraction > 0 && !b.scarce {
			last = r.deadline
		}
		if b.now+r.class.expect > last || b.now >= r.deadline {
			b.end(r)
			continue
		}
		i++
	}
}

// lost is the number of attempts out at servers that have fallen silent.
func (b *Balancer) lost() int {
	n := 0
	for _, s := range b.busy {
		if s.state >= balancer.UnhealthyPending && s.silent {
			n += len(s.out)
		}
	}
	return n
}

// roomFor bounds what is out at all servers, as a window bounds what is at one.
func (b *Balancer) roomFor(out int) bool {
	return float64(out) < max(b.room, 1) &&
		(b.room >= 1 || b.roomCutAt == 0 || b.now-b.sentAt >= b.calmLat*b.aimMin/b.room)
}

// easeLimit is the part of the aim over which the median answer of all servers means a
// crowd: with the spread that answers have it is half as long again as when at ease. Of few
// agents each sees its servers often, and their windows have to follow a crowd first.
func (b *Balancer) easeLimit() float64 {
	return min(max(easeFactor*b.ease, crowdShare/2), easeMost) * b.few()
}

// few is how much later than one of very many agents one of few acts by what it meets.
func (b *Balancer) few() float64 { return 1 + 2/float64(max(b.set.FleetSize, 1)) }

// coldShare is the part of an even share that a server may be sent: of a cold one
// what keeps the contract, so that its keys move to it as it warms up, instead of
// waiting for it.
func (b *Balancer) coldShare(s *server) float64 {
	if k := b.ramp(s); k < 1 {
		return k * b.set.Contract.OverloadMultiple / coldMargin
	}
	return 1
}

// maySend is the guard of all attempts: rules 2, 3 and the limits. Rule 4 is in
// hasRoom, whose credit every attempt to a cold server is charged in send.
func (b *Balancer) maySend(r *request, s *server) bool {
	return s.usable && b.mayTry(r) && b.mayTryAt(r, s)
}

// mayTry is the part of maySend that holds for all servers.
func (b *Balancer) mayTry(r *request) bool {
	return !r.closed && !r.started && r.open == 0 && b.now < r.deadline && len(r.attempts) < r.most
}

// mayTryAt is the part of maySend that earlier attempts of the request decide.
func (b *Balancer) mayTryAt(r *request, s *server) bool {
	for _, a := range r.attempts {
		if a.s == s && len(b.servers) > len(r.attempts) {
			return false // further attempts go elsewhere
		}
	}
	c := r.class
	if r.risky == 0 || c.Idempotency == balancer.Idempotent {
		return true
	}
	return c.Idempotency == balancer.IdempotentByKey &&
		b.now-r.ranAt <= c.DedupWindowMs-2*b.set.RoundTripMs && (c.DedupScope == balancer.DedupFleet ||
		c.DedupScope == balancer.DedupZone && s.zone == r.ranOn.zone ||
		c.DedupScope == balancer.DedupCell && s.cell == r.ranOn.cell)
}

func (b *Balancer) send(r *request, s *server) bool {
	if !b.maySend(r, s) {
		return false
	}
	a := &attempt{r: r, s: s, index: len(r.attempts), alone: len(s.out) == 0, sentAt: b.now}
	r.attempts = append(r.attempts, a)
	r.open++
	if r.risky == 0 {
		r.ranAt, r.ranOn = b.now, s
	}
	r.risky++
	if !r.long {
		b.begin(a)
	}
	if s.sentAt > 0 {
		s.gap = mean(s.gap, b.now-s.sentAt, smooth)
	}
	if b.sentAt > 0 {
		b.gap = mean(b.gap, b.now-b.sentAt, slowSmooth)
	}
	if b.ramp(s) < 1 {
		s.credit = min(s.credit+b.accrued(s), coldBurst) - 1
	}
	s.sentAt, b.sentAt = b.now, b.now
	b.do(balancer.Action{Kind: balancer.ActionForward, Request: r.id, Server: s.id, Ms: r.deadline - b.now})
	return true
}

// begin counts an attempt as work of its server.
func (b *Balancer) begin(a *attempt) {
	a.begun, a.sentAt = true, b.now
	if len(a.s.out) == 0 {
		b.markBusy(a.s)
	}
	a.s.out = append(a.s.out, a)
	b.inflight++
}

// onWritten begins a long request: its server has it whole, and its time counts from here.
func (b *Balancer) onWritten(ev *balancer.Event) {
	if a := b.attemptOf(ev); a != nil && !a.begun && !a.r.closed {
		b.due(a.r, ev.RemainingMs, b.now)
		b.begin(a)
	}
}

// earn keeps each cold server's credit: for all that warm servers have served it gets its share by
// weight and ramp. In a window W one of capacity C serves 2.5 C W at the most, by keys that it
// knows, so all agents' credits at ramp k grow by 2.5 C W k FallMultiple/coldMargin: 5/8 of the
// budget N = C W k FallMultiple. As each begins with a part of one drawn by chance, what they spend
// is that and a sum of rounded parts, whose variance is under N: by chance 2 x root of N + 2 at most.
// What was only sent does not count (ifa9784: 6 attempts a request, most turned away), nor what
// servers answer late that drain or failed: the weight of those that are left says nothing of them.
func (b *Balancer) earn(s *server) {
	warm := b.warmWeight()
	if warm == 0 || !b.isWarm(s) {
		return
	}
	b.flow = b.flow*math.Exp((b.flowAt-b.now)/b.set.Contract.SlowStartMs) + 1/warm
	b.flowAt = b.now
	for _, o := range b.coldServers() {
		if b.ramp(o) < 1 {
			o.credit = min(o.credit+b.coldShare(o)*o.weight/warm, coldBurst)
		}
	}
}

// accrued is the credit that a cold server gains with time where no warm one is left to earn it:
// at the rate at which the warm ones last served, and for one call a window of all agents at least.
// Until they were gone they had earned it: that time does not count again.
func (b *Balancer) accrued(s *server) float64 {
	if b.warmWeight() > 0 {
		return 0
	}
	c := &b.set.Contract
	least := 1 / (max(c.OverloadWindowMs, 1) * float64(max(b.set.FleetSize, 1)))
	perMs := max(b.flow*s.weight*b.coldShare(s)/c.SlowStartMs, least)
	return (b.now - max(s.sentAt, s.since, b.warmGoneAt)) * perMs
}

// end is the guard of all final answers but served ones: a refusal where the
// class allows the claim that a retry is harmless, else a failure.
func (b *Balancer) end(r *request) {
	if r.closed || r.started {
		return
	}
	b.remember(r)
	c := r.class
	// Past the window a repeat of a guarded request would run again.
	harmless := r.risky == 0 || c.Idempotency == balancer.Idempotent ||
		c.Idempotency == balancer.IdempotentByKey && c.DedupScope == balancer.DedupFleet &&
			b.now-r.ranAt < c.DedupWindowMs
	b.close(r)
	if harmless {
		b.do(balancer.Action{Kind: balancer.ActionReject, Request: r.id, Ms: b.set.Limits.MaxRetryAfterMs})
	} else {
		b.do(balancer.Action{Kind: balancer.ActionFail, Request: r.id})
	}
}

// attemptOf is the attempt that an event is about, unless it has ended.
func (b *Balancer) attemptOf(ev *balancer.Event) *attempt {
	r := b.requests[ev.Request]
	if r == nil || ev.Attempt < 0 || ev.Attempt >= len(r.attempts) || r.attempts[ev.Attempt].done {
		return nil
	}
	return r.attempts[ev.Attempt]
}

// close forgets a finished request as soon as no attempt of it is out.
func (b *Balancer) close(r *request) {
	r.closed = true
	b.held = slices.DeleteFunc(b.held, func(h *request) bool { return h == r })
	for _, a := range r.attempts {
		if !a.done && b.set.Limits.AttemptCancellation {
			b.do(balancer.Action{Kind: balancer.ActionCancelAttempt, Request: r.id, Attempt: a.index})
		}
	}
	if r.open == 0 {
		delete(b.requests, r.id)
	}
}

func (b *Balancer) onOutcome(ev *balancer.Event) {
	a := b.attemptOf(ev)
	if a == nil {
		return
	}
	r, s := a.r, a.s
	a.done = true
	r.open--
	if a.begun {
		b.inflight--
	}
	if ev.BodyConsumed {
		r.most = len(r.attempts)
	}
	s.out = slices.DeleteFunc(s.out, func(o *attempt) bool { return o == a })
	if a.begun && len(s.out) == 0 {
		b.busy = slices.DeleteFunc(b.busy, func(o *server) bool { return o == s })
	}
	if ev.Status.NotExecuted() {
		r.risky--
	}
	b.judge(a, ev)
	b.hangUp(s)
	switch {
	case r.closed || r.started || ev.RequestDone || ev.Status == balancer.StatusOK:
		b.close(r)
	case ev.Status == balancer.StatusBadRequest: // so it is at every server, and on every try of the client's
		b.close(r)
		b.do(balancer.Action{Kind: balancer.ActionFail, Request: r.id})
	default:
		b.further(r, ev.Status)
	}
}

// hangUp closes the connections to a server that idle where, by its prices, keeping them
// until the next attempt costs more than opening one: of a thousand agents each would
// hold some to a third of the servers (i29baa9: 23 points of service).
func (b *Balancer) hangUp(s *server) {
	p, n := &b.set.Costs, float64(len(b.servers))
	gap := cmp.Or(s.gap, b.gap*n)
	if len(s.out) == 0 && p.Connection*gap*float64(b.set.FleetSize) > 100*n*b.gap*p.Handshake {
		b.do(balancer.Action{Kind: balancer.ActionCloseIdle, Server: s.id})
	}
}

// further holds an unanswered request for another server where its class and time allow,
// and ends it otherwise. Further attempts are earned by served requests: where few are served
// they would only multiply the load (ia9314f, ifa9784: two to six attempts a request).
func (b *Balancer) further(r *request, why balancer.Status) {
	if r.risky > 0 && r.class.Idempotency == balancer.NonIdempotent || b.again < 1 ||
		len(r.attempts) >= r.most ||
		why == balancer.StatusUnsent || b.now >= r.deadline {
		if why == balancer.StatusOverloaded || why == balancer.StatusTimeout {
			b.gain(0) // errors and lost connections tell nothing of crowds
		}
		b.end(r)
		return
	}
	b.again--
	b.held = append(b.held, r)
}
