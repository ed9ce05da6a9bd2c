package policy

import "math"

const (
	// loadCapFactor is how far above its even share of the agent's attempts in flight a server may
	// go before a key's request moves on to the next server in the key's order.
	loadCapFactor = 3.0
	// keyWaitFraction is the part of its latency objective for which a request waits for one of the
	// servers that its key prefers: to go on at once would lose the server's cache for the key just
	// when servers are short of time.
	keyWaitFraction = 0.25
	// preferredServers is the number of servers, the first in the order of its key, for which a request
	// waits.
	preferredServers = 2
)

// serverSelector selects the server of an attempt: of the best health tier that has any, the first
// in the order of weighted rendezvous hashing that is under its load cap and has capacity.
type serverSelector struct {
	env         *environment
	endpoints   *endpointList
	slowStart   *slowStart
	concurrency *concurrencyLimits
	outliers    *outlierDetector
	zone        *zonePreference
	candidates  []*server // scratch: the servers of the tier that is considered
}

// mayForward tells whether an attempt of the request at the server is permitted. The limits of its
// load are in concurrencyLimits.serverAllows.
func (sel *serverSelector) mayForward(r *request, s *server) bool {
	return s.ready && r.mayAttempt(sel.env.now) && r.mayAttemptAt(s, sel.env, len(sel.endpoints.servers))
}

// choose selects a server for the request; nil if none has capacity. Only servers that can win are
// scored in full, and none are sorted, as there may be thousands of them.
func (sel *serverSelector) choose(r *request) *server {
	r.tierWeight = 0
	if !r.mayAttempt(sel.env.now) {
		return nil
	}
	for t := range tierCount {
		if s, found := sel.chooseInTier(r, t); found {
			return s
		}
	}
	return nil
}

// chooseInTier selects a server of one tier; found tells whether the tier has any to choose from.
// Those in cooldown come last, unless most of them are: then all are overloaded.
func (sel *serverSelector) chooseInTier(r *request, t tier) (s *server, found bool) {
	cooldownWeight := sel.fillCandidates(r, t)
	if r.tierWeight == 0 || cooldownWeight > r.tierWeight/2 {
		sel.skipDraws(r, true)
	} else if s, found = sel.firstCandidate(r, true); found {
		return s, true
	}
	if r.tierWeight == 0 {
		sel.skipDraws(r, false)
		return nil, false
	}
	s, _ = sel.firstCandidate(r, false)
	return s, true
}

// fillCandidates makes the servers of the tier to which the request may go the candidates, sets
// r.tierWeight to their weight, and returns the weight of those in cooldown.
func (sel *serverSelector) fillCandidates(r *request, t tier) (cooldownWeight float64) {
	servers := sel.endpoints.servers
	if t > healthyTier {
		servers = sel.endpoints.unhealthyServers()
	}
	candidates := sel.candidates[:0]
	r.tierWeight = 0
	for _, s := range servers {
		if !s.ready || sel.outliers.tierOf(s, r) != t {
			continue
		}
		if len(r.attempts) > 0 && !r.mayAttemptAt(s, sel.env, len(sel.endpoints.servers)) {
			continue
		}
		weight := s.weight * sel.slowStart.fraction(s)
		r.tierWeight += weight
		if s.inCooldown(sel.env.now) {
			cooldownWeight += weight
		}
		candidates = append(candidates, s)
	}
	sel.candidates = candidates
	return cooldownWeight
}

// firstCandidate is the first candidate in the request's order that accepts it; found tells whether
// there was any to choose from. A request that waits for the servers of its key has no others.
func (sel *serverSelector) firstCandidate(r *request, skipCooldown bool) (best *server, found bool) {
	if r.waitsForKey(sel.env.now) {
		return sel.firstPreferred(r, skipCooldown)
	}
	for _, s := range sel.candidates {
		if skipCooldown && s.inCooldown(sel.env.now) || !sel.concurrency.serverAllows(s) {
			continue
		}
		found = true
		position := sel.position(r, s)
		weight := sel.orderWeight(s)
		if best != nil && position.minScore(weight) >= best.score || !sel.underLoadCap(s, r) {
			continue
		}
		s.score = position.score(weight)
		if best == nil || s.score < best.score {
			best = s
		}
	}
	return best, found
}

// firstPreferred is the first of the servers that the request's key prefers that accepts it.
func (sel *serverSelector) firstPreferred(r *request, skipCooldown bool) (best *server, found bool) {
	var preferred [preferredServers]*server
	count := 0
	for _, s := range sel.candidates {
		if skipCooldown && s.inCooldown(sel.env.now) {
			continue
		}
		count++
		position := sel.position(r, s)
		weight := sel.orderWeight(s)
		last := preferred[preferredServers-1]
		if last != nil && position.minScore(weight) >= last.score {
			continue
		}
		s.score = position.score(weight)
		insertByScore(&preferred, s)
	}
	if count > preferredServers {
		r.preferred = preferred
		r.preferredEpoch = sel.endpoints.epoch
	}
	for _, s := range preferred {
		if s != nil && (best == nil || s.score < best.score) && sel.accepts(s, r) {
			best = s
		}
	}
	return best, count > 0
}

// insertByScore puts a server among those with the lowest scores, in order, if it belongs there; of
// equal scores the earlier one stays first.
func insertByScore(lowest *[preferredServers]*server, s *server) {
	for i, other := range lowest {
		if other == nil || s.score < other.score {
			lowest[i] = s
			s = other
		}
		if s == nil {
			return
		}
	}
}

// skipDraws passes over the random positions of a choice among no candidates, so that later random
// numbers do not depend on which servers are in cooldown.
func (sel *serverSelector) skipDraws(r *request, skipCooldown bool) {
	if r.key != 0 {
		return
	}
	for _, s := range sel.candidates {
		if !(skipCooldown && s.inCooldown(sel.env.now)) && sel.concurrency.serverAllows(s) {
			sel.env.random.Uint64()
		}
	}
}

// position is the server's position for the request's key, the same for all agents of a zone, or a
// random one if the request has no key.
func (sel *serverSelector) position(r *request, s *server) position {
	if r.key == 0 {
		return newPosition(sel.env.random.Uint64())
	}
	return newPosition(splitmix64(r.partitionKey ^ s.hash))
}

// orderWeight is the server's weight in the order of a request.
func (sel *serverSelector) orderWeight(s *server) float64 {
	return sel.zone.weight(s, s.weight*sel.slowStart.loadShare(s))
}

// preferredAreFull tells whether the request waits for the servers that its key prefers, as they were
// last determined, and none of them accepts it.
func (sel *serverSelector) preferredAreFull(r *request) bool {
	determined := r.preferred[0] != nil && r.preferredEpoch == sel.endpoints.epoch
	if !determined || !r.waitsForKey(sel.env.now) {
		return false
	}
	for _, s := range r.preferred {
		if sel.accepts(s, r) {
			return false
		}
	}
	return true
}

// accepts tells whether the server is under its load cap and has capacity.
func (sel *serverSelector) accepts(s *server, r *request) bool {
	return sel.underLoadCap(s, r) && sel.concurrency.serverAllows(s)
}

// underLoadCap tells whether the server is under its load cap in the tier of the last selection for
// the request.
func (sel *serverSelector) underLoadCap(s *server, r *request) bool {
	share := s.weight * sel.slowStart.fraction(s) / r.tierWeight
	loadCap := math.Ceil(loadCapFactor * float64(sel.concurrency.inFlight+1) * share)
	return float64(sel.concurrency.active(s)) < loadCap
}
