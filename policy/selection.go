package policy

import "math"

const (
	// loadCapFactor is the load cap of a server, as a multiple of its even share of the agent's attempts
	// in flight. If a server is at its load cap, a request with a key moves on to the next server in the
	// key's order.
	loadCapFactor = 3.0
	// keyWaitFraction is the part of its latency objective for which a request waits for one of the
	// preferred servers of its key. Moving on at once would use a server that may not have the key in its
	// cache, which costs more work just when the servers have no capacity to spare.
	keyWaitFraction = 0.25
	// preferredServers is the number of preferred servers of a key, the first in the key's order.
	preferredServers = 2
)

// candidateSet specifies which candidates a selection considers.
type candidateSet uint8

// The values of candidateSet.
const (
	notInCooldown candidateSet = iota // candidates in cooldown are skipped
	allCandidates
)

// includes reports whether the set contains the candidate.
func (c candidateSet) includes(s *server, now float64) bool {
	return c == allCandidates || !s.inCooldown(now)
}

// choice is the result of a selection from a set of candidates.
type choice struct {
	server *server // nil: no candidate accepts the request
	// hasCandidates reports whether there were candidates, even if none accepts the request.
	hasCandidates bool
}

// serverSelector selects the server of an attempt. It takes the best health tier that has candidates.
// From these it selects the first server, in the order of weighted rendezvous hashing, that is under its
// load cap and has capacity.
type serverSelector struct {
	env         *environment
	endpoints   *endpointList
	slowStart   *slowStart
	concurrency *concurrencyLimits
	outliers    *outlierDetector
	zone        *zonePreference
	candidates  []*server // candidates of the tier being considered; reused between selections
}

// mayForward reports whether the selected server is ready and the request may be attempted there. It is
// the final check before an attempt starts; concurrencyLimits.serverAllows checks the server's load.
func (sel *serverSelector) mayForward(r *request, s *server) bool {
	return s.ready && r.mayAttempt(sel.env.now) && r.mayAttemptAt(s, sel.env, len(sel.endpoints.servers))
}

// choose selects a server for the request, or returns nil if none has capacity. Because there may be
// thousands of servers, it does not sort them, and it computes the full score only of those that may come
// first.
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

// chooseInTier selects a server of one tier. Servers in cooldown come last unless they have more than
// half of the tier's weight: then the whole tier is overloaded, and cooldowns are ignored.
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
	// No worse tier is tried, even if no server of this one accepts the request.
	return choice{server: c.server, hasCandidates: true}
}

// fillCandidates sets sel.candidates to the ready servers of the tier at which the request may be
// attempted and r.tierWeight to their total weight. It returns the weight of those in cooldown.
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

// firstCandidate returns the first candidate of the set, in the request's order, that accepts the request.
// While a request waits for its preferred servers, only those are considered.
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

// firstPreferred determines the preferred servers of the request's key among the candidates of the set and
// returns the first of them that accepts the request.
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

// insertByScore inserts a server into the list of those with the lowest scores, in ascending order, if its
// score is low enough. Of servers with equal scores the one inserted earlier stays first.
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

// discardDraws draws and discards the random positions of a selection that is skipped, so that later
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

// position returns the server's position for the request's partition key, which does not depend on the
// agent, or a random position if the request has no key.
func (sel *serverSelector) position(r *request, s *server) position {
	if r.key == 0 {
		return newPosition(sel.env.random.Uint64())
	}
	return newPosition(splitmix64(r.partitionKey ^ s.hash))
}

// orderWeight returns the server's weight in the order of a request.
func (sel *serverSelector) orderWeight(s *server) float64 {
	return sel.zone.weight(s, s.weight*sel.slowStart.loadShare(s))
}

// preferredAreFull reports whether the request waits for its preferred servers and none of them accepts
// it. It is false if they are not determined for the current endpoint list.
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

// accepts reports whether the server is under its load cap and has capacity.
func (sel *serverSelector) accepts(s *server, r *request) bool {
	return sel.underLoadCap(s, r) && sel.concurrency.serverAllows(s)
}

// underLoadCap reports whether the server is under its load cap, which depends on its share of the
// weight of the tier last considered for the request.
func (sel *serverSelector) underLoadCap(s *server, r *request) bool {
	share := s.weight * sel.slowStart.fraction(s) / r.tierWeight
	loadCap := math.Ceil(loadCapFactor * float64(sel.concurrency.inFlight+1) * share)
	return float64(sel.concurrency.active(s)) < loadCap
}
