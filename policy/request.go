package policy

import (
	"slices"

	"fernbeam.example/fernbeam/internal/balancer"
)

// maxRoundTripFraction is the maximum fraction of a client's remaining time that is reserved for the round
// trip to the client.
const maxRoundTripFraction = 0.25

// request is a request of the client, from its arrival until it is closed and none of its attempts is in
// flight. Times are in milliseconds on the host's clock.
type request struct {
	id             balancer.RequestID
	class          *class
	maxAttempts    int     // including the first
	streamedBody   bool    // the body is streamed to the server as it arrives
	key            uint64  // affinity key; 0: none
	partitionKey   uint64  // the key, or that of one of its partitions
	firstArrivedAt float64 // when the client first sent the request, as far as known
	arrivedAt      float64
	objectiveAt    float64 // latest response time that meets the latency objective
	deadline       float64 // latest useful response time, with a round trip to the client deducted

	attempts      []*attempt // in the order of their starts
	inFlight      int        // attempts that have not ended
	maybeExecuted int        // attempts that may have executed
	executedAt    float64    // when the first attempt that may have executed was forwarded
	executedOn    *server    // the server of that attempt

	preferred       [preferredServers]*server // preferred servers of the key; nil: not determined
	preferredEpoch  uint64                    // epoch of the endpoint list when they were determined
	tierWeight      float64                   // total weight of the tier last considered in a selection
	priority        float64                   // in the queue; the highest comes first
	closed          bool                      // it has its final response, or its client is gone
	responseStarted bool                      // a streamed response to the client has started
}

// attempt is one attempt of a request at a server.
type attempt struct {
	request   *request
	server    *server
	index     int     // among the attempts of its request
	startedAt float64 // in milliseconds; with a streamed body, when all of it was sent
	// fullySent is set when all of the request has been sent; from then on the attempt counts as in flight.
	fullySent bool
	// soleAtServer is true if no other attempt of this agent was in flight at the server at the start.
	soleAtServer bool
	ended        bool
}

// setDeadlines sets the time by which a response meets the latency objective, measured from start, and the
// deadline of any response, given the remaining time of the client.
func (r *request) setDeadlines(env *environment, remainingMs, start float64) {
	r.deadline = env.now + remainingMs - min(env.settings.RoundTripMs, remainingMs*maxRoundTripFraction)
	r.objectiveAt = min(start+r.class.LatencyObjectiveMs, r.deadline)
	if r.class.LateFraction == 0 {
		r.deadline = r.objectiveAt // a late response has no value, so work on it would be wasted
	}
}

// isAtServer reports whether an attempt is in flight that a server has received completely. A server does
// not delay a request whose body the client is still sending.
func (r *request) isAtServer() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.fullySent && !a.ended })
}

// addAttempt adds and returns an attempt at the server that starts now.
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

// mayAttempt reports whether the state of the request permits another attempt, regardless of the server.
func (r *request) mayAttempt(now float64) bool {
	return !r.closed && !r.responseStarted && r.inFlight == 0 && now < r.deadline &&
		len(r.attempts) < r.maxAttempts
}

// mayAttemptAt reports whether the previous attempts of the request permit another one at the server, one
// of serverCount in the endpoint list. A server that the request has already used is not permitted while
// there are unused ones. If the request may have executed already, a second execution must be harmless.
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

// sharesDeduplication reports whether the server is in the deduplication scope of the first attempt that
// may have executed.
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

// harmlessToRepeat reports whether a retry by the client is harmless: the request has not executed, is
// idempotent, or its duplicates are dropped by all servers and the deduplication window is still open.
func (r *request) harmlessToRepeat(now float64) bool {
	if r.maybeExecuted == 0 || r.class.Idempotency == balancer.Idempotent {
		return true
	}
	return r.class.Idempotency == balancer.IdempotentByKey && r.class.DedupScope == balancer.DedupFleet &&
		now-r.executedAt < r.class.DedupWindowMs
}

// waitsForKey reports whether the request still waits for the preferred servers of its key.
func (r *request) waitsForKey(now float64) bool {
	return r.key != 0 && len(r.attempts) == 0 &&
		now-r.arrivedAt < keyWaitFraction*(r.objectiveAt-r.arrivedAt)
}
