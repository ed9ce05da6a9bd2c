package server

import (
	"context"
	"net/http"
	"time"

	"github.com/hashicorp/raft"
)

// freshnessMargin is added to the time until the list becomes stale, so that a check at the end of the
// extended time finds it stale.
const freshnessMargin = time.Millisecond

// rejectIfStale responds with 503 if this instance may not serve reads, and reports whether it
// responded. If it did not respond, the duration is how long this instance may serve reads. ctx is the
// request's context.
func (n *Node) rejectIfStale(ctx context.Context, w http.ResponseWriter) (time.Duration, bool) {
	remaining, err := n.freshness()
	if err != nil && n.awaitFresh(ctx) {
		remaining, err = n.freshness()
	}
	if err != nil {
		writeUnavailable(w, err)
	}
	return remaining, err != nil
}

// freshness returns how long this instance may serve reads without a further confirmation, or an error
// if it may not serve reads. It may serve them for MaxStale after the start of the last confirmation; see
// renewFreshness.
//
// From the start of a store outage until this instance has caught up, the list counts as last updated
// at the start of the outage. From a start of the instance until it has caught up, the list counts as
// older than MaxStale.
func (n *Node) freshness() (time.Duration, error) {
	freshAt := n.confirmations.freshAt()
	behindSince := n.store.behindSince()
	if !behindSince.IsZero() && behindSince.Before(freshAt) {
		freshAt = behindSince
	}
	remaining := n.cfg.MaxStale - time.Since(freshAt)
	if freshAt.IsZero() || remaining < 0 {
		return 0, n.staleError(behindSince)
	}
	return remaining + freshnessMargin, nil
}

// staleError returns the reason why this instance may not serve reads.
func (n *Node) staleError(behindSince time.Time) error {
	if behindSince.IsZero() {
		return n.instanceError("no leader has confirmed the list within %v", n.cfg.MaxStale)
	}
	return n.instanceError("not caught up with the leader after a start or an outage of the store")
}

// isLeader reports whether this instance considers itself the leader.
func (n *Node) isLeader() bool { return n.raft.State() == raft.Leader }

// leasesPerElectionTimeout is the ratio of the election timeout to the leader lease.
const leasesPerElectionTimeout = 2

// leaderLease returns how long a leader remains leader without contact with a majority.
func (n *Node) leaderLease() time.Duration { return n.cfg.ElectionTimeout / leasesPerElectionTimeout }
