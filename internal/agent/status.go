package agent

import (
	"math"

	"fernbeam.example/fernbeam/internal/agent/dispatch"
	"fernbeam.example/fernbeam/internal/membership"
)

// Status is a snapshot of the state and the counters of an agent.
type Status struct {
	// Membership is the membership view; nil if the agent has no membership.
	Membership *membership.Status
	dispatch.LoopStatus
}

// Status returns the agent's status. It doesn't wait for the event loop.
func (a *Agent) Status() Status {
	status := Status{LoopStatus: a.loop.Status()}
	if member := a.membership.Load(); member != nil {
		view := member.Status(math.MaxUint64)
		status.Membership = &view
	}
	return status
}
