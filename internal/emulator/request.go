package emulator

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"fernbeam.example/fernbeam/internal/balancer"
)

// liveRequest is a request to an agent, with the properties that the servers need to serve it and its record.
type liveRequest struct {
	class          *Class
	agent          string
	key            uint64
	work           time.Duration // on a standard core
	dependencyWait time.Duration
	idempotencyKey string // empty if the class has none

	mu     sync.Mutex // guards record while the request is open
	record *Request
}

// findRequest returns the request with the given ID, or nil.
func (e *Emulator) findRequest(id string) *liveRequest {
	request, ok := e.requests.Load(id)
	if !ok {
		return nil
	}
	return request.(*liveRequest)
}

// pathKey returns the request's affinity key as written in the URL path.
func (r *liveRequest) pathKey() string { return fmt.Sprintf("%016x", r.key) }

// method returns the request's HTTP method.
func (r *liveRequest) method() string {
	if r.class.Idempotency == balancer.Idempotent {
		return http.MethodGet
	}
	return http.MethodPost
}

// remaining returns the time left until the request timeout.
func (r *liveRequest) remaining(now time.Duration) time.Duration {
	return r.record.Sent + r.record.Timeout - now
}

// addAttempt records the arrival of an attempt at a server and returns the attempt's index.
func (r *liveRequest) addAttempt(a Attempt) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.Attempts = append(r.record.Attempts, a)
	return len(r.record.Attempts) - 1
}

// endAttempt records the end of an attempt.
func (r *liveRequest) endAttempt(index int, outcome Outcome, at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	attempt := &r.record.Attempts[index]
	attempt.Outcome = outcome
	attempt.Ended = at
}

// hasAttempts reports whether any server has received the request.
func (r *liveRequest) hasAttempts() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.record.Attempts) > 0
}

// end records how the request ended for the client.
func (r *liveRequest) end(outcome Outcome, at time.Duration, agentStopped bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.Ended = at
	r.record.Outcome = outcome
	if agentStopped {
		r.record.AgentStopped = true
	}
}

// markAgentStopped records that the experiment stopped the agent's process while the request was open.
func (r *liveRequest) markAgentStopped() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.AgentStopped = true
}
