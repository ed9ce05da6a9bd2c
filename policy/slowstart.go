package policy

import (
	"math"
	"slices"

	"fernbeam.example/fernbeam/internal/balancer"
)

const (
	// maxSlowStartCredit is the maximum slow-start credit of a server, in attempts. It is small because all
	// agents may use their credits at the same time, and the server's budget applies to a short window.
	maxSlowStartCredit = 1.0
	// slowStartMargin is the maximum cost of an even share of the load for a server in slow start, as a
	// multiple of its present capacity. The cost can be that high because the caches of warm servers save
	// them up to three quarters of the work.
	slowStartMargin = 4.0
)

// slowStart limits the load of servers for some time after their start, while they have only a part of
// their capacity. Each server in slow start has a credit of attempts, which grows with the responses
// of the warm servers.
type slowStart struct {
	env       *environment
	endpoints *endpointList
	// generation counts the changes of the set of servers in slow start that come without a change of
	// the endpoint list.
	generation uint64
	warming    warmingCache
	warm       warmWeightCache
	// servedRate is the number of attempts served per unit of warm weight, with exponential decay over
	// the slow-start time, as of servedRateAt in milliseconds.
	servedRate   float64
	servedRateAt float64
}

// warmingCache caches the servers in slow start, as of a time in milliseconds, an epoch of the endpoint
// list and a generation of the set.
type warmingCache struct {
	servers    []*server
	at         float64
	epoch      uint64
	generation uint64
}

// warmWeightCache caches the total weight of the warm servers, as of a time in milliseconds, an epoch of
// the endpoint list and a generation of the set.
type warmWeightCache struct {
	sum        float64
	at         float64
	epoch      uint64
	generation uint64
	warming    int     // number of servers in slow start at that time
	lostAt     float64 // when the sum last became zero
}

// newSlowStart returns the slow start of the servers in endpoints.
func newSlowStart(env *environment, endpoints *endpointList) *slowStart {
	return &slowStart{env: env, endpoints: endpoints}
}

// invalidate records that the set of servers in slow start may have changed.
func (ss *slowStart) invalidate() { ss.generation++ }

// fraction returns the slow-start fraction of a server: the part of its capacity that it has according to
// the contract. It is 1 if the start of the server is long past or unknown, or if an assumed restart was
// not confirmed by the endpoint list in time.
func (ss *slowStart) fraction(s *server) float64 {
	contract := &ss.env.settings.Contract
	ageMs := ss.env.now - s.startedAt
	if s.startedAt <= 0 || ageMs >= contract.SlowStartMs ||
		s.restartAssumed && ageMs > contract.PollWithinMs {
		return 1
	}
	return contract.SlowStartFrom + (1-contract.SlowStartFrom)*max(ageMs, 0)/contract.SlowStartMs
}

// loadShare returns the part of an even share of the load that a server may be sent. For a server in
// slow start that is what the contract permits. Its keys then move to it gradually as it warms up,
// instead of waiting for it.
func (ss *slowStart) loadShare(s *server) float64 {
	if fraction := ss.fraction(s); fraction < 1 {
		return fraction * ss.env.settings.Contract.OverloadMultiple / slowStartMargin
	}
	return 1
}

// isWarm reports whether a server counts towards the warm weight: ready, healthy and not in slow start.
func (ss *slowStart) isWarm(s *server) bool {
	return s.ready && s.health <= balancer.Unknown && ss.fraction(s) == 1
}

// warmWeight returns the total weight of the warm servers. It checks the cached sum once per point in
// time, and recomputes it only if the health, the list entry or the slow start of a server has changed.
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

// sumWarmWeight computes the total weight of the warm servers.
func (ss *slowStart) sumWarmWeight() float64 {
	sum := 0.0
	for _, s := range ss.endpoints.servers {
		if ss.isWarm(s) {
			sum += s.weight
		}
	}
	return sum
}

// warmingServers returns the listed servers in slow start, ordered by address. As long as the list and the
// start times stay the same, servers can only leave this set, so the cached set is only filtered.
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

// grantCredits increases the credits of the servers in slow start after a response of a warm server.
// Each server gets its share by weight and slow-start fraction.
//
// In a window W a server of capacity C serves at most 2.5 C W attempts, if their keys are in its caches.
// So the credits of all agents for a server at slow-start fraction k grow by
// 2.5 C W k OverloadMultiple/slowStartMargin, which is 5/8 of the budget N = C W k OverloadMultiple.
// Because each agent starts with a random part of one attempt, the agents use that amount and a sum of
// rounded parts whose variance is below N, which adds at most about 2 sqrt(N) + 2 attempts by chance.
//
// Attempts without a response do not count, because most of them may be rejected. Late responses of servers
// that are draining or have failed do not count either, because the warm weight excludes these servers.
func (ss *slowStart) grantCredits(responder *server) {
	warm := ss.warmWeight()
	if warm == 0 || !ss.isWarm(responder) {
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

// accruedCredit returns the credit, in attempts, that a server in slow start gains with time while there
// are no warm servers whose responses would add to it. It grows at the rate at which the warm servers
// last served, and at least by one attempt of all agents together per overload window. The time while
// there were warm servers does not count, because their responses have already been credited.
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

// hasCredit reports whether the slow-start credit of a server permits an attempt. A server that is not in
// slow start needs no credit.
func (ss *slowStart) hasCredit(s *server) bool {
	return ss.fraction(s) == 1 || s.slowStartCredit+ss.accruedCredit(s) >= 1
}

// charge deducts one attempt from the credit of a server in slow start.
func (ss *slowStart) charge(s *server) {
	if ss.fraction(s) < 1 {
		s.slowStartCredit = min(s.slowStartCredit+ss.accruedCredit(s), maxSlowStartCredit) - 1
	}
}

// recordReachable records a response to a request or a health check by the server. If connects to the
// server have failed for longer than an overload window, it may be a new process that the endpoint list
// does not show yet, so it is assumed to have started now. Timeouts alone do not indicate a restart. Fast
// responses do not rule one out, because a server in slow start is fast while it has little load.
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
