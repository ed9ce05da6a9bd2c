package policy

import (
	"fernbeam.example/fernbeam/internal/balancer"
)

const (
	// initialFleetAttempts is the number of attempts by which a new server raises the sum of the limits of
	// all agents.
	initialFleetAttempts = 6.0
	// minLimit is the minimum concurrency limit, in attempts. It leaves enough attempts to detect the end
	// of an overload.
	minLimit = 0.1
	// singleAttemptLimit is the concurrency limit, in attempts, below which a server's limit is decreased
	// only in a severe overload.
	singleAttemptLimit = 1.0
	// severeOverloadFactor is the multiple of its latency limit above which a server counts as severely
	// overloaded.
	severeOverloadFactor = 2.5
	// overloadDecrease and rejectionDecrease are the factors of the multiplicative decrease after slow
	// responses and after an attempt that a server rejected as overloaded.
	overloadDecrease  = 0.85
	rejectionDecrease = 0.7
	// limitStep is the additive increase of the limit for all servers, in attempts, per response without
	// overload. With it, the limit grows by a twentieth per response time. If each of many agents added a
	// whole attempt instead, they would undo a decrease at once.
	limitStep = 0.05
	// limitUsedMargin is the distance to a server's limit, in attempts, within which the limit counts as
	// used: the attempt that has just ended, and one more.
	limitUsedMargin = 2
	// overloadSmoothing is the weight of one response in the overloaded fraction.
	overloadSmoothing = 1.0 / 16
	// overloadedMajority is the overloaded fraction above which the servers as a whole count as overloaded.
	overloadedMajority = 0.5
	// cooldownLatencyFactor is the multiple of the unloaded latency above which a response starts the
	// cooldown of its server. An overloaded server takes at least twice as long as without load, and
	// recovers only with almost no load.
	cooldownLatencyFactor = 2.0
	// minCooldownIntervals and maxCooldownIntervals bound the length of a cooldown, in mean intervals
	// between two attempts of this agent at one server.
	minCooldownIntervals = 1.0
	maxCooldownIntervals = 4.0
	// minCooldownFraction is the part of its nominal length that a cooldown lasts without jitter. The
	// jitter adds at most the nominal length, so that the agents do not all return to a server at the same
	// time.
	minCooldownFraction = 0.5
	// lostAfterResponseTimes is the number of response times after which an attempt is presumed lost if its
	// server has responded to later ones.
	lostAfterResponseTimes = 6.0
)

// serverLoad is the load of a server as inferred from a response, or from the lack of one.
type serverLoad bool

// The values of serverLoad.
const (
	overloaded    serverLoad = true
	notOverloaded serverLoad = false
)

// concurrencyLimits limits this agent's attempts in flight, at each server and at all servers together.
// The limits follow additive increase and multiplicative decrease (AIMD, Chiu and Jain 1989).
type concurrencyLimits struct {
	env       *environment
	endpoints *endpointList
	classes   *classTable
	latency   *latencyBaselines
	slowStart *slowStart

	inFlight           int
	limit              float64 // attempts that may be in flight at all servers
	limitDecreasedAt   float64 // when the limit was last decreased; 0: never
	limitAdjusted      bool    // the limit has been adjusted by the load of a response
	overloadedFraction float64 // part of the recent responses that came from overloaded servers
	forwards           forwardTimes
}

// addServer raises the limit for all servers by the share of a new server. In fleets of up to
// initialFleetLimit agents the limit becomes infinite, and only the limits of each server apply.
func (c *concurrencyLimits) addServer(s *server) {
	furtherAgents := max(float64(c.env.settings.FleetSize-initialFleetLimit), 0)
	c.limit += initialFleetAttempts * c.slowStart.fraction(s) / furtherAgents
}

// updateInitialLimits derives the limits that no response has adjusted yet from the settings in force.
// previous are the settings from which they were derived before.
func (c *concurrencyLimits) updateInitialLimits(previous *balancer.Settings) {
	before, now := initialServerLimit(previous), initialServerLimit(&c.env.settings)
	for _, s := range c.endpoints.servers {
		if s.limit == before && s.limitDecreasedAt == 0 {
			s.limit = now
		}
	}
	if c.limitAdjusted {
		return
	}
	c.limit = 0
	for _, s := range c.endpoints.servers {
		c.addServer(s)
	}
}

// begin counts an attempt as in flight at its server.
func (c *concurrencyLimits) begin(a *attempt) {
	a.fullySent = true
	a.startedAt = c.env.now
	c.endpoints.addInFlight(a)
	c.inFlight++
}

// end removes an ended attempt from the counts.
func (c *concurrencyLimits) end(a *attempt) {
	if a.fullySent {
		c.inFlight--
	}
	c.endpoints.removeInFlight(a)
}

// recordForward records that an attempt at the server is forwarded now.
func (c *concurrencyLimits) recordForward(s *server) {
	s.forwards.record(c.env.now, serverSmoothing)
	c.forwards.record(c.env.now, fleetSmoothing)
}

// evenServerIntervalMs returns the mean interval between two attempts at one server if all servers got the
// same number of attempts.
func (c *concurrencyLimits) evenServerIntervalMs() float64 {
	return c.forwards.meanIntervalMs * float64(len(c.endpoints.servers))
}

// allows reports whether another attempt may be forwarded with the given number in flight at all
// servers. A limit below one attempt is enforced by a pause between attempts.
func (c *concurrencyLimits) allows(inFlight int) bool {
	if !(float64(inFlight) < max(c.limit, 1)) {
		return false
	}
	pauseMs := c.latency.baseline * c.classes.minObjectiveMs / c.limit
	return c.limit >= 1 || c.limitDecreasedAt == 0 || c.env.now-c.forwards.lastAt >= pauseMs
}

// recordLoad updates the overloaded fraction for a response and adjusts the limit for all servers. In
// a large fleet a single server responds to one agent too rarely for its own limit to follow an
// overload. But when most recent responses took longer than their servers' latency limits, the servers
// as a whole are overloaded, and each agent detects that within about a second. It then decreases its
// limit step by step, each time waiting for the effect of the previous step, until the overload ends.
func (c *concurrencyLimits) recordLoad(a *attempt, load serverLoad) {
	c.overloadedFraction -= overloadSmoothing * c.overloadedFraction
	if load == overloaded {
		c.overloadedFraction += overloadSmoothing
	}
	inFlight := float64(c.inFlight - c.endpoints.unresponsiveInFlight() + 1) // including the one that ended
	switch {
	case c.overloadedFraction > overloadedMajority && a.startedAt >= c.limitDecreasedAt:
		// One attempt in flight per server, counted over all agents, cannot overload the servers.
		floor := float64(len(c.endpoints.servers)) / c.env.fleetSize()
		c.limit = max(min(c.limit, inFlight)*overloadDecrease, floor, minLimit)
		c.limitDecreasedAt = c.env.now
		c.limitAdjusted = true
	case c.overloadedFraction < overloadedMajority && inFlight+1 > c.limit:
		c.limit += limitStep
		c.limitAdjusted = true
	}
}

// serverLatencyLimit returns the mean latency above which the server counts as overloaded.
func (c *concurrencyLimits) serverLatencyLimit(s *server) float64 {
	return c.latency.serverLimit(s, c.slowStart.fraction(s))
}

// loadOf infers the load of a server from the latency of one response. latencyLimit is the limit of the
// server's mean latency.
func (c *concurrencyLimits) loadOf(s *server, latency, latencyLimit float64) serverLoad {
	responseLimit := max(latencyLimit, c.latency.fleetLimit()/c.slowStart.fraction(s))
	return latency > min(responseLimit, 1)
}

// adjustServer adjusts a server's limit after a response that took responseMs. While the server's mean
// latency is above latencyLimit, the limit is decreased at most once per response time. While it is
// below, and the limit is used, the limit grows by one attempt per response time.
func (c *concurrencyLimits) adjustServer(s *server, latencyLimit, responseMs float64) {
	switch {
	case s.latency > latencyLimit && c.env.now-s.limitDecreasedAt > responseMs:
		floor := singleAttemptLimit
		if s.latency > severeOverloadFactor*latencyLimit {
			floor = minLimit
		}
		c.decreaseServerLimit(s, overloadDecrease, floor)
	case s.latency < latencyLimit && float64(len(s.inFlight)+limitUsedMargin) > s.limit &&
		c.latency.responses > baselineResponses:
		s.limit += min(1/s.limit, s.limit)
	}
}

// recordRejection decreases the limit of a server that has rejected an attempt as overloaded.
func (c *concurrencyLimits) recordRejection(s *server) {
	c.decreaseServerLimit(s, rejectionDecrease, singleAttemptLimit)
}

// decreaseServerLimit multiplies a server's limit by factor, but does not decrease it below floor.
func (c *concurrencyLimits) decreaseServerLimit(s *server, factor, floor float64) {
	s.limit = min(s.limit, max(s.limit*factor, floor))
	s.limitDecreasedAt = c.env.now
}

// serverAllows reports whether a server may have another attempt in flight. A server in slow start needs
// credit, an unhealthy server gets one attempt at a time, and a healthy one as many as its limit
// allows. A limit below one attempt is enforced by a pause between attempts, because in a large fleet even
// one attempt from each agent can keep an overloaded server from recovering.
func (c *concurrencyLimits) serverAllows(s *server) bool {
	if !c.slowStart.hasCredit(s) {
		return false
	}
	if s.health >= balancer.UnhealthyPending {
		return len(s.inFlight) == 0
	}
	if c.active(s) >= max(int(s.limit), 1) {
		return false
	}
	return s.limit >= 1 || c.env.now-s.forwards.lastAt >= s.responseMs/s.limit
}

// active returns the number of attempts that a server is working on: those in flight and not presumed lost.
func (c *concurrencyLimits) active(s *server) int {
	count := len(s.inFlight)
	for _, a := range s.inFlight {
		if c.presumedLost(a) {
			count--
		}
	}
	return count
}

// presumedLost reports whether an attempt is presumed lost because its server has been responding to later
// attempts for several response times, similar to the loss detection of TCP (RACK, RFC 8985).
func (c *concurrencyLimits) presumedLost(a *attempt) bool {
	lostAfterMs := lostAfterResponseTimes * max(a.request.class.expectedMs, a.server.responseMs)
	return c.env.now-a.startedAt > lostAfterMs && a.server.lastResponseAt-a.startedAt > lostAfterMs/2
}

// startCooldown makes this agent avoid an overloaded server for about the given number of mean intervals
// between two of its attempts at one server, with jitter. If each agent uses a server rarely, their
// concurrency limits cannot follow its overload. Cooldowns still reduce the load from all agents together,
// because the agents that observe the overload skip the server.
func (c *concurrencyLimits) startCooldown(s *server, intervals float64) {
	cooldownMs := min(intervals*c.evenServerIntervalMs(), c.env.settings.Contract.SlowStartMs)
	s.cooldownUntil = c.env.now + cooldownMs*(minCooldownFraction+c.env.random.Float64())
}

// startCooldownIfSlow starts a server's cooldown if a response missed the latency objective or was much
// slower than without load.
func (c *concurrencyLimits) startCooldownIfSlow(s *server, latency float64, outcome objectiveOutcome) {
	slowness := latency / c.latency.unloaded
	if outcome == objectiveMissed || slowness > cooldownLatencyFactor*c.latency.fleetFactor() {
		c.startCooldown(s, min(max(slowness-1, minCooldownIntervals), maxCooldownIntervals))
	}
}
