package agent

import (
	"fernbeam.example/fernbeam/internal/agent/config"
	"fernbeam.example/fernbeam/internal/agent/dispatch"
	"fernbeam.example/fernbeam/internal/membership"
)

// startMembership begins to take part in the membership view, where the configuration has one; nil: it has
// none. The event loop gets each view as a posted function; nothing in the loop waits for it.
func startMembership(cfg *config.Config, loop *dispatch.Loop) (*membership.Membership, error) {
	if cfg.Membership == nil {
		return nil, nil
	}
	own := *cfg.Membership
	own.Log = cfg.Logger()
	own.OnSnapshot = loop.MembershipChanged
	return membership.Start(own)
}

// leaveMembership notifies the other agents that this process ends, beside its last requests. The returned
// channel is closed once they are notified.
func leaveMembership(member *membership.Membership) <-chan struct{} {
	left := make(chan struct{})
	go func() {
		defer close(left)
		if member != nil {
			member.Leave()
		}
	}()
	return left
}
