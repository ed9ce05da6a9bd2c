package server

import (
	"context"
	"sync"
	"time"

	"fernbeam.example/fernbeam/internal/endpoint"
)

const (
	// confirmationsPerMaxStale is the number of confirmations within MaxStale, so that some may fail before
	// the list counts as stale.
	confirmationsPerMaxStale = 4
	// applyWaitsPerMaxStale is the ratio of MaxStale to the time that a confirmation waits until this
	// instance has applied what the leader had committed.
	applyWaitsPerMaxStale = 2
)

// confirmations records when the list was last confirmed to have everything that the leader had
// committed. The zero value has no confirmation. It is safe for concurrent use.
type confirmations struct {
	mu        sync.Mutex
	confirmed time.Time // start of the last successful confirmation, with a monotonic clock reading
	failed    time.Time // start of the last failed one
}

// record records the result of a confirmation that started at a time. The leader's answer is at least as
// new as the start.
func (c *confirmations) record(startedAt time.Time, confirmed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if confirmed {
		c.confirmed = startedAt
	} else {
		c.failed = startedAt
	}
}

// freshAt returns a time as of which the list was complete, or the zero time if there is none.
func (c *confirmations) freshAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.confirmed
}

// failedSince reports whether a confirmation that started after a time has failed.
func (c *confirmations) failedSince(at time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failed.After(at)
}

// renewFreshness confirms the list at regular intervals, and when requestConfirmation is called, until the
// instance is closed. A confirmation is a read index (Ongaro, 2014, section 6.4): the leader, after a round
// of heartbeats that shows that it still is the leader, tells what it has applied, and this instance
// applies as much. The contact with a leader is no confirmation: heartbeats carry no entries, after a
// partition they arrive long before the missed entries, and after a stop of this process messages that
// were sent before it are still received.
func (n *Node) renewFreshness() {
	interval := time.NewTicker(n.cfg.MaxStale / confirmationsPerMaxStale)
	defer interval.Stop()
	for {
		startedAt := time.Now()
		n.confirmations.record(startedAt, n.confirmList())
		select {
		case <-interval.C:
		case <-n.confirmationRequests:
		case <-n.closed:
			return
		}
	}
}

// requestConfirmation makes renewFreshness confirm the list now.
func (n *Node) requestConfirmation() {
	select {
	case n.confirmationRequests <- struct{}{}:
	default: // one is requested already
	}
}

// confirmList reports whether this instance has applied everything that the leader had committed when the
// call began.
func (n *Node) confirmList() bool {
	ctx, cancel := context.WithTimeout(context.Background(), readIndexTimeout)
	defer cancel()
	committed, err := n.verifiedProgress(ctx)
	if err != nil {
		return false
	}
	hasApplied := func() bool {
		return n.raft.AppliedIndex() >= committed.applied && n.state.currentVersion() >= committed.version
	}
	wait := n.cfg.MaxStale / applyWaitsPerMaxStale
	return n.awaitCondition(context.Background(), wait, readWaitInterval, hasApplied)
}

// verifiedProgress returns the leader's progress after a round of heartbeats that shows that it still is
// the leader. Unlike committedProgress, it adds an entry to the Raft log only once in a leader's term.
func (n *Node) verifiedProgress(ctx context.Context) (progress, error) {
	if n.isLeader() {
		if err := n.verifyLeader(); err != nil {
			return progress{}, err
		}
		return progress{version: n.state.currentVersion(), applied: n.raft.AppliedIndex()}, nil
	}
	leader, err := n.leaderStatus(ctx, endpoint.QueryVerified)
	if err != nil {
		return progress{}, err
	}
	return progress{version: leader.Version, applied: leader.Applied}, nil
}

// verifyLeader returns nil if this instance is the leader, as a round of heartbeats shows, and has applied
// everything that was committed when the call began. A new leader has the entries that its predecessors
// committed, but knows that they are committed only once an entry of its own term is (Ongaro, 2014, section
// 6.4, step 1).
func (n *Node) verifyLeader() error {
	if err := n.raft.VerifyLeader().Error(); err != nil {
		return err
	}
	term := n.raft.CurrentTerm()
	if n.appliedTerm.Load() == term {
		return nil
	}
	if err := n.raft.Barrier(readIndexTimeout).Error(); err != nil {
		return err
	}
	// The term may have ended meanwhile. The barrier was then applied in a later one, and is repeated in that.
	n.appliedTerm.Store(term)
	return nil
}

// awaitFresh requests a confirmation and waits up to readIndexTimeout until this instance may serve reads,
// for example after a start or after its process was stopped. It reports whether the instance may. It
// returns early if that confirmation fails, unless this instance has yet to catch up after a start or an
// outage of the store.
func (n *Node) awaitFresh(ctx context.Context) bool {
	requestedAt := time.Now()
	n.requestConfirmation()
	fresh := false
	decided := func() bool {
		_, err := n.freshness()
		fresh = err == nil
		catchingUp := !n.store.behindSince().IsZero()
		return fresh || n.store.available() != nil || !catchingUp && n.confirmations.failedSince(requestedAt)
	}
	return n.awaitCondition(ctx, readIndexTimeout, readWaitInterval, decided) && fresh
}
