package policy

import (
	"fernbeam.example/fernbeam/internal/balancer"
)

const (
	// maxEjectionLevel bounds the doubling of the ejection time.
	maxEjectionLevel = 5
	// successesPerLevel is the number of responses, for each ejection level, that lower the level.
	successesPerLevel = 16
	// unresponsiveDecrease is the factor by which the concurrency limit of an unresponsive server is
	// decreased.
	unresponsiveDecrease = 0.5
	// unresponsiveAfter is the number of expected response times, divided by the number of attempts in
	// flight (at most unresponsiveAttempts), after which a server that does not respond is ejected.
	unresponsiveAfter    = 8
	unresponsiveAttempts = 3
)

// tier is a server's health tier for a request: a server of a lower tier is used first.
type tier int

// The health tiers, best first.
const (
	healthyTier tier = iota // in service
	suspectTier             // waits for a health check
	ejectedTier             // out of service
	tierCount               // the number of tiers
)

// ejectionCause tells why a server is ejected.
type ejectionCause uint8

// The causes of an ejection.
const (
	failedAttempt ejectionCause = iota // it responded with an error, or the connection was lost
	noResponse                         // it did not respond, or no connection to it was made
)

// outlierDetector ejects servers that keep failing or do not respond.
type outlierDetector struct {
	env       *environment
	endpoints *endpointList
	classes   *classTable
	poller    *listPoller
	queue     *requestQueue
}

// tierOf is the server's tier for the request. A server that waits for a health check is used like a
// healthy one, as the request checks it as well; but not by a request that must not execute twice,
// nor at first where a health check is on its way.
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

// ejectionMs is how long a server stays ejected until it is checked: one latency objective for
// a single failure, doubled with each further level. While no other server has capacity it is 0: a
// server that fails some requests is better than rejecting them all, unless it does not respond.
func (o *outlierDetector) ejectionMs(s *server) float64 {
	if o.queue.saturated && !s.unresponsive {
		return 0
	}
	return o.classes.minObjectiveMs * float64(int(1)<<max(s.ejectionLevel-1, 0))
}

// ejectionEnded reports whether an ejected server has been out of service for its ejection time and
// has no attempt in flight.
func (o *outlierDetector) ejectionEnded(s *server) bool {
	return s.health == balancer.Unhealthy && s.ready && len(s.inFlight) == 0 &&
		o.env.now-s.healthSince >= o.ejectionMs(s)
}

// eject takes a server out of service. Further failures while it is ejected count as the same one.
func (o *outlierDetector) eject(s *server, cause ejectionCause) {
	if s.health != balancer.Unhealthy {
		s.ejectionLevel = min(s.ejectionLevel+1, maxEjectionLevel)
		o.endpoints.setHealth(s, balancer.Unhealthy)
		s.unresponsive = cause == noResponse
		s.successes = 0
		s.forgetLatency()
		if s.unresponsive { // a failure with a response is no sign of overload
			s.limit = max(s.limit*unresponsiveDecrease, 1)
		}
	}
	o.poller.fetch()
}

// ejectUnresponsive ejects servers that have attempts in flight and have not responded for several
// response times: a server that hangs or is partitioned would stay healthy otherwise.
func (o *outlierDetector) ejectUnresponsive() {
	for _, s := range o.endpoints.busy {
		if s.health == balancer.Unhealthy {
			continue
		}
		oldest := s.inFlight[0]
		inFlight := min(len(s.inFlight), unresponsiveAttempts)
		silenceLimitMs := oldest.request.class.expectedMs * unresponsiveAfter / float64(inFlight)
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

// recordSuccess puts a server back in service after a successful attempt and lowers its ejection
// level after many. current is false where the attempt began before the server failed, and so says
// nothing about its present state.
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
