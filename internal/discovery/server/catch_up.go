package server

import (
	"context"
	"time"
)

const (
	// catchUpTimeout is how long an instance may take after an outage of its store to apply what
	// the leader had committed, before it requests the leader's progress again.
	catchUpTimeout = 10 * time.Second
	// catchUpInterval is the time between two checks of what is applied.
	catchUpInterval = 50 * time.Millisecond
	// readWaitInterval is the time between two checks of a read that waits for the catch-up.
	readWaitInterval = catchUpInterval / 10
)

// catchUp waits, after the numbered outage of the store, until this instance has applied all that
// the leader has committed; from then on the list no longer counts as stale because of the outage.
// A heartbeat of the leader does not suffice, as it arrives before the entries that were missed.
func (n *Node) catchUp(outages int) {
	for !n.appliedAllCommitted() {
		select {
		case <-time.After(catchUpInterval):
		case <-n.closed:
			return
		}
	}
	n.store.health.caughtUp(outages)
}

// appliedAllCommitted requests the leader's progress, and reports whether this instance has applied
// as much within catchUpTimeout.
func (n *Node) appliedAllCommitted() bool {
	ctx, cancel := context.WithTimeout(context.Background(), readIndexTimeout)
	defer cancel()
	committed, err := n.committedProgress(ctx)
	if err != nil {
		return false
	}
	hasApplied := func() bool {
		return n.raft.AppliedIndex() >= committed.applied && n.state.currentVersion() >= committed.version
	}
	return n.poll(context.Background(), catchUpTimeout, catchUpInterval, hasApplied)
}

// awaitCaughtUp gives an instance whose store works up to readIndexTimeout to catch up, as after a
// start, and reports whether it has. It ends early with ctx.
func (n *Node) awaitCaughtUp(ctx context.Context) bool {
	caughtUp := func() bool { return n.store.behindSince().IsZero() }
	caughtUpOrOutage := func() bool { return caughtUp() || n.store.available() != nil }
	return n.poll(ctx, readIndexTimeout, readWaitInterval, caughtUpOrOutage) && caughtUp()
}

// poll checks a condition at once and then at an interval, and reports whether it was met before the
// timeout, the end of ctx and the close of the instance. It serves where what is waited for has no
// event: hashicorp/raft signals no applied index, and a hanging write counts as an outage by its age.
func (n *Node) poll(ctx context.Context, timeout, interval time.Duration, met func() bool) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for !met() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		case <-n.closed:
			return false
		}
	}
	return true
}
