package agent

import (
	"fernbeam.example/fernbeam/internal/agent/config"
	"fernbeam.example/fernbeam/internal/agent/dispatch"
	"fernbeam.example/fernbeam/internal/membership"
)

// startMembership joins the membership; it returns nil if none is configured. Each snapshot is posted to the event
// loop, which never waits for one.
func startMembership(cfg *config.Config, loop *dispatch.Loop) (*membership.Membership, error) {
	if cfg.Membership == nil {
		return nil, nil
	}
	settings := *cfg.Membership
	settings.Log = cfg.Logger()
	settings.OnSnapshot = loop.MembershipChanged
	return membership.Start(settings)
}

// leaveMembership notifies the other agents that this process is ending. It doesn't block: the returned channel is
// closed once they are notified.
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
