package policy

import (
	"cmp"
	"slices"

	"fernbeam.example/fernbeam/internal/balancer"
)

// server is the state of one listed server. The fields that are read when iterating over all servers come
// first, so that they share one or two CPU cache lines. Times are in milliseconds on the host's clock;
// latencies are fractions of the latency objective.
type server struct {
	hash           uint64  // of the address
	zone           int     // number of the zone, as listed
	weight         float64 // as listed, relative to the other servers
	startedAt      float64 // as listed, on the agent's clock, or the time of an assumed restart
	listedStart    float64 // start of the process according to the endpoint list; 0: unknown
	restartAssumed bool    // startedAt is of a restart that the endpoint list does not show (yet)
	cooldownUntil  float64 // end of the cooldown
	ready          bool    // listed as ready
	health         balancer.HealthState
	unresponsive   bool       // ejected because of a missing response, not because of an error
	checking       bool       // a health check is in flight
	limit          float64    // concurrency limit, in attempts of this agent
	inFlight       []*attempt // oldest first

	address          balancer.Addr
	cell             int     // number of the cell, as listed
	clockLagMs       float64 // known lag of the clock that provides the listed start
	healthSince      float64 // time of the last change of the health state
	unreachableSince float64 // first failed connect since the last response; 0: none
	ejectionLevel    int     // number of recent failures, each of which doubles the ejection time
	successes        int     // successful responses since the ejection level changed
	lastResponseAt   float64 // last response to a request or a health check; 0: none
	latency          float64 // moving mean
	baseline         float64 // minimum of the moving mean; 0: unknown
	latencySamples   int     // number of latencies in the moving mean
	limitDecreasedAt float64 // last decrease of the concurrency limit; 0: none
	forwards         forwardTimes
	responseMs       float64 // moving mean of response times
	slowStartCredit  float64 // attempts still permitted in slow start
	score            float64 // in the order of the current request; the lowest comes first
}

// inCooldown reports whether the server is in cooldown: used last within its tier, to recover from an
// overload.
func (s *server) inCooldown(now float64) bool { return now < s.cooldownUntil }

// removeAttempt removes an attempt from those in flight.
func (s *server) removeAttempt(a *attempt) {
	s.inFlight = slices.DeleteFunc(s.inFlight, func(other *attempt) bool { return other == a })
}

// recordLatency adds a latency, a fraction of the objective, to the server's mean and baseline.
func (s *server) recordLatency(latency float64) {
	s.latencySamples++
	s.latency = movingMean(s.latency, latency, max(serverSmoothing, 1/float64(s.latencySamples)))
	if s.latencySamples >= baselineSamples && (s.baseline == 0 || s.latency < s.baseline) {
		s.baseline = s.latency
	}
}

// resetLatency resets the server's mean latency but keeps its baseline.
func (s *server) resetLatency() {
	s.latency = 0
	s.latencySamples = 0
}

// compareAddress compares two servers by address.
func compareAddress(x, y *server) int { return cmp.Compare(x.address.Uint64(), y.address.Uint64()) }
