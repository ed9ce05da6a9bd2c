package policy

import (
	"fernbeam.example/fernbeam/internal/balancer"
)

const (
	// maxHealthChecks is the maximum number of health checks in flight and the capacity of their budget.
	maxHealthChecks = 2
	// checkTokensPerRequest is the number of health checks that each request adds to their budget.
	checkTokensPerRequest = 0.1
)

// healthChecker checks ejected servers in the background once their ejection time has passed. Its budget
// limits the number of checks to a fraction of the number of requests.
type healthChecker struct {
	env       *environment
	endpoints *endpointList
	outliers  *outlierDetector
	poller    *listPoller
	slowStart *slowStart
	inFlight  int          // health checks in flight
	budget    *tokenBucket // each request adds to it
}

// newCheckBudget returns a full budget of health checks.
func newCheckBudget() *tokenBucket { return newTokenBucket(checkTokensPerRequest, maxHealthChecks) }

// recordRequest adds one request to the budget.
func (h *healthChecker) recordRequest() { h.budget.deposit() }

// start changes the state of servers whose ejection time has passed to UnhealthyPending, and starts the
// health checks that are due and permitted.
func (h *healthChecker) start() {
	for _, s := range h.endpoints.unhealthyServers() {
		if h.outliers.ejectionEnded(s) {
			h.endpoints.setHealth(s, balancer.UnhealthyPending)
			h.poller.fetch()
		}
		if h.mayCheck(s) {
			s.checking = true
			h.inFlight++
			h.budget.withdraw()
			h.env.emit(balancer.Action{Kind: balancer.ActionHealthCheck, Server: s.address})
		}
	}
}

// mayCheck reports whether a health check of the server is due and permitted.
func (h *healthChecker) mayCheck(s *server) bool {
	return s.health == balancer.UnhealthyPending && s.ready && !s.checking &&
		h.env.settings.Limits.HealthChecks && h.budget.hasToken() && h.inFlight < maxHealthChecks
}

// finish processes the result of a health check.
func (h *healthChecker) finish(ev *balancer.Event) {
	s := h.endpoints.byAddress[ev.Server]
	if s == nil || !s.checking {
		return
	}
	s.checking = false
	h.inFlight--
	if s.health != balancer.UnhealthyPending {
		return
	}
	switch ev.Status {
	case balancer.StatusOK:
		h.slowStart.recordReachable(s)
		h.endpoints.setHealth(s, balancer.Connected)
	case balancer.StatusOverloaded: // reachable but without capacity: its state stays
	case balancer.StatusError, balancer.StatusReset:
		h.outliers.eject(s, failedAttempt)
	default:
		h.outliers.eject(s, noResponse)
	}
}
