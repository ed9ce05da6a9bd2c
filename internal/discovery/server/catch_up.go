package server

import (
	"context"
	"time"
)

const (
	// catchUpTimeout bounds how long an instance waits, after a store outage, to apply what the leader had
	// committed. If it has not applied that in time, it requests the leader's progress again.
	catchUpTimeout = 10 * time.Second
	// catchUpInterval is the time between two checks of the applied index.
	catchUpInterval = 50 * time.Millisecond
	// readWaitInterval is the time between two checks by a read that waits for the catch-up.
	readWaitInterval = catchUpInterval / 10
)

// catchUp waits after a store outage until this instance has applied everything that the leader has
// committed. From then on, the list no longer counts as stale because of the outage. A heartbeat from
// the leader is not enough, because it arrives before the missed entries. outages is the number of
// outages so far; see storeHealth.markCaughtUp.
func (n *Node) catchUp(outages int) {
	for !n.appliedAllCommitted() {
		select {
		case <-time.After(catchUpInterval):
		case <-n.closed:
			return
		}
	}
	n.store.health.markCaughtUp(outages)
}

// appliedAllCommitted requests the leader's progress and reports whether this instance reaches it
// within catchUpTimeout.
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
	return n.awaitCondition(context.Background(), catchUpTimeout, catchUpInterval, hasApplied)
}

// awaitCondition checks a condition immediately and then at an interval. It reports whether the
// condition was met before the timeout, before ctx was done and before the instance was closed. It is
// for conditions whose change causes no event: hashicorp/raft does not signal changes of the applied
// index, and a hanging write counts as an outage only because of its duration.
func (n *Node) awaitCondition(ctx context.Context, timeout, interval time.Duration, met func() bool) bool {
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
