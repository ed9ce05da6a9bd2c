package policy

import (
	"cmp"
	"slices"

	"fernbeam.example/fernbeam/internal/balancer"
)

// server is what the agent knows of one listed server. The fields that each walk over all servers
// reads stand first, so that they share one or two lines of the processor's cache. Times are in
// milliseconds on the host's clock; latencies are fractions of the latency objective.
type server struct {
	hash           uint64  // of its address
	zone           int     // its number, as listed
	weight         float64 // as listed, relative to the other servers
	startedAt      float64 // as listed, on the agent's clock, or later where a restart is assumed
	listedStart    float64 // start of its process as the endpoint list has it; 0: not known
	restartAssumed bool    // startedAt is of a restart that the endpoint list does not show (yet)
	cooldownUntil  float64 // passed over within its tier until then, to recover from an overload
	ready          bool    // listed as ready
	health         balancer.HealthState
	unresponsive   bool       // ejected because it did not respond, not for a response
	checking       bool       // a health check is under way
	limit          float64    // concurrency limit: attempts of this agent that it may have in flight
	inFlight       []*attempt // oldest first

	address          balancer.Addr
	cell             int     // its number, as listed
	clockLagMs       float64 // how far the clock of its listed start is known to be behind
	healthSince      float64 // when it entered its health state
	unreachableSince float64 // first failed connect since its last response; 0: none
	ejectionLevel    int     // number of recent failures, each of which doubles the ejection time
	successes        int     // responses since the ejection level changed
	lastResponseAt   float64 // when it last responded to a request or a health check; 0: never
	latency          float64 // moving mean
	baseline         float64 // the least that the moving mean has been; 0: not known
	latencySamples   int     // number of latencies in the moving mean
	limitDecreasedAt float64 // when its concurrency limit was last decreased; 0: never
	forwards         forwardTimes
	responseMs       float64 // moving mean of response times
	slowStartCredit  float64 // attempts that it may still be sent in slow start
	score            float64 // in the order of the request that is considered; the lowest comes first
}

// inCooldown reports whether the server is passed over within its tier to recover from an overload.
func (s *server) inCooldown(now float64) bool { return now < s.cooldownUntil }

// removeAttempt takes an attempt out of those in flight.
func (s *server) removeAttempt(a *attempt) {
	s.inFlight = slices.DeleteFunc(s.inFlight, func(other *attempt) bool { return other == a })
}

// recordLatency counts a latency, a fraction of the objective, into the server's mean and baseline.
func (s *server) recordLatency(latency float64) {
	s.latencySamples++
	s.latency = movingMean(s.latency, latency, max(serverSmoothing, 1/float64(s.latencySamples)))
	if s.latencySamples >= baselineSamples && (s.baseline == 0 || s.latency < s.baseline) {
		s.baseline = s.latency
	}
}

// forgetLatency starts the server's mean latency anew; its baseline stays.
func (s *server) forgetLatency() {
	s.latency = 0
	s.latencySamples = 0
}

// compareAddress orders servers by address.
func compareAddress(x, y *server) int { return cmp.Compare(x.address.Uint64(), y.address.Uint64()) }
