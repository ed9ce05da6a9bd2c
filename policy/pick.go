package policy

import (
	"math"

	"fernbeam.example/fernbeam/internal/balancer"
)

// The key hash with a load cap: which server of the best tier a request goes to.

// spot is where a key's hash starts. A key with more than keyPart of a server's share of
// this agent's requests is split at random into parts, each with an order of its own: of
// many agents none has enough in flight for the cap to move a popular key on (ia9314f:
// one server got 18 times the mean). While little is known each key has two parts.
func (b *Balancer) partition(key uint64) uint64 {
	if key == 0 {
		return 0
	}
	all := float64(len(b.servers)) / maxPartitionShare
	b.countKey(key, keyCountWindow*all)
	parts := b.keyCounts[key] * all / (b.keyTotal + all/2)
	if i := uint64(b.rng.Float64() * math.Ceil(parts)); i > 0 {
		return splitmix64(key + i)
	}
	return key
}

// rank is the server's tier for the request.
func (b *Balancer) tierOf(s *server, r *request) int {
	switch s.health {
	case balancer.Unhealthy:
		return 2
	case balancer.UnhealthyPending:
		// What must not run twice does not check a server while others are healthy.
		if r.class.Idempotency == balancer.NonIdempotent || b.settings.Limits.HealthChecks &&
			b.now-s.healthSince < b.minObjectiveMs {
			return 1
		}
	}
	return 0
}

// tierCount is the number of tiers that rank tells apart.
const tierCount = 3

// pick takes of the best tier that has anyone the first server in the order of the key's hash
// that is under its cap and has room. Only servers that can win are scored in full, and none
// sorted: with hundreds of them that took more than the agent's CPU share.
func (b *Balancer) pick(r *request) *server {
	r.tierWeight = 0
	if !b.mayAttempt(r) {
		return nil
	}
	for rank := range tierCount {
		resting := b.fillTier(r, rank)
		// Of each tier those that rest come last, unless most do: then all are crowded.
		for _, skipResting := range [...]bool{true, false} {
			if r.tierWeight == 0 || skipResting && resting > r.tierWeight/2 {
				b.skipDraws(r, skipResting)
				continue // an empty tier passes down
			}
			best, found := b.nearest(r, skipResting)
			if found || !skipResting {
				return best
			}
		}
	}
	return nil
}

// fillTier puts the servers of the tier that the request may go to into b.tier and their weight
// into r.tierWeight, and returns the weight of those that rest.
func (b *Balancer) fillTier(r *request, rank int) (resting float64) {
	servers := b.servers
	if rank > 0 {
		servers = b.demotedServers()
	}
	tier := b.tier[:0]
	r.tierWeight = 0
	for _, s := range servers {
		if !s.ready || b.tierOf(s, r) != rank || len(r.attempts) > 0 && !b.mayAttemptAt(r, s) {
			continue
		}
		weight := s.weight * b.slowStartFraction(s)
		r.tierWeight += weight
		if b.now < s.restingUntil {
			resting += weight
		}
		tier = append(tier, s)
	}
	b.tier = tier
	return resting
}

// nearest is the first server of b.tier in the request's order that takes it; found tells whether
// there was any to choose from. A request that waits for the servers of its key has no others.
func (b *Balancer) nearest(r *request, skipResting bool) (best *server, found bool) {
	if b.waitsForKey(r) {
		return b.nearestOfKey(r, skipResting)
	}
	for _, s := range b.tier {
		if skipResting && b.now < s.restingUntil || !b.hasCapacity(s, r) {
			continue
		}
		found = true
		place := b.place(r, s)
		weight := b.orderWeight(s)
		if best != nil && place.leastScore(weight) >= best.score || !b.underCap(s, r) {
			continue
		}
		s.score = place.score(weight)
		if best == nil || s.score < best.score {
			best = s
		}
	}
	return best, found
}

// nearestOfKey is the first of the keyServers that are nearest the request's key that takes it.
func (b *Balancer) nearestOfKey(r *request, skipResting bool) (best *server, found bool) {
	var near [preferredServers]*server
	count := 0
	for _, s := range b.tier {
		if skipResting && b.now < s.restingUntil {
			continue
		}
		count++
		place := b.place(r, s)
		weight := b.orderWeight(s)
		farthest := near[preferredServers-1]
		if farthest != nil && place.leastScore(weight) >= farthest.score {
			continue
		}
		s.score = place.score(weight)
		for i, at := 0, s; i < preferredServers && at != nil; i++ {
			if near[i] == nil || at.score < near[i].score {
				near[i], at = at, near[i]
			}
		}
	}
	if count > preferredServers {
		r.nearest, r.nearestEpoch = near, b.epoch
	}
	for _, s := range near {
		if s != nil && (best == nil || s.score < best.score) && b.accepts(s, r) {
			best = s
		}
	}
	return best, count > 0
}

// skipDraws passes over the random places of a walk that decides nothing: what is drawn later does
// not depend on who rests.
func (b *Balancer) skipDraws(r *request, skipResting bool) {
	if r.key != 0 {
		return
	}
	for _, s := range b.tier {
		if !(skipResting && b.now < s.restingUntil) && b.hasCapacity(s, r) {
			b.rng.Uint64()
		}
	}
}

// waits tells whether the request still waits for the servers nearest its key.
func (b *Balancer) waitsForKey(r *request) bool {
	return r.key != 0 && len(r.attempts) == 0 &&
		b.now-r.arrivedAt < keyWaitFraction*(r.objectiveAt-r.arrivedAt)
}

// place is where a hash falls between 0 and 1, in steps of 1/placeSteps.
type place uint64

const (
	placeSteps = 1 << 53
	// leastMargin is more than the relative error of a logarithm.
	leastMargin = 1 - 1.0/(1<<40)
)

// place is the server's place for the request's key, or one drawn if it has none: every agent of a
// zone finds the same for a key.
func (b *Balancer) place(r *request, s *server) place {
	if r.key == 0 {
		return place(b.rng.Uint64() >> 11)
	}
	return place(splitmix64(r.partitionKey^s.hash) >> 11)
}

// score orders servers by weighted rendezvous hashing: a server's share of keys is that of its weight.
func (p place) score(weight float64) float64 {
	return -math.Log(float64(p)/placeSteps+1e-18) / weight
}

// leastScore is at most the score, at a fraction of its cost: 1-u is at most -log(u), by leastMargin
// also as computed, and dividing both by one weight keeps their order.
func (p place) leastScore(weight float64) float64 {
	return float64(placeSteps-p) / placeSteps * leastMargin / weight
}

// orderWeight is the server's weight in a request's order.
func (b *Balancer) orderWeight(s *server) float64 {
	weight := s.weight * b.slowStartLoad(s)
	if s.zone == b.settings.Zone {
		weight *= b.zonePreference
	}
	return weight
}

// takes tells whether the server is under its cap and has room.
func (b *Balancer) accepts(s *server, r *request) bool {
	return b.underCap(s, r) && b.hasCapacity(s, r)
}

// underCap tells whether the server is under its cap in the tier of the request's last pick.
func (b *Balancer) underCap(s *server, r *request) bool {
	share := s.weight * b.slowStartFraction(s) / r.tierWeight
	return float64(b.activeAttempts(s)) < math.Ceil(loadCapFactor*float64(b.inFlight+1)*share)
}

// holds is the number of attempts that a server is at work on: a lost one keeps no room.
func (b *Balancer) activeAttempts(s *server) int {
	n := len(s.inFlight)
	for _, a := range s.inFlight {
		if b.lostResponse(a) {
			n--
		}
	}
	return n
}

// overtaken tells whether its server has answered later ones for several answer times.
func (b *Balancer) lostResponse(a *attempt) bool {
	t := lostAfterResponses * max(a.request.class.expectedMs, a.server.responseMs)
	return b.now-a.startedAt > t && a.server.lastResponseAt-a.startedAt > t/2
}

// hasRoom bounds what a server holds of this agent: its window, one at a time
// until it is validated, and whatever its state a cold server's credit.
func (b *Balancer) hasCapacity(s *server, r *request) bool {
	if !b.hasCredit(s) {
		return false
	}
	if s.health >= balancer.UnhealthyPending {
		return len(s.inFlight) == 0
	}
	// A window under one is kept by pausing: with many agents even one attempt of
	// each can be too much, and a server that tipped needs rest to recover.
	return b.activeAttempts(s) < max(int(s.limit), 1) && (s.limit >= 1 ||
		b.now-s.lastForwardAt >= s.responseMs/s.limit)
}

// hasCredit tells whether a cold server may be sent another attempt; a warm one always may.
func (b *Balancer) hasCredit(s *server) bool {
	return b.slowStartFraction(s) == 1 || s.slowStartCredit+b.accruedCredit(s) >= 1
}
