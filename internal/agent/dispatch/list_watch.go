package dispatch

import (
	"context"

	"fernbeam.example/fernbeam/internal/balancer"
)

// listWatch is the watch of the endpoint list. There is at most one, as a second one would return the same changes.
type listWatch struct {
	open bool
	kept bool // the agent opens it again after a failure, rather than the policy
	//nolint:containedctx // a watch outlives the event that opens it
	ctx   context.Context
	stop  context.CancelFunc // nil if there is none
	ended chan struct{}      // closed once the goroutine of the last watch has ended; nil before the first watch
}

// openWatch opens a watch at the request of the policy, unless one is open.
func (l *Loop) openWatch() {
	if !l.list.watch.open {
		l.startWatch(func(ctx context.Context) { l.discovery.Watch(ctx) })
	}
}

// keepWatch opens a watch that the agent maintains itself.
func (l *Loop) keepWatch() {
	l.startWatch(l.discovery.KeepWatch)
	l.list.watch.kept = true
}

// startWatch runs a watch in a new goroutine, once the previous one has ended.
func (l *Loop) startWatch(run func(context.Context)) {
	l.stopWatch()
	previous := l.list.watch.ended
	watch := listWatch{open: true, ended: make(chan struct{})}
	watch.ctx, watch.stop = context.WithCancel(l.ctx)
	l.list.watch = watch
	go func() {
		defer close(watch.ended)
		defer watch.stop()
		if previous != nil {
			<-previous
		}
		run(watch.ctx)
	}()
}

// stopWatch ends the watch, if there is one.
func (l *Loop) stopWatch() {
	if l.list.watch.stop != nil {
		l.list.watch.stop()
	}
	l.list.watch = listWatch{ended: l.list.watch.ended}
}

// ownsWatch reports whether the agent maintains a watch itself rather than at the request of the policy.
func (l *Loop) ownsWatch() bool {
	return l.discovery.KeepsOwnWatch() || l.cfg.Settings.DiscoveryMode == balancer.DiscoveryPushed
}

// followDiscoveryMode hands the watch over if the settings in force have changed who maintains it.
func (l *Loop) followDiscoveryMode() {
	switch owned := l.ownsWatch(); {
	case owned == l.list.watch.kept:
	case owned:
		l.keepWatch()
	default:
		l.stopWatch()
		l.performActions(l.balancer.Start(l.clock.nowMs(), l.actions[:0]))
	}
}
