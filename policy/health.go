package policy

import (
	"math"

	"fernbeam.example/fernbeam/internal/balancer"
)

// Tiers and demotion: what each answer tells of its server, its window and the agent's room.

// sense keeps the agent's room. Of many servers each answers one of many agents too seldom
// for its window to follow a crowd. But when most answers of late took longer than their
// servers' limit, all are crowded, and each agent sees that within a second or so: it has
// less out, by steps that it waits to see the effect of, until they are not.
func (b *Balancer) sense(a *attempt, crowded bool) {
	b.over -= crowdSmooth * b.over
	if crowded {
		b.over += crowdSmooth
	}
	out := float64(b.inflight - b.lost() + 1)
	switch {
	case b.over > 0.5 && a.sentAt >= b.roomCutAt:
		// One at each server of all agents together is no crowd.
		least := float64(len(b.servers)) / float64(max(b.set.FleetSize, 1))
		b.room, b.roomCutAt = max(min(b.room, out)*0.85, least, leastWindow), b.now
	case b.over < 0.5 && out+1 > b.room:
		b.room += roomStep // so by a part of itself for each answer time, whatever its size
	}
}

// judge takes what an attempt's end says about its server.
func (b *Balancer) judge(a *attempt, ev *balancer.Event) {
	s := a.s
	switch ev.Status {
	case balancer.StatusOK:
		b.served(a, ev)
	case balancer.StatusBadRequest:
		s.heard = b.now // an answer, and no failure of the server's
	case balancer.StatusError, balancer.StatusReset:
		s.heard = b.now
		b.demote(s, false)
	case balancer.StatusConnectFailed:
		b.demote(s, true)
		if s.lostAt == 0 {
			s.lostAt = b.now
		}
	case balancer.StatusTimeout:
		// Overtaken at a server that is known to answer well since, its answer was lost and tells
		// nothing. A server that answered others meanwhile is not to blame, and counts as slow.
		if s.lat <= b.limit(s) && b.overtaken(a) && b.now-a.sentAt > calmSamples*s.gap {
			break
		}
		b.weighZone(s, true)
		b.rest(s, 1)
		if s.heard > a.sentAt {
			b.learn(s, min(ev.LatencyMs/a.r.class.LatencyObjectiveMs, 2))
			b.sense(a, true)
		} else {
			b.demote(s, true)
		}
	case balancer.StatusOverloaded:
		s.heard = b.now
		b.cut(s, 0.7, 1)
		b.sense(a, true)
		b.weighZone(s, true)
		b.rest(s, 1)
	}
}

// weighZone moves the own zone's weight up while the part of what is sent there and missed is
// under the price of crossing, and down above it: it may have more than its servers can carry.
func (b *Balancer) weighZone(s *server, missed bool) {
	if s.zone != b.set.Zone {
		return
	}
	x := b.set.Costs.CrossZone
	if missed {
		x--
	}
	b.own = min(max(b.own*(1+ownStep*x), ownLeast), ownMost)
}

// rest lets a crowded server miss about so many turns of this agent. One that sees it twice a
// minute cannot follow its crowd by window; but all together send it less by those that met it.
func (b *Balancer) rest(s *server, turns float64) {
	turn := b.gap * float64(len(b.servers))
	s.restUntil = b.now + min(turns*turn, b.set.Contract.SlowStartMs)*(0.5+b.rng.Float64())
}

func (b *Balancer) served(a *attempt, ev *balancer.Event) {
	s, r, rtt := a.s, a.r, ev.LatencyMs
	b.earn(s)
	b.again = min(b.again+againShare, againMost)
	b.heardFrom(s)
	s.rtt = mean(s.rtt, rtt, smooth)
	c := r.class
	c.expect = mean(c.expect, min(rtt, 2*c.LatencyObjectiveMs), 4*slowSmooth)
	gain := c.LateFraction
	late := b.now > r.aimAt
	b.weighZone(s, late)
	if !late {
		c.won += 1 - fade
		gain = 1
	}
	if !r.closed {
		b.gain(gain)
	}
	x := min(rtt/c.LatencyObjectiveMs, 2) // as a part of the aim
	b.answers++
	b.fleetLat = mean(b.fleetLat, x, max(slowSmooth, 1/b.answers))
	b.ease = min(b.fleetLat, mean(b.ease, b.fleetLat, slowSmooth/10))
	if b.answers < learnFor {
		b.ease = b.fleetLat
	}
	switch {
	case b.answers <= learnFor:
		// One quick answer must not set the measure, nor a crowd at the start (id08146).
		b.calmLat = min(b.fleetLat, crowdShare/2)
	case b.fleetLat < b.calmLat:
		b.calmLat = mean(b.calmLat, b.fleetLat, slowSmooth)
	default:
		b.calmLat = mean(b.calmLat, b.fleetLat, b.calmRise(a))
	}
	b.learn(s, x)
	if slow := x / b.ease; late || slow > slowFactor*b.few() {
		b.rest(s, min(max(slow-1, 1), 4))
	}
	limit := b.limit(s)
	if b.answers >= learnFor {
		b.sense(a, x > min(max(limit, b.easeLimit()/b.ramp(s)), 1))
	}
	if s.state == balancer.Unhealthy && a.sentAt < s.since && !s.silent {
		return // sent before the failure: says nothing about what came after
	}
	if s.state != balancer.Connected {
		b.enter(s, balancer.Connected)
	}
	if s.silent {
		s.silent, s.strikes = false, max(s.strikes-1, 0)
	}
	if s.good++; s.good >= 16*s.strikes {
		s.good, s.strikes = 0, max(s.strikes-1, 0)
	}
	switch {
	case s.lat > limit && b.now-s.cutAt > rtt:
		least := 1.0
		if s.lat > tipFactor*limit {
			least = leastWindow
		}
		b.cut(s, 0.85, least)
	case s.lat < limit && float64(len(s.out)+2) > s.window && b.answers > learnFor:
		s.window += min(1/s.window, s.window)
	}
}

// limit is the mean answer time, as a part of the aim, from which a server counts as
// crowded. A few agents see most of the load, and need not fear to crowd a server that
// answers well within the aim; a calm taken too low would leave it idle. A cold server
// is slow before it is crowded (i5d0607: only cold ones were left).
func (b *Balancer) limit(s *server) float64 {
	least := 2 * crowdShare / (2 + float64(b.set.FleetSize))
	return min(crowdShare, max(crowdFactor*max(b.calmLat, s.calm), least)) / b.ramp(s)
}

// calmRise is how fast calm follows longer answer times: hardly, or a crowd would become the
// measure. An attempt that was alone of its agent tells more the fewer agents there are: a
// lone one that took quick first answers for calm would leave its servers idle for good.
func (b *Balancer) calmRise(a *attempt) float64 {
	if a.alone {
		return slowSmooth / min(2*math.Pow(float64(max(b.set.FleetSize, 1)), 3), 250)
	}
	return slowSmooth / 250
}

// heardFrom notes an answer. A server that no connect reached for long may be a new process,
// not yet listed as such: it is ramped as if it had started now. Time-outs alone don't tell
// (i228a10), and quick answers don't clear it: a cold server is quick while it has little.
func (b *Balancer) heardFrom(s *server) {
	if s.lostAt > 0 && b.now-s.lostAt > b.set.Contract.OverloadWindowMs {
		s.startedAt, s.assumed, s.window, s.credit = b.now, true, 1, 0
		b.starts++
	}
	s.heard, s.lostAt = b.now, 0
}

func (b *Balancer) learn(s *server, x float64) {
	s.samples++
	s.lat = mean(s.lat, x, max(smooth, 1/float64(s.samples)))
	if s.samples >= calmSamples && (s.calm == 0 || s.lat < s.calm) {
		s.calm = s.lat
	}
}

func (b *Balancer) cut(s *server, by, least float64) {
	s.window, s.cutAt = min(s.window, max(s.window*by, least)), b.now
}

// demote makes a server Unhealthy. Failures of one moment count as one strike.
func (b *Balancer) demote(s *server, silent bool) {
	if s.state != balancer.Unhealthy {
		s.strikes = min(s.strikes+1, maxStrikes)
		b.enter(s, balancer.Unhealthy)
		s.silent = silent
		s.good, s.lat, s.samples = 0, 0, 0
		if silent { // a failure that was answered tells nothing of a crowd
			s.window = max(s.window/2, 1)
		}
	}
	b.refetch()
}
