package policy

import (
	"fernbeam.example/fernbeam/internal/balancer"
)

// maxRoundTripFraction is the most of a client's remaining time that is set aside for the round trip to
// the client.
const maxRoundTripFraction = 0.25

// request is one request of the client, from its arrival until it is answered and none of its
// attempts is in flight. Times are in milliseconds on the host's clock.
type request struct {
	id             balancer.RequestID
	class          *class
	maxAttempts    int     // the first included
	streamedBody   bool    // its body goes to the server as it comes
	key            uint64  // affinity key; 0: none
	partitionKey   uint64  // the key, or one of its partitions
	firstArrivedAt float64 // when the client first sent it, as far as known
	arrivedAt      float64
	objectiveAt    float64 // a response by then meets the latency objective
	deadline       float64 // the last useful moment, a round trip to the client already deducted

	attempts      []*attempt // in the order of their starts
	inFlight      int        // attempts that have not ended
	maybeExecuted int        // attempts that may have executed
	executedAt    float64    // when the first attempt that may have executed was forwarded
	executedOn    *server    // the server of that attempt

	preferred       [preferredServers]*server // the first in its key's order; nil: not determined
	preferredEpoch  uint64                    // the endpoint list's epoch for which they are
	tierWeight      float64                   // weight of the tier in which a server was last selected
	priority        float64                   // its place in the queue; the highest comes first
	closed          bool                      // it has its final answer, or its client has left
	responseStarted bool                      // the client has begun to receive a streamed response
}

// attempt is one forwarding of a request to a server.
type attempt struct {
	request   *request
	server    *server
	index     int     // among the attempts of its request
	startedAt float64 // in milliseconds; of a streamed body: when the server had all of it
	// fullySent tells that its server has all of the request; from then on it counts as in flight.
	fullySent bool
	// soleAtServer tells that at its start no other attempt of this agent was in flight at its server.
	soleAtServer bool
	ended        bool
}

// setDeadlines sets the time until which a response meets the latency objective, which counts from
// start, and the deadline for any response, with remainingMs left to the client.
func (r *request) setDeadlines(env *environment, remainingMs, start float64) {
	r.deadline = env.now + remainingMs - min(env.settings.RoundTripMs, remainingMs*maxRoundTripFraction)
	r.objectiveAt = min(start+r.class.LatencyObjectiveMs, r.deadline)
	if r.class.LateFraction == 0 {
		r.deadline = r.objectiveAt // a late response earns nothing, so work for it would be wasted
	}
}

// addAttempt adds an attempt at the server that starts now.
func (r *request) addAttempt(s *server, now float64) *attempt {
	a := &attempt{
		request:      r,
		server:       s,
		index:        len(r.attempts),
		startedAt:    now,
		soleAtServer: len(s.inFlight) == 0,
	}
	r.attempts = append(r.attempts, a)
	r.inFlight++
	if r.maybeExecuted == 0 {
		r.executedAt = now
		r.executedOn = s
	}
	r.maybeExecuted++
	return a
}

// mayAttempt reports whether the request's own state permits another attempt at some server.
func (r *request) mayAttempt(now float64) bool {
	return !r.closed && !r.responseStarted && r.inFlight == 0 && now < r.deadline &&
		len(r.attempts) < r.maxAttempts
}

// mayAttemptAt reports whether the attempts so far permit another one at the server, of serverCount in
// the endpoint list: at a server that was not used yet if there is any, and after one that may have
// executed only where its execution twice is harmless.
func (r *request) mayAttemptAt(s *server, env *environment, serverCount int) bool {
	for _, a := range r.attempts {
		if a.server == s && serverCount > len(r.attempts) {
			return false
		}
	}
	if r.maybeExecuted == 0 || r.class.Idempotency == balancer.Idempotent {
		return true
	}
	return r.class.Idempotency == balancer.IdempotentByKey &&
		env.now-r.executedAt <= r.class.DedupWindowMs-2*env.settings.RoundTripMs &&
		r.sharesDeduplication(s)
}

// sharesDeduplication reports whether the server drops a duplicate of what may have executed already.
func (r *request) sharesDeduplication(s *server) bool {
	switch r.class.DedupScope {
	case balancer.DedupFleet:
		return true
	case balancer.DedupZone:
		return s.zone == r.executedOn.zone
	case balancer.DedupCell:
		return s.cell == r.executedOn.cell
	}
	return false
}

// harmlessToRepeat reports whether a retry of the client cannot execute the request twice. Past the
// deduplication window a duplicate would be executed.
func (r *request) harmlessToRepeat(now float64) bool {
	if r.maybeExecuted == 0 || r.class.Idempotency == balancer.Idempotent {
		return true
	}
	return r.class.Idempotency == balancer.IdempotentByKey && r.class.DedupScope == balancer.DedupFleet &&
		now-r.executedAt < r.class.DedupWindowMs
}

// waitsForKey reports whether the request still waits for the servers that its key prefers.
func (r *request) waitsForKey(now float64) bool {
	return r.key != 0 && len(r.attempts) == 0 &&
		now-r.arrivedAt < keyWaitFraction*(r.objectiveAt-r.arrivedAt)
}
