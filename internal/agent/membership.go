package agent

import (
	"log/slog"

	"fernbeam.example/fernbeam/internal/membership"
)

// joinFleet begins to take part in the fleet view, where the configuration has one. The loop
// gets each view as a posted event; nothing in the loop waits for it.
func startMembership(cfg *Config, f *downstreamServer, l *eventLoop) (*membership.Fleet, error) {
	if cfg.Fleet == nil {
		return nil, nil
	}
	c := *cfg.Fleet
	c.Log = cfg.logger()
	c.OnView = func(v *membership.View) { l.post(func() { l.onMembershipView(v) }) }
	view, err := membership.Start(c)
	if err == nil {
		f.onDrain = view.SetDraining
	}
	return view, err
}

// leaveFleet tells the others that this process ends, beside its last requests; what it gives
// is closed once they are told.
func leaveMembership(view *membership.Fleet) <-chan struct{} {
	left := make(chan struct{})
	go func() {
		defer close(left)
		if view != nil {
			view.Leave()
		}
	}()
	return left
}

// onFleet takes a new view of the fleet. Nothing rests on it yet but the log.
func (l *eventLoop) onMembershipView(v *membership.View) {
	l.membershipView = v
	l.log(slog.LevelInfo, "membership view", "number", v.Number, "present", v.Present, "of", v.Size, "digest", v.Digest)
}
