package policy

import (
	"math"
	"slices"

	"fernbeam.example/fernbeam/internal/balancer"
)

const (
	// maxSlowStartCredit bounds a server's slow-start credit, in attempts: all agents may use
	// theirs at once, and the server's budget counts over a short time.
	maxSlowStartCredit = 1.0
	// slowStartMargin is how many times its present capacity an even share of the load may cost a
	// server in slow start: warm servers save up to three quarters of the work by their caches.
	slowStartMargin = 4.0
)

// slowStart limits what servers are sent for a while after their start, when they have a part of
// their capacity. Each such server has a credit of attempts, which grows with the responses of the warm
// servers.
type slowStart struct {
	env       *environment
	endpoints *endpointList
	// generation counts what changes the set of servers in slow start without a change of the list.
	generation uint64
	warming    warmingCache
	warm       warmWeightCache
	// servedRate is the attempts served for each unit of warm weight, with exponential decay over
	// the slow-start time, as of the time servedRateAt in milliseconds.
	servedRate   float64
	servedRateAt float64
}

// warmingCache holds the servers in slow start, as of a time in milliseconds, an epoch of the endpoint
// list and a generation of the set.
type warmingCache struct {
	servers    []*server
	at         float64
	epoch      uint64
	generation uint64
}

// warmWeightCache holds the weight of the warm servers, as of a time in milliseconds, an epoch of the
// endpoint list and a generation of the set.
type warmWeightCache struct {
	sum        float64
	at         float64
	epoch      uint64
	generation uint64
	warming    int     // number of servers in slow start when it was summed up
	lostAt     float64 // when the last warm server was lost
}

// newSlowStart returns a slow start without servers.
func newSlowStart(env *environment, endpoints *endpointList) *slowStart {
	return &slowStart{env: env, endpoints: endpoints}
}

// invalidate notes that the set of servers in slow start may have changed.
func (ss *slowStart) invalidate() { ss.generation++ }

// fraction is the part of its capacity that a server has by the contract: 1 where its start is long
// past or not known, or was assumed and has not been confirmed by the endpoint list in time.
func (ss *slowStart) fraction(s *server) float64 {
	contract := &ss.env.settings.Contract
	ageMs := ss.env.now - s.startedAt
	if s.startedAt <= 0 || ageMs >= contract.SlowStartMs ||
		s.restartAssumed && ageMs > contract.PollWithinMs {
		return 1
	}
	return contract.SlowStartFrom + (1-contract.SlowStartFrom)*max(ageMs, 0)/contract.SlowStartMs
}

// loadShare is the part of an even share of the load that a server may be sent. For one in slow
// start it is what keeps the contract, so that its keys move to it as it warms up, instead of
// waiting for it.
func (ss *slowStart) loadShare(s *server) float64 {
	if fraction := ss.fraction(s); fraction < 1 {
		return fraction * ss.env.settings.Contract.OverloadMultiple / slowStartMargin
	}
	return 1
}

// isWarm tells whether a server counts into the warm weight: healthy, and not in slow start.
func (ss *slowStart) isWarm(s *server) bool {
	return s.ready && s.health <= balancer.Unknown && ss.fraction(s) == 1
}

// warmWeight is the weight of the warm servers. It is computed once for all decisions of a moment,
// and summed up anew only where a server's health, listing or slow start has changed.
func (ss *slowStart) warmWeight() float64 {
	cache := &ss.warm
	if cache.at == ss.env.now && cache.epoch == ss.endpoints.epoch {
		return cache.sum
	}
	warming := len(ss.warmingServers())
	unchanged := cache.epoch == ss.endpoints.epoch && cache.generation == ss.generation &&
		cache.warming == warming
	cache.at = ss.env.now
	cache.epoch = ss.endpoints.epoch
	cache.generation = ss.generation
	cache.warming = warming
	if unchanged {
		return cache.sum
	}
	before := cache.sum
	cache.sum = ss.sumWarmWeight()
	if before > 0 && cache.sum == 0 {
		cache.lostAt = ss.env.now
	}
	return cache.sum
}

// sumWarmWeight sums up the weight of the warm servers.
func (ss *slowStart) sumWarmWeight() float64 {
	sum := 0.0
	for _, s := range ss.endpoints.servers {
		if ss.isWarm(s) {
			sum += s.weight
		}
	}
	return sum
}

// warmingServers returns the listed servers in slow start, by address. Between changes of the list
// and of starts, time can only make them fewer.
func (ss *slowStart) warmingServers() []*server {
	cache := &ss.warming
	if cache.epoch != ss.endpoints.epoch || cache.generation != ss.generation || ss.env.now < cache.at {
		cache.servers = append(cache.servers[:0], ss.endpoints.servers...)
		cache.epoch = ss.endpoints.epoch
		cache.generation = ss.generation
	}
	cache.servers = slices.DeleteFunc(cache.servers, func(s *server) bool { return ss.fraction(s) == 1 })
	cache.at = ss.env.now
	return cache.servers
}

// grantCredits adds to the credits of the servers in slow start what a response of a warm server allows:
// each gets its share by weight and slow-start fraction.
//
// In a window W a server of capacity C serves at most 2.5 C W attempts, by keys that it knows. So
// the credits of all agents at fraction k grow by 2.5 C W k OverloadMultiple/slowStartMargin, which
// is 5/8 of the budget N = C W k OverloadMultiple. As each agent begins with a random part of one
// attempt, they use that and a sum of rounded parts, whose variance is under N: by chance at most
// 2 sqrt(N) + 2 more.
//
// Attempts that were only sent do not count, as most of them may be rejected. Nor do late responses
// of servers that drain or failed: the weight of the servers that are left says nothing of them.
func (ss *slowStart) grantCredits(from *server) {
	warm := ss.warmWeight()
	if warm == 0 || !ss.isWarm(from) {
		return
	}
	decay := math.Exp((ss.servedRateAt - ss.env.now) / ss.env.settings.Contract.SlowStartMs)
	ss.servedRate = ss.servedRate*decay + 1/warm
	ss.servedRateAt = ss.env.now
	for _, s := range ss.warmingServers() {
		if ss.fraction(s) < 1 {
			s.slowStartCredit = min(s.slowStartCredit+ss.loadShare(s)*s.weight/warm, maxSlowStartCredit)
		}
	}
}

// accruedCredit is the credit, in attempts, that accrues to a server in slow start with time where no
// warm server is left whose responses would add to it: at the rate at which the warm ones last served,
// and at least one attempt of all agents in an overload window. The time before the warm servers were
// lost does not count, as their responses were credited then.
func (ss *slowStart) accruedCredit(s *server) float64 {
	if ss.warmWeight() > 0 {
		return 0
	}
	contract := &ss.env.settings.Contract
	least := 1 / (max(contract.OverloadWindowMs, 1) * ss.env.fleetSize())
	perMs := max(ss.servedRate*s.weight*ss.loadShare(s)/contract.SlowStartMs, least)
	since := max(s.forwards.lastAt, s.healthSince, ss.warm.lostAt)
	return (ss.env.now - since) * perMs
}

// hasCredit tells whether a server may be sent an attempt; one that is not in slow start always may.
func (ss *slowStart) hasCredit(s *server) bool {
	return ss.fraction(s) == 1 || s.slowStartCredit+ss.accruedCredit(s) >= 1
}

// charge takes an attempt off the credit of a server in slow start.
func (ss *slowStart) charge(s *server) {
	if ss.fraction(s) < 1 {
		s.slowStartCredit = min(s.slowStartCredit+ss.accruedCredit(s), maxSlowStartCredit) - 1
	}
}

// recordReachable notes a response to a request or to a health check of the server. A server that no connect
// reached for long may be a new process that is not listed as such yet: it is taken to have started
// now. Timeouts alone are no sign of a restart, and quick responses are no sign against one: a
// server in slow start is quick while it has little load.
func (ss *slowStart) recordReachable(s *server) {
	unreachableMs := ss.env.now - s.unreachableSince
	if s.unreachableSince > 0 && unreachableMs > ss.env.settings.Contract.OverloadWindowMs {
		s.startedAt = ss.env.now
		s.restartAssumed = true
		s.limit = 1
		s.slowStartCredit = 0
		ss.invalidate()
	}
	s.lastResponseAt = ss.env.now
	s.unreachableSince = 0
}
