package agent

import (
	"math"

	"fernbeam.example/fernbeam/internal/agent/dispatch"
	"fernbeam.example/fernbeam/internal/membership"
)

// Status is a snapshot of what an agent knows and has counted.
type Status struct {
	// Membership is the membership view; nil: there is none.
	Membership *membership.Status
	dispatch.LoopStatus
}

// Status returns the agent's status; it never waits for the agent's work.
func (a *Agent) Status() Status {
	status := Status{LoopStatus: a.loop.Status()}
	if member := a.membership.Load(); member != nil {
		view := member.Status(math.MaxUint64)
		status.Membership = &view
	}
	return status
}
