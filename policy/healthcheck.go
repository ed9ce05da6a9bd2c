package policy

import (
	"fernbeam.example/fernbeam/internal/balancer"
)

const (
	// maxHealthChecks bounds the health checks under way and the tokens for more of them.
	maxHealthChecks = 2
	// checkTokensPerRequest is what each request adds to the budget, in health checks.
	checkTokensPerRequest = 0.1
)

// healthChecker checks ejected servers in the background once their ejection time has passed. Its
// budget limits the checks to a part of the requests.
type healthChecker struct {
	env       *environment
	endpoints *endpointList
	outliers  *outlierDetector
	poller    *listPoller
	slowStart *slowStart
	underWay  int          // health checks that have not ended
	budget    *tokenBucket // each request adds to it
}

// newCheckBudget returns the full budget of health checks.
func newCheckBudget() *tokenBucket { return newTokenBucket(checkTokensPerRequest, maxHealthChecks) }

// recordRequest adds the tokens of one request to the budget.
func (h *healthChecker) recordRequest() { h.budget.deposit() }

// start moves the servers whose ejection time has passed to UnhealthyPending, and starts the health
// checks that the limits permit.
func (h *healthChecker) start() {
	for _, s := range h.endpoints.unhealthyServers() {
		if h.outliers.ejectionEnded(s) {
			h.endpoints.setHealth(s, balancer.UnhealthyPending)
			h.poller.fetch()
		}
		if h.mayCheck(s) {
			s.checking = true
			h.underWay++
			h.budget.withdraw()
			h.env.emit(balancer.Action{Kind: balancer.ActionHealthCheck, Server: s.address})
		}
	}
}

// mayCheck reports whether a health check of the server is due and permitted.
func (h *healthChecker) mayCheck(s *server) bool {
	return s.health == balancer.UnhealthyPending && s.ready && !s.checking &&
		h.env.settings.Limits.HealthChecks && h.budget.hasToken() && h.underWay < maxHealthChecks
}

// finish takes the result of a health check.
func (h *healthChecker) finish(ev *balancer.Event) {
	s := h.endpoints.byAddress[ev.Server]
	if s == nil || !s.checking {
		return
	}
	s.checking = false
	h.underWay--
	if s.health != balancer.UnhealthyPending {
		return
	}
	switch ev.Status {
	case balancer.StatusOK:
		h.slowStart.recordReachable(s)
		h.endpoints.setHealth(s, balancer.Connected)
	case balancer.StatusOverloaded: // it serves, but not now: it stays as it is
	case balancer.StatusError, balancer.StatusReset:
		h.outliers.eject(s, failedAttempt)
	default:
		h.outliers.eject(s, noResponse)
	}
}
