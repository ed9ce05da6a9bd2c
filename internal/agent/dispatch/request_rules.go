package dispatch

import (
	"errors"
	"time"

	"fernbeam.example/fernbeam/internal/balancer"
)

// Violations of the rules of a request by an action of the policy.
var (
	errRequestFinished   = errors.New("attempt for a finished request")
	errServerNotListed   = errors.New("attempt to a server that is not listed")
	errServerUnavailable = errors.New("attempt to a draining or removed server")
	errAttemptInFlight   = errors.New("second attempt while one is in flight")
	errTooManyAttempts   = errors.New("more attempts than allowed")
	errBodyConsumed      = errors.New("retry of a body that was not buffered")
	errMayHaveExecuted   = errors.New("retry of a non-idempotent request that may have executed")
	errNoTimeLeft        = errors.New("attempt without time left")
	errUnsafeRejection   = errors.New("rejection after an attempt that may have executed")
)

// checkRules returns an error that names the rule that an attempt would violate, or nil if the attempt is allowed. It
// also checks rules that the policy itself should respect.
func checkRules(r *request, server *listedServer, now, deadline time.Time) error {
	rules := r.incoming.Rules
	switch {
	case r.closed:
		return errRequestFinished
	case server == nil || server.addr == "":
		return errServerNotListed
	case !server.IsAvailable():
		return errServerUnavailable
	case r.inFlight > 0:
		return errAttemptInFlight
	case len(r.attempts) > rules.MaxAttempts:
		return errTooManyAttempts
	case r.incoming.Streamed.IsConsumed():
		return errBodyConsumed
	case r.mayHaveExecuted > 0 && rules.Idempotency == balancer.NonIdempotent:
		return errMayHaveExecuted
	case !deadline.After(now):
		return errNoTimeLeft
	}
	return nil
}

// safeToRetryAnywhere reports whether a request with the given rules may be retried through any agent even if the
// request has already executed.
func safeToRetryAnywhere(rules *balancer.RequestRules) bool {
	switch rules.Idempotency {
	case balancer.NonIdempotent:
		return false
	case balancer.IdempotentByKey:
		return rules.DedupScope == balancer.DedupFleet
	case balancer.Idempotent:
		return true
	}
	return true
}
