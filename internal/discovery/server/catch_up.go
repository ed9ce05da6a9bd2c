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
	for !n.isClosed() {
		if n.appliedAllCommitted() {
			n.store.health.caughtUp(outages)
			return
		}
		time.Sleep(catchUpInterval)
	}
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
	deadline := time.Now().Add(catchUpTimeout)
	for time.Now().Before(deadline) && !n.isClosed() {
		if n.raft.AppliedIndex() >= committed.applied && n.state.currentVersion() >= committed.version {
			return true
		}
		time.Sleep(catchUpInterval)
	}
	return false
}

// awaitCaughtUp gives an instance whose store works up to readIndexTimeout to catch up, as after a
// start, and reports whether it has.
func (n *Node) awaitCaughtUp() bool {
	deadline := time.Now().Add(readIndexTimeout)
	for n.store.available() == nil && !n.isClosed() {
		if n.store.behindSince().IsZero() {
			return true
		}
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(readWaitInterval)
	}
	return false
}

// isClosed reports whether Close was called.
func (n *Node) isClosed() bool {
	select {
	case <-n.closed:
		return true
	default:
		return false
	}
}
