package server

import (
	"context"
	"net/http"
	"time"

	"github.com/hashicorp/raft"
)

// freshnessMargin is added to the time until the list becomes stale, so that it is stale if it is
// checked again after that time.
const freshnessMargin = time.Millisecond

// rejectStale answers 503 where this instance may not serve reads, and reports whether it did. If
// it did not, it also returns for how long this instance may serve them. ctx is that of the request.
func (n *Node) rejectStale(ctx context.Context, w http.ResponseWriter) (time.Duration, bool) {
	remaining, err := n.freshness()
	if err != nil && n.awaitCaughtUp(ctx) {
		remaining, err = n.freshness()
	}
	if err != nil {
		writeUnavailable(w, err)
	}
	return remaining, err != nil
}

// freshness returns for how long this instance may serve reads if it has no further contact with
// the leader, or an error if it may not serve them. It may as the leader, or within MaxStale of its
// last contact with a leader.
//
// After an outage of the store the list counts as stale since the begin of the outage, and after a
// start as older than MaxStale, until this instance has caught up.
func (n *Node) freshness() (time.Duration, error) {
	freshAt := n.raft.LastContact()
	behindSince := n.store.behindSince()
	if n.isLeader() {
		if behindSince.IsZero() {
			return min(n.cfg.MaxStale, n.leaderLease()), nil
		}
		freshAt = time.Now()
	}
	if !behindSince.IsZero() && behindSince.Before(freshAt) {
		freshAt = behindSince
	}
	remaining := n.cfg.MaxStale - time.Since(freshAt)
	if freshAt.IsZero() || remaining < 0 {
		return 0, n.staleError(behindSince)
	}
	return remaining + freshnessMargin, nil
}

// staleError says why this instance may not serve reads.
func (n *Node) staleError(behindSince time.Time) error {
	if behindSince.IsZero() {
		return n.instanceError("no leader heard within %v", n.cfg.MaxStale)
	}
	return n.instanceError("not caught up with the leader after a start or an outage of the store")
}

// isLeader reports whether this instance leads the cluster as far as it knows.
func (n *Node) isLeader() bool { return n.raft.State() == raft.Leader }

// leasesPerElectionTimeout is the ratio of the election timeout to the leader lease.
const leasesPerElectionTimeout = 2

// leaderLease is how long a leader that has no contact with a majority remains leader.
func (n *Node) leaderLease() time.Duration { return n.cfg.ElectionTimeout / leasesPerElectionTimeout }
