package policy

import (
	"fernbeam.example/fernbeam/internal/balancer"
)

const (
	// initialFleetAttempts is what all agents together may have in flight for each new server.
	initialFleetAttempts = 6.0
	// minLimit is the least concurrency limit, in attempts: enough to see when an overload is over.
	minLimit = 0.1
	// singleAttemptLimit is the limit, in attempts, below which a server's limit falls only in a severe
	// overload.
	singleAttemptLimit = 1.0
	// severeOverloadFactor times the latency limit is a severe overload, in which a server's
	// concurrency limit may fall below singleAttemptLimit.
	severeOverloadFactor = 2.5
	// overloadDecrease and rejectionDecrease are the factors of the multiplicative decrease: after slow
	// responses, and after an attempt that a server rejected as overloaded.
	overloadDecrease  = 0.85
	rejectionDecrease = 0.7
	// limitStep is the additive increase of the limit of all servers, in attempts, by a response without
	// overload: in one response time a twentieth of the limit. One attempt more of each of many agents would
	// undo a decrease.
	limitStep = 0.05
	// usedWithin is how close to its limit, in attempts, a server has to be for the limit to count as
	// used: the attempt that has just ended, and one more.
	usedWithin = 2
	// overloadSmoothing is the weight of one response in the overloaded fraction.
	overloadSmoothing = 1.0 / 16
	// overloadedMajority is the overloaded fraction from which all servers count as overloaded.
	overloadedMajority = 0.5
	// cooldownLatencyFactor times the unloaded latency starts a server's cooldown: an overloaded one
	// takes twice as long or more, and recovers only with next to no load.
	cooldownLatencyFactor = 2.0
	// minCooldownIntervals and maxCooldownIntervals bound the length of a cooldown, in mean times between
	// two attempts of this agent at one server.
	minCooldownIntervals = 1.0
	maxCooldownIntervals = 4.0
	// minCooldownFraction is the least part of its length that a cooldown lasts. The jitter added to it is
	// up to the whole length, so that the agents do not return at once.
	minCooldownFraction = 0.5
	// lostAfterResponses is the number of response times after which an attempt is presumed lost whose
	// server has responded to later ones.
	lostAfterResponses = 6.0
)

// serverLoad is what a response, or its absence, says of the load of its server.
type serverLoad bool

// The values of serverLoad.
const (
	overloaded    serverLoad = true
	notOverloaded serverLoad = false
)

// concurrencyLimits holds the limits of this agent's attempts in flight, at all servers together and
// at each, by additive increase and multiplicative decrease (AIMD, Chiu and Jain 1989).
type concurrencyLimits struct {
	env       *environment
	endpoints *endpointList
	classes   *classTable
	latency   *latencyBaselines
	slowStart *slowStart

	inFlight           int
	limit              float64 // attempts that may be in flight at all servers
	limitDecreasedAt   float64 // when the limit was last decreased; 0: never
	overloadedFraction float64 // part of the recent responses that came from overloaded servers
	forwards           forwardTimes
}

// addServer raises the limit of all servers for a new one. Of up to initialFleetLimit agents the
// servers' own limits are the bound, and the limit of all servers becomes infinite.
func (c *concurrencyLimits) addServer(s *server) {
	furtherAgents := max(float64(c.env.settings.FleetSize-initialFleetLimit), 0)
	c.limit += initialFleetAttempts * c.slowStart.fraction(s) / furtherAgents
}

// begin counts an attempt as work of its server.
func (c *concurrencyLimits) begin(a *attempt) {
	a.fullySent = true
	a.startedAt = c.env.now
	c.endpoints.addInFlight(a)
	c.inFlight++
}

// end takes an ended attempt out of the counts.
func (c *concurrencyLimits) end(a *attempt) {
	if a.fullySent {
		c.inFlight--
	}
	c.endpoints.removeInFlight(a)
}

// recordForward notes that an attempt at the server is forwarded now.
func (c *concurrencyLimits) recordForward(s *server) {
	s.forwards.record(c.env.now, serverSmoothing)
	c.forwards.record(c.env.now, fleetSmoothing)
}

// evenServerIntervalMs is the mean time between two attempts at one server if each got the same number.
func (c *concurrencyLimits) evenServerIntervalMs() float64 {
	return c.forwards.meanIntervalMs * float64(len(c.endpoints.servers))
}

// allows tells whether another attempt may be forwarded with so many in flight at all servers. A
// limit below one attempt is enforced by a pause between attempts.
func (c *concurrencyLimits) allows(inFlight int) bool {
	if !(float64(inFlight) < max(c.limit, 1)) {
		return false
	}
	pauseMs := c.latency.baseline * c.classes.minObjectiveMs / c.limit
	return c.limit >= 1 || c.limitDecreasedAt == 0 || c.env.now-c.forwards.lastAt >= pauseMs
}

// recordLoad counts whether a response came from an overloaded server, and adjusts the limit of all
// servers. Of many servers each responds too rarely to one of many agents for its own limit to
// follow an overload. But when most recent responses took longer than their servers' limits, all
// are overloaded, and each agent sees that within about a second: it decreases its limit, by steps
// that wait for the effect of the last, until they are not.
func (c *concurrencyLimits) recordLoad(a *attempt, load serverLoad) {
	c.overloadedFraction -= overloadSmoothing * c.overloadedFraction
	if load == overloaded {
		c.overloadedFraction += overloadSmoothing
	}
	inFlight := float64(c.inFlight - c.endpoints.unresponsiveInFlight() + 1) // with the one that ended
	switch {
	case c.overloadedFraction > overloadedMajority && a.startedAt >= c.limitDecreasedAt:
		// One attempt of all agents together at each server is no overload.
		floor := float64(len(c.endpoints.servers)) / c.env.fleetSize()
		c.limit = max(min(c.limit, inFlight)*overloadDecrease, floor, minLimit)
		c.limitDecreasedAt = c.env.now
	case c.overloadedFraction < overloadedMajority && inFlight+1 > c.limit:
		c.limit += limitStep
	}
}

// serverLatencyLimit is the mean latency above which the server counts as overloaded.
func (c *concurrencyLimits) serverLatencyLimit(s *server) float64 {
	return c.latency.serverLimit(s, c.slowStart.fraction(s))
}

// loadOf is the load of a server by the latency of one response, where latencyLimit is the limit of its
// mean latency.
func (c *concurrencyLimits) loadOf(s *server, latency, latencyLimit float64) serverLoad {
	responseLimit := max(latencyLimit, c.latency.fleetLimit()/c.slowStart.fraction(s))
	return latency > min(responseLimit, 1)
}

// adjustServer adjusts a server's limit after a response in responseMs: multiplicative decrease at
// most once in a response time while its mean latency is above the latency limit; increase by one in
// a response time below it, if the limit is used.
func (c *concurrencyLimits) adjustServer(s *server, latencyLimit, responseMs float64) {
	switch {
	case s.latency > latencyLimit && c.env.now-s.limitDecreasedAt > responseMs:
		floor := singleAttemptLimit
		if s.latency > severeOverloadFactor*latencyLimit {
			floor = minLimit
		}
		c.decreaseServerLimit(s, overloadDecrease, floor)
	case s.latency < latencyLimit && float64(len(s.inFlight)+usedWithin) > s.limit &&
		c.latency.responses > baselineResponses:
		s.limit += min(1/s.limit, s.limit)
	}
}

// recordRejection decreases the limit of a server that has rejected an attempt as overloaded.
func (c *concurrencyLimits) recordRejection(s *server) {
	c.decreaseServerLimit(s, rejectionDecrease, singleAttemptLimit)
}

// decreaseServerLimit decreases a server's limit by a factor, but not below floor.
func (c *concurrencyLimits) decreaseServerLimit(s *server, factor, floor float64) {
	s.limit = min(s.limit, max(s.limit*factor, floor))
	s.limitDecreasedAt = c.env.now
}

// serverAllows tells whether a server may have another attempt in flight: within its limit, one at a
// time until it is healthy, and whatever its health within its slow-start credit. A limit below one
// attempt is enforced by a pause between attempts: with many agents even one attempt of each can be too
// much, and an overloaded server has to recover.
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

// active is the number of attempts that a server works on: those in flight that are not presumed lost.
func (c *concurrencyLimits) active(s *server) int {
	count := len(s.inFlight)
	for _, a := range s.inFlight {
		if c.isLost(a) {
			count--
		}
	}
	return count
}

// isLost tells whether the response of an attempt is presumed lost, as TCP presumes a packet
// lost (RACK, RFC 8985): its server has responded to later attempts for several response times.
func (c *concurrencyLimits) isLost(a *attempt) bool {
	lostAfterMs := lostAfterResponses * max(a.request.class.expectedMs, a.server.responseMs)
	return c.env.now-a.startedAt > lostAfterMs && a.server.lastResponseAt-a.startedAt > lostAfterMs/2
}

// startCooldown has this agent pass over an overloaded server for about so many of the mean times
// between two of its attempts at one server, with jitter. An agent that rarely uses the server cannot
// follow its overload by a limit; but all agents together send it less load, by those that met the
// overload.
func (c *concurrencyLimits) startCooldown(s *server, intervals float64) {
	cooldownMs := min(intervals*c.evenServerIntervalMs(), c.env.settings.Contract.SlowStartMs)
	s.cooldownUntil = c.env.now + cooldownMs*(minCooldownFraction+c.env.random.Float64())
}

// startCooldownIfSlow starts a server's cooldown after a response that missed the latency objective, or
// was much slower than without load.
func (c *concurrencyLimits) startCooldownIfSlow(s *server, latency float64, outcome objectiveOutcome) {
	slowness := latency / c.latency.unloaded
	if outcome == objectiveMissed || slowness > cooldownLatencyFactor*c.latency.fleetFactor() {
		c.startCooldown(s, min(max(slowness-1, minCooldownIntervals), maxCooldownIntervals))
	}
}
