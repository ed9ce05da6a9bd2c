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
func (b *Balancer) adjustLimit(a *attempt, crowded bool) {
	b.overloadedFraction -= overloadSmoothing * b.overloadedFraction
	if crowded {
		b.overloadedFraction += overloadSmoothing
	}
	out := float64(b.inFlight - b.unresponsiveInFlight() + 1)
	switch {
	case b.overloadedFraction > 0.5 && a.startedAt >= b.limitCutAt:
		// One at each server of all agents together is no crowd.
		least := float64(len(b.servers)) / float64(max(b.settings.FleetSize, 1))
		b.limit, b.limitCutAt = max(min(b.limit, out)*0.85, least, minLimit), b.now
	case b.overloadedFraction < 0.5 && out+1 > b.limit:
		b.limit += limitStep // so by a part of itself for each answer time, whatever its size
	}
}

// judge takes what an attempt's end says about its server.
func (b *Balancer) recordAttempt(a *attempt, ev *balancer.Event) {
	s := a.server
	switch ev.Status {
	case balancer.StatusOK:
		b.recordSuccess(a, ev)
	case balancer.StatusBadRequest:
		s.lastResponseAt = b.now // an answer, and no failure of the server's
	case balancer.StatusError, balancer.StatusReset:
		s.lastResponseAt = b.now
		b.eject(s, false)
	case balancer.StatusConnectFailed:
		b.eject(s, true)
		if s.unreachableSince == 0 {
			s.unreachableSince = b.now
		}
	case balancer.StatusTimeout:
		// Overtaken at a server that is known to answer well since, its answer was lost and tells
		// nothing. A server that answered others meanwhile is not to blame, and counts as slow.
		if s.latency <= b.latencyLimit(s) && b.lostResponse(a) &&
			b.now-a.startedAt > baselineSamples*s.forwardInterval {
			break
		}
		b.adjustZonePreference(s, true)
		b.rest(s, 1)
		if s.lastResponseAt > a.startedAt {
			b.recordLatency(s, min(ev.LatencyMs/a.request.class.LatencyObjectiveMs, 2))
			b.adjustLimit(a, true)
		} else {
			b.eject(s, true)
		}
	case balancer.StatusOverloaded:
		s.lastResponseAt = b.now
		b.cutLimit(s, 0.7, 1)
		b.adjustLimit(a, true)
		b.adjustZonePreference(s, true)
		b.rest(s, 1)
	}
}

// weighZone moves the own zone's weight up while the part of what is sent there and missed is
// under the price of crossing, and down above it: it may have more than its servers can carry.
func (b *Balancer) adjustZonePreference(s *server, missed bool) {
	if s.zone != b.settings.Zone {
		return
	}
	x := b.settings.Costs.CrossZone
	if missed {
		x--
	}
	b.zonePreference = min(max(b.zonePreference*(1+zonePreferenceStep*x), minZonePreference),
		maxZonePreference)
}

// rest lets a crowded server miss about so many turns of this agent. One that sees it twice a
// minute cannot follow its crowd by window; but all together send it less by those that met it.
func (b *Balancer) rest(s *server, turns float64) {
	turn := b.forwardInterval * float64(len(b.servers))
	s.restingUntil = b.now + min(turns*turn, b.settings.Contract.SlowStartMs)*(0.5+b.rng.Float64())
}

func (b *Balancer) recordSuccess(a *attempt, ev *balancer.Event) {
	s, r, rtt := a.server, a.request, ev.LatencyMs
	b.earnSlowStartCredit(s)
	b.retryTokens = min(b.retryTokens+retryTokensPerResponse, maxRetryTokens)
	b.recordContact(s)
	s.responseMs = movingMean(s.responseMs, rtt, serverSmoothing)
	c := r.class
	c.expectedMs = movingMean(c.expectedMs, min(rtt, 2*c.LatencyObjectiveMs), 4*fleetSmoothing)
	gain := c.LateFraction
	late := b.now > r.objectiveAt
	b.adjustZonePreference(s, late)
	if !late {
		c.inTimeShare += 1 - shareDecay
		gain = 1
	}
	if !r.closed {
		b.recordFinished(gain)
	}
	x := min(rtt/c.LatencyObjectiveMs, 2) // as a part of the aim
	b.responses++
	b.fleetLatency = movingMean(b.fleetLatency, x, max(fleetSmoothing, 1/b.responses))
	b.unloadedLatency = min(b.fleetLatency, movingMean(b.unloadedLatency, b.fleetLatency,
		fleetSmoothing/10))
	if b.responses < baselineResponses {
		b.unloadedLatency = b.fleetLatency
	}
	switch {
	case b.responses <= baselineResponses:
		// One quick answer must not set the measure, nor a crowd at the start (id08146).
		b.baselineLatency = min(b.fleetLatency, maxMeanLatency/2)
	case b.fleetLatency < b.baselineLatency:
		b.baselineLatency = movingMean(b.baselineLatency, b.fleetLatency, fleetSmoothing)
	default:
		b.baselineLatency = movingMean(b.baselineLatency, b.fleetLatency, b.baselineGrowth(a))
	}
	b.recordLatency(s, x)
	if slow := x / b.unloadedLatency; late || slow > restFactor*b.fleetFactor() {
		b.rest(s, min(max(slow-1, 1), 4))
	}
	limit := b.latencyLimit(s)
	if b.responses >= baselineResponses {
		b.adjustLimit(a, x > min(max(limit, b.fleetOverloadLatency()/b.slowStartFraction(s)), 1))
	}
	if s.health == balancer.Unhealthy && a.startedAt < s.healthSince && !s.unresponsive {
		return // sent before the failure: says nothing about what came after
	}
	if s.health != balancer.Connected {
		b.setHealth(s, balancer.Connected)
	}
	if s.unresponsive {
		s.unresponsive, s.ejectionLevel = false, max(s.ejectionLevel-1, 0)
	}
	if s.successes++; s.successes >= 16*s.ejectionLevel {
		s.successes, s.ejectionLevel = 0, max(s.ejectionLevel-1, 0)
	}
	switch {
	case s.latency > limit && b.now-s.limitCutAt > rtt:
		least := 1.0
		if s.latency > severeOverloadFactor*limit {
			least = minLimit
		}
		b.cutLimit(s, 0.85, least)
	case s.latency < limit && float64(len(s.inFlight)+2) > s.limit && b.responses > baselineResponses:
		s.limit += min(1/s.limit, s.limit)
	}
}

// limit is the mean answer time, as a part of the aim, from which a server counts as
// crowded. A few agents see most of the load, and need not fear to crowd a server that
// answers well within the aim; a calm taken too low would leave it idle. A cold server
// is slow before it is crowded (i5d0607: only cold ones were left).
func (b *Balancer) latencyLimit(s *server) float64 {
	least := 2 * maxMeanLatency / (2 + float64(b.settings.FleetSize))
	return min(maxMeanLatency, max(overloadFactor*max(b.baselineLatency, s.baseline),
		least)) / b.slowStartFraction(s)
}

// calmRise is how fast calm follows longer answer times: hardly, or a crowd would become the
// measure. An attempt that was alone of its agent tells more the fewer agents there are: a
// lone one that took quick first answers for calm would leave its servers idle for good.
func (b *Balancer) baselineGrowth(a *attempt) float64 {
	if a.alone {
		return fleetSmoothing / min(2*math.Pow(float64(max(b.settings.FleetSize, 1)), 3), 250)
	}
	return fleetSmoothing / 250
}

// heardFrom notes an answer. A server that no connect reached for long may be a new process,
// not yet listed as such: it is ramped as if it had started now. Time-outs alone don't tell
// (i228a10), and quick answers don't clear it: a cold server is quick while it has little.
func (b *Balancer) recordContact(s *server) {
	if s.unreachableSince > 0 && b.now-s.unreachableSince > b.settings.Contract.OverloadWindowMs {
		s.startedAt, s.restartAssumed, s.limit, s.slowStartCredit = b.now, true, 1, 0
		b.restarts++
	}
	s.lastResponseAt, s.unreachableSince = b.now, 0
}

func (b *Balancer) recordLatency(s *server, x float64) {
	s.latencySamples++
	s.latency = movingMean(s.latency, x, max(serverSmoothing, 1/float64(s.latencySamples)))
	if s.latencySamples >= baselineSamples && (s.baseline == 0 || s.latency < s.baseline) {
		s.baseline = s.latency
	}
}

func (b *Balancer) cutLimit(s *server, by, least float64) {
	s.limit, s.limitCutAt = min(s.limit, max(s.limit*by, least)), b.now
}

// demote makes a server Unhealthy. Failures of one moment count as one strike.
func (b *Balancer) eject(s *server, silent bool) {
	if s.health != balancer.Unhealthy {
		s.ejectionLevel = min(s.ejectionLevel+1, maxEjectionLevel)
		b.setHealth(s, balancer.Unhealthy)
		s.unresponsive = silent
		s.successes, s.latency, s.latencySamples = 0, 0, 0
		if silent { // a failure that was answered tells nothing of a crowd
			s.limit = max(s.limit/2, 1)
		}
	}
	b.fetchList()
}
