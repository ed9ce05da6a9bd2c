package policy

import (
	"fernbeam.example/fernbeam/internal/balancer"
)

const (
	// maxEjectionLevel is the maximum ejection level, which bounds the ejection time.
	maxEjectionLevel = 5
	// successesPerLevel is the number of successful responses, as a multiple of the ejection level, that
	// lower the level by one.
	successesPerLevel = 16
	// unresponsiveDecrease is the factor by which the concurrency limit of an unresponsive server is
	// multiplied.
	unresponsiveDecrease = 0.5
	// unresponsiveResponseTimes is the number of expected response times after which a server with one
	// attempt in flight is ejected if it does not respond. The time is divided by the number of attempts
	// in flight, up to unresponsiveAttempts.
	unresponsiveResponseTimes = 8
	unresponsiveAttempts      = 3
)

// tier is the health tier of a server for a request. Servers of a lower tier are used first.
type tier int

// The health tiers, best first.
const (
	healthyTier tier = iota // healthy, or checked by the request itself
	suspectTier             // waits for a health check
	ejectedTier             // ejected
	tierCount               // number of tiers
)

// ejectionCause specifies why a server is ejected.
type ejectionCause uint8

// The values of ejectionCause.
const (
	failedAttempt ejectionCause = iota // the server responded with an error, or the connection was lost
	noResponse                         // the server did not respond, or a connect to it failed
)

// outlierDetector ejects servers that keep failing or do not respond.
type outlierDetector struct {
	env       *environment
	endpoints *endpointList
	classes   *classTable
	poller    *listPoller
	queue     *requestQueue
}

// tierOf returns the server's tier for the request. A server that waits for a health check is used like a
// healthy one, because an attempt checks it just as well. There are two exceptions, in which it is in
// suspectTier: for requests that must not execute twice, and for all requests during the first
// minObjectiveMs if health checks are permitted, because a check is expected within that time.
func (o *outlierDetector) tierOf(s *server, r *request) tier {
	switch s.health {
	case balancer.Unhealthy:
		return ejectedTier
	case balancer.UnhealthyPending:
		awaitsCheck := o.env.settings.Limits.HealthChecks &&
			o.env.now-s.healthSince < o.classes.minObjectiveMs
		if r.class.Idempotency == balancer.NonIdempotent || awaitsCheck {
			return suspectTier
		}
		return healthyTier
	default: // Connected or Unknown
		return healthyTier
	}
}

// ejectionMs returns the ejection time of a server, after which it is checked: one latency objective for
// a single failure, doubled with each further level. While no other server has capacity, the ejection time
// of a server that does respond is 0, because using a server that fails some requests is better than
// rejecting all of them.
func (o *outlierDetector) ejectionMs(s *server) float64 {
	if o.queue.saturated && !s.unresponsive {
		return 0
	}
	return o.classes.minObjectiveMs * float64(int(1)<<max(s.ejectionLevel-1, 0))
}

// ejectionEnded reports whether the ejection time of a server has passed and no attempt is in flight there.
func (o *outlierDetector) ejectionEnded(s *server) bool {
	return s.health == balancer.Unhealthy && s.ready && len(s.inFlight) == 0 &&
		o.env.now-s.healthSince >= o.ejectionMs(s)
}

// eject ejects a server. Further failures while it is ejected do not extend the ejection.
func (o *outlierDetector) eject(s *server, cause ejectionCause) {
	if s.health != balancer.Unhealthy {
		s.ejectionLevel = min(s.ejectionLevel+1, maxEjectionLevel)
		o.endpoints.setHealth(s, balancer.Unhealthy)
		s.unresponsive = cause == noResponse
		s.successes = 0
		s.resetLatency()
		if s.unresponsive { // a failure with a response does not indicate overload
			s.limit = max(s.limit*unresponsiveDecrease, 1)
		}
	}
	o.poller.fetch()
}

// ejectUnresponsive ejects servers that have attempts in flight and have not responded for several
// response times. A server that hangs or is cut off from the network would stay healthy otherwise.
func (o *outlierDetector) ejectUnresponsive() {
	for _, s := range o.endpoints.busy {
		if s.health == balancer.Unhealthy {
			continue
		}
		oldest := s.inFlight[0]
		inFlight := min(len(s.inFlight), unresponsiveAttempts)
		silenceLimitMs := oldest.request.class.expectedMs * unresponsiveResponseTimes / float64(inFlight)
		if o.env.now-max(s.lastResponseAt, oldest.startedAt) >= silenceLimitMs {
			o.eject(s, noResponse)
		}
	}
}

// recordUnreachable ejects a server to which a connect failed.
func (o *outlierDetector) recordUnreachable(s *server) {
	o.eject(s, noResponse)
	if s.unreachableSince == 0 {
		s.unreachableSince = o.env.now
	}
}

// recordSuccess marks a server as healthy after a successful attempt, and lowers its ejection level after
// a number of them. If the attempt began before the server was ejected for a failed attempt, current is
// false and nothing changes, as the response does not show the present state of the server.
func (o *outlierDetector) recordSuccess(a *attempt) (current bool) {
	s := a.server
	if s.health == balancer.Unhealthy && a.startedAt < s.healthSince && !s.unresponsive {
		return false
	}
	if s.health != balancer.Connected {
		o.endpoints.setHealth(s, balancer.Connected)
	}
	if s.unresponsive {
		s.unresponsive = false
		s.ejectionLevel = max(s.ejectionLevel-1, 0)
	}
	s.successes++
	if s.successes >= successesPerLevel*s.ejectionLevel {
		s.successes = 0
		s.ejectionLevel = max(s.ejectionLevel-1, 0)
	}
	return true
}
