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
func (b *Balancer) holdFor(s *server) float64 {
	if b.scarce && !s.silent {
		return 0
	}
	return b.aimMin * float64(int(1)<<max(s.strikes-1, 0))
}

// watchSilence demotes servers that took attempts and have answered nothing for
// several answer times: hung or gone silent, they would stay Connected.
func (b *Balancer) watchSilence() {
	for _, s := range b.busy {
		if s.state == balancer.Unhealthy {
			continue
		}
		a := s.out[0]
		if b.now-max(s.heard, a.sentAt) >= a.r.class.expect*8/float64(min(len(s.out), 3)) {
			b.demote(s, true)
		}
	}
}

// revalidate is what each request triggers: servers that were Unhealthy long
// enough are refreshed to pending and validated in the background.
func (b *Balancer) revalidate() {
	for _, s := range b.demotedServers() {
		if s.state == balancer.Unhealthy && s.usable && len(s.out) == 0 && b.now-s.since >= b.holdFor(s) {
			b.enter(s, balancer.UnhealthyPending)
			b.refetch()
		}
		pending := s.state == balancer.UnhealthyPending && s.usable
		if pending && b.set.Limits.HealthChecks && !s.probing && b.mayProbe >= 1 && b.probes < probeCap {
			s.probing, b.probes, b.mayProbe = true, b.probes+1, b.mayProbe-1
			b.do(balancer.Action{Kind: balancer.ActionHealthCheck, Server: s.id})
		}
	}
}

func (b *Balancer) onProbed(ev *balancer.Event) {
	s := b.byAddr[ev.Server]
	if s == nil || !s.probing {
		return
	}
	s.probing = false
	b.probes--
	switch {
	case s.state != balancer.UnhealthyPending:
	case ev.Status == balancer.StatusOK:
		b.heardFrom(s)
		b.enter(s, balancer.Connected)
	case ev.Status != balancer.StatusOverloaded:
		b.demote(s, ev.Status != balancer.StatusError && ev.Status != balancer.StatusReset)
	}
}

// refetch asks for the whole list, seldom: the stream of changes is as fresh. Where discovery
// is asked there is no other call: at one bad server's first failures all agents would ask,
// and their whole lists keep discovery from the calls that bring changes.
func (b *Balancer) refetch() {
	if b.set.DiscoveryMode != "on_request" && b.now-b.lookedAt >= max(b.set.Contract.PollWithinMs, 1000) {
		b.lookedAt = b.now
		b.do(balancer.Action{Kind: balancer.ActionFetchList})
	}
}

// follow sets the time of the next call for changes: agents that start or fail together
// call one after another, as long apart as their number needs, and after each failure
// twice as long. One call is on its way at a time, whatever fails meanwhile.
func (b *Balancer) follow() {
	if b.set.DiscoveryMode != "on_request" || b.calling {
		return
	}
	b.calling = true
	most := min(b.set.Contract.PollWithinMs/2, callMost)
	spread := callGap * float64(b.set.FleetSize) * math.Pow(2, float64(b.follows))
	b.do(balancer.Action{Kind: balancer.ActionSetTimer, Ms: b.rng.Float64() * min(max(spread,
		2*b.aimMin), most), Token: followToken})
}

func (b *Balancer) onList(ev *balancer.Event) {
	if ev.ListUpdate == balancer.ListFailed {
		b.follows++
		b.follow()
		return
	}
	b.follows = 0
	b.epoch++
	named := map[balancer.Addr]bool{}
	for i := range ev.Endpoints {
		named[ev.Endpoints[i].Server] = true
		b.update(&ev.Endpoints[i])
	}
	if ev.ListUpdate != balancer.ListDelta {
		for _, s := range b.servers {
			s.usable = s.usable && named[s.id]
		}
	}
	b.servers = slices.DeleteFunc(b.servers, func(s *server) bool {
		forget := !s.usable && len(s.out) == 0 && !s.probing
		if forget {
			delete(b.byAddr, s.id)
		}
		return forget
	})
}

// update takes one line of the list. Another start is another process, a later or an earlier one: the
// wall clock that starts are told by may be set back. A start of 0 tells nothing.
func (b *Balancer) update(e *balancer.Endpoint) {
	s, since := b.byAddr[e.Server], balancer.Finite(e.StartedMs)
	switch {
	case s == nil:
		s = b.insert(e.Server, since)
	case since != s.listedAt && since > 0:
		b.restarted(s, since)
	}
	s.zone, s.cell, s.usable = e.Zone, e.Cell, e.State == balancer.Ready
	s.weight = cmp.Or(max(balancer.Finite(e.Weight), 0), 1)
}

// insert adds a server that was not listed so far.
func (b *Balancer) insert(id balancer.Addr, since float64) *server {
	s := &server{id: id, hash: mix(id.Uint64()), state: balancer.Unknown, since: b.now,
		startedAt: min(since, b.now), listedAt: since, credit: b.rng.Float64(),
		window: float64(max(firstWindow, firstShare/max(b.set.FleetSize, 1)))}
	b.byAddr[s.id] = s
	b.room += firstRoom * b.ramp(s) / max(float64(b.set.FleetSize-firstShare), 0)
	i, _ := slices.BinarySearchFunc(b.servers, s, func(x, y *server) int {
		return cmp.Compare(x.id.Uint64(), y.id.Uint64())
	})
	b.servers = slices.Insert(b.servers, i, s)
	return s
}

// restarted begins anew with a server that is another process: nothing known of the old one holds,
// and it is cold. No process starts before the one that it follows, so where the list says that, the
// clock was set back, and all that is known of the start is that it was told by now. Later starts by
// that clock are as far behind.
func (b *Balancer) restarted(s *server, since float64) {
	s.startedAt = min(since+s.behind, b.now)
	if since < s.listedAt {
		s.startedAt = b.now
	}
	s.behind = max(s.startedAt-since, 0)
	s.listedAt, s.assumed = since, false
	s.state, s.since, s.silent = balancer.Unknown, b.now, false
	s.strikes, s.good, s.lat, s.calm, s.samples, s.window = 0, 0, 0, 0, 0, 1
	// A part of a request by chance: of many agents that never earn a whole one, as
	// many send one as together earned one (ia9314f: new servers were left idle).
	s.credit = b.rng.Float64()
}
