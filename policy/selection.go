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

// candidateSet says which candidates a choice considers.
type candidateSet uint8

// The values of candidateSet.
const (
	notInCooldown candidateSet = iota // candidates in cooldown are passed over
	allCandidates
)

// includes tells whether the choice considers the candidate.
func (c candidateSet) includes(s *server, now float64) bool {
	return c == allCandidates || !s.inCooldown(now)
}

// choice is the result of a selection among some servers.
type choice struct {
	server *server // nil: none accepts the request
	// hasCandidates tells that there were servers to choose from, though none may accept the request.
	hasCandidates bool
}

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

// mayForward checks once more, just before an attempt begins, that the selected server is ready and that the
// request may be attempted there. The limits of its load are in concurrencyLimits.serverAllows.
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
		if c := sel.chooseInTier(r, t); c.hasCandidates {
			return c.server
		}
	}
	return nil
}

// chooseInTier selects a server of one tier. Those in cooldown come last, unless most of them are: then
// all are overloaded.
func (sel *serverSelector) chooseInTier(r *request, t tier) choice {
	cooldownWeight := sel.fillCandidates(r, t)
	if r.tierWeight == 0 {
		sel.discardDraws(r, notInCooldown)
		sel.discardDraws(r, allCandidates)
		return choice{}
	}
	if cooldownWeight > r.tierWeight/2 {
		sel.discardDraws(r, notInCooldown)
	} else if c := sel.firstCandidate(r, notInCooldown); c.hasCandidates {
		return c
	}
	c := sel.firstCandidate(r, allCandidates)
	return choice{server: c.server, hasCandidates: true} // no worse tier is tried, even if none accepts the request
}

// fillCandidates makes the ready servers of the tier at which the request may be attempted the candidates, sets
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

// firstCandidate is the first candidate of the set in the request's order that accepts it. A request that
// waits for the servers of its key has no others.
func (sel *serverSelector) firstCandidate(r *request, set candidateSet) choice {
	if r.waitsForKey(sel.env.now) {
		return sel.firstPreferred(r, set)
	}
	var best *server
	hasCandidates := false
	for _, s := range sel.candidates {
		if !set.includes(s, sel.env.now) || !sel.concurrency.serverAllows(s) {
			continue
		}
		hasCandidates = true
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
	return choice{server: best, hasCandidates: hasCandidates}
}

// firstPreferred determines the candidates of the set that the request's key prefers, and is the first of
// them that accepts it.
func (sel *serverSelector) firstPreferred(r *request, set candidateSet) choice {
	var preferred [preferredServers]*server
	count := 0
	for _, s := range sel.candidates {
		if !set.includes(s, sel.env.now) {
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
	var best *server
	for _, s := range preferred {
		if s != nil && (best == nil || s.score < best.score) && sel.accepts(s, r) {
			best = s
		}
	}
	return choice{server: best, hasCandidates: count > 0}
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

// discardDraws draws the random positions of a choice that is not made, and discards them, so that later
// random numbers do not depend on which servers are in cooldown.
func (sel *serverSelector) discardDraws(r *request, set candidateSet) {
	if r.key != 0 {
		return
	}
	for _, s := range sel.candidates {
		if set.includes(s, sel.env.now) && sel.concurrency.serverAllows(s) {
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
