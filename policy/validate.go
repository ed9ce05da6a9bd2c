package policy

import (
	"cmp"
	"math"
	"slices"

	"fernbeam.example/fernbeam/internal/balancer"
)

// Validation and lapse: how a demoted server returns, and how the list is followed.

// holdFor is how long a server stays Unhealthy before it is validated again: one aim for a
// stray failure, doubled with each further strike. While the others have no room there is none:
// one that fails some requests is better than refusing them all, unless it answers nothing.
func (b *Balancer) ejectionMs(s *server) float64 {
	if b.saturated && !s.unresponsive {
		return 0
	}
	return b.minObjectiveMs * float64(int(1)<<max(s.ejectionLevel-1, 0))
}

// watchSilence demotes servers that took attempts and have answered nothing for
// several answer times: hung or gone silent, they would stay Connected.
func (b *Balancer) ejectUnresponsive() {
	for _, s := range b.busy {
		if s.health == balancer.Unhealthy {
			continue
		}
		a := s.inFlight[0]
		if b.now-max(s.lastResponseAt,
			a.startedAt) >= a.request.class.expectedMs*8/float64(min(len(s.inFlight), 3)) {
			b.eject(s, true)
		}
	}
}

// revalidate is what each request triggers: servers that were Unhealthy long
// enough are refreshed to pending and validated in the background.
func (b *Balancer) checkEjected() {
	for _, s := range b.demotedServers() {
		if s.health == balancer.Unhealthy && s.ready && len(s.inFlight) == 0 &&
			b.now-s.healthSince >= b.ejectionMs(s) {
			b.setHealth(s, balancer.UnhealthyPending)
			b.fetchList()
		}
		pending := s.health == balancer.UnhealthyPending && s.ready
		if pending && b.settings.Limits.HealthChecks && !s.checking && b.checkTokens >= 1 &&
			b.checksUnderWay < maxHealthChecks {
			s.checking, b.checksUnderWay, b.checkTokens = true, b.checksUnderWay+1, b.checkTokens-1
			b.emit(balancer.Action{Kind: balancer.ActionHealthCheck, Server: s.address})
		}
	}
}

func (b *Balancer) onHealthCheckDone(ev *balancer.Event) {
	s := b.byAddress[ev.Server]
	if s == nil || !s.checking {
		return
	}
	s.checking = false
	b.checksUnderWay--
	switch {
	case s.health != balancer.UnhealthyPending:
	case ev.Status == balancer.StatusOK:
		b.recordContact(s)
		b.setHealth(s, balancer.Connected)
	case ev.Status != balancer.StatusOverloaded:
		b.eject(s, ev.Status != balancer.StatusError && ev.Status != balancer.StatusReset)
	}
}

// refetch asks for the whole list, seldom: the stream of changes is as fresh. Where discovery
// is asked there is no other call: at one bad server's first failures all agents would ask,
// and their whole lists keep discovery from the calls that bring changes.
func (b *Balancer) fetchList() {
	if b.settings.DiscoveryMode != "on_request" &&
		b.now-b.lastFetchAt >= max(b.settings.Contract.PollWithinMs, 1000) {
		b.lastFetchAt = b.now
		b.emit(balancer.Action{Kind: balancer.ActionFetchList})
	}
}

// follow sets the time of the next call for changes: agents that start or fail together
// call one after another, as long apart as their number needs, and after each failure
// twice as long. One call is on its way at a time, whatever fails meanwhile.
func (b *Balancer) schedulePoll() {
	if b.settings.DiscoveryMode != "on_request" || b.pollScheduled {
		return
	}
	b.pollScheduled = true
	most := min(b.settings.Contract.PollWithinMs/2, maxPollDelayMs)
	spread := pollSpacingMs * float64(b.settings.FleetSize) * math.Pow(2, float64(b.failedPolls))
	b.emit(balancer.Action{Kind: balancer.ActionSetTimer, Ms: b.rng.Float64() * min(max(spread,
		2*b.minObjectiveMs), most), Token: pollToken})
}

func (b *Balancer) onList(ev *balancer.Event) {
	if ev.ListUpdate == balancer.ListFailed {
		b.failedPolls++
		b.schedulePoll()
		return
	}
	b.failedPolls = 0
	b.epoch++
	named := map[balancer.Addr]bool{}
	for i := range ev.Endpoints {
		named[ev.Endpoints[i].Server] = true
		b.update(&ev.Endpoints[i])
	}
	if ev.ListUpdate != balancer.ListDelta {
		for _, s := range b.servers {
			s.ready = s.ready && named[s.address]
		}
	}
	b.servers = slices.DeleteFunc(b.servers, func(s *server) bool {
		forget := !s.ready && len(s.inFlight) == 0 && !s.checking
		if forget {
			delete(b.byAddress, s.address)
		}
		return forget
	})
}

// update takes one line of the list. Another start is another process, a later or an earlier one: the
// wall clock that starts are told by may be set back. A start of 0 tells nothing.
func (b *Balancer) update(e *balancer.Endpoint) {
	s, since := b.byAddress[e.Server], balancer.Finite(e.StartedMs)
	switch {
	case s == nil:
		s = b.insert(e.Server, since)
	case since != s.listedStart && since > 0:
		b.restarted(s, since)
	}
	s.zone, s.cell, s.ready = e.Zone, e.Cell, e.State == balancer.Ready
	s.weight = cmp.Or(max(balancer.Finite(e.Weight), 0), 1)
}

// insert adds a server that was not listed so far.
func (b *Balancer) insert(id balancer.Addr, since float64) *server {
	s := &server{address: id, hash: splitmix64(id.Uint64()), health: balancer.Unknown, healthSince: b.now,
		startedAt: min(since, b.now), listedStart: since, slowStartCredit: b.rng.Float64(),
		limit: float64(max(initialLimit, initialFleetLimit/max(b.settings.FleetSize, 1)))}
	b.byAddress[s.address] = s
	b.limit += initialFleetAttempts * b.slowStartFraction(s) /
		max(float64(b.settings.FleetSize-initialFleetLimit), 0)
	i, _ := slices.BinarySearchFunc(b.servers, s, func(x, y *server) int {
		return cmp.Compare(x.address.Uint64(), y.address.Uint64())
	})
	b.servers = slices.Insert(b.servers, i, s)
	return s
}

// restarted begins anew with a server that is another process: nothing known of the old one holds,
// and it is cold. No process starts before the one that it follows, so where the list says that, the
// clock was set back, and all that is known of the start is that it was told by now. Later starts by
// that clock are as far behind.
func (b *Balancer) restarted(s *server, since float64) {
	s.startedAt = min(since+s.clockLag, b.now)
	if since < s.listedStart {
		s.startedAt = b.now
	}
	s.clockLag = max(s.startedAt-since, 0)
	s.listedStart, s.restartAssumed = since, false
	s.health, s.healthSince, s.unresponsive = balancer.Unknown, b.now, false
	s.ejectionLevel, s.successes, s.latency, s.baseline, s.latencySamples, s.limit = 0, 0, 0, 0, 0, 1
	// A part of a request by chance: of many agents that never earn a whole one, as
	// many send one as together earned one (ia9314f: new servers were left idle).
	s.slowStartCredit = b.rng.Float64()
}
