package server

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"fernbeam.example/fernbeam/internal/endpoint"
)

const (
	// readIndexTimeout bounds how long an instance waits for a read index, and then how long it waits to
	// apply the log up to that index.
	readIndexTimeout = 500 * time.Millisecond
	// readIndexesPerSecond bounds the rate of the barriers that read indexes add to the Raft log.
	// Requests beyond that rate share a barrier.
	readIndexesPerSecond = 10
)

var (
	// errVersionUnknown is returned if an instance can't determine whether any instance has returned
	// the version given by a watch, because it has not applied that version itself. Its message is
	// part of response bodies.
	errVersionUnknown = errors.New("whether the version named was ever given can't be known here now")
	// errNoLeader is returned if an instance knows no leader of the cluster.
	errNoLeader = errors.New("no leader known")
)

// progress is the position up to which an instance has applied the Raft log.
type progress struct {
	version uint64 // of the endpoint list
	applied uint64 // Raft index
}

// readIndexCache is the result of an instance's last request for a read index. Concurrent calls share
// it.
type readIndexCache struct {
	mu          sync.Mutex
	limiter     *rate.Limiter
	requestedAt time.Time
	version     uint64
	err         error
}

// committedVersion returns a version of the list that is at least as new as any version that an
// instance returned before the call. It is the read index of Ongaro's thesis ("Consensus: Bridging
// Theory and Practice", 2014, section 6.4). A call that waits for a concurrent call uses that call's
// result if the result was requested after the waiting call began.
func (n *Node) committedVersion(ctx context.Context) (uint64, error) {
	startedAt := time.Now()
	cache := &n.readIndex
	cache.mu.Lock()
	defer cache.mu.Unlock()
	if cache.requestedAt.After(startedAt) {
		return cache.version, cache.err
	}
	// The result is shared, so cancellation of this caller's context does not cancel the request.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), readIndexTimeout)
	defer cancel()
	if err := cache.limiter.Wait(ctx); err != nil {
		return 0, err
	}
	cache.requestedAt = time.Now()
	committed, err := n.committedProgress(ctx)
	cache.version = committed.version
	cache.err = err
	return cache.version, cache.err
}

// committedProgress returns the leader's progress after a barrier in the Raft log, which ensures that
// the leader has applied everything committed before. A follower requests it from the leader's admin
// address (GET /v1/status?consistent=true). The barrier replaces the round of heartbeats described in
// the thesis, because hashicorp/raft has no call for such a round. Each barrier adds a log entry.
func (n *Node) committedProgress(ctx context.Context) (progress, error) {
	if n.isLeader() {
		if err := n.raft.Barrier(readIndexTimeout).Error(); err != nil {
			return progress{}, err
		}
		return progress{version: n.state.currentVersion(), applied: n.raft.AppliedIndex()}, nil
	}
	leader, err := n.leaderStatus(ctx, endpoint.QueryConsistent)
	if err != nil {
		return progress{}, err
	}
	return progress{version: leader.Version, applied: leader.Applied}, nil
}

// leaderStatus requests the leader's status, with a query parameter that says how it is confirmed.
func (n *Node) leaderStatus(ctx context.Context, parameter string) (Status, error) {
	var status Status
	leader, err := n.leader()
	if err != nil {
		return status, err
	}
	url := "http://" + leader.AdminAddr + endpoint.StatusPath + "?" + parameter + "=true"
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return status, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return status, err
	}
	defer func() { _ = response.Body.Close() }() // nothing is left to read
	if response.StatusCode != http.StatusOK {
		return status, fmt.Errorf("leader %s answered %s", leader.ID, response.Status)
	}
	err = json.NewDecoder(response.Body).Decode(&status)
	return status, err
}

// leader returns the peer that this instance considers the leader, or errNoLeader.
func (n *Node) leader() (Peer, error) {
	_, id := n.raft.LeaderWithID()
	peer, ok := n.peers[id]
	if !ok {
		return Peer{}, errNoLeader
	}
	return peer, nil
}

// awaitVersion decides how to respond to a watch that names a version newer than this instance's own.
// This instance may lag behind the one that returned the version, so it first waits until it has
// applied everything committed. Otherwise a client could get a list older than the one that it has.
// If the version is newer even then, no instance has returned it (for example, because the service was
// restored from older data). In that case awaitVersion returns true, and the watch gets the full list.
//
// It returns errVersionUnknown if that can't be decided within readIndexTimeout, because no leader
// responds or this instance does not catch up. Limitation: if no instance ever returned the version, but
// later changes have since reached it, awaitVersion takes it for one that was returned.
func (n *Node) awaitVersion(ctx context.Context, version uint64) (fullList bool, err error) {
	if version <= n.state.currentVersion() {
		return false, nil
	}
	committed, err := n.committedVersion(ctx)
	if err != nil {
		return false, fmt.Errorf("%w: %w", errVersionUnknown, err)
	}
	timeout := time.NewTimer(readIndexTimeout)
	defer timeout.Stop()
	for {
		current, changed := n.state.versionAndChange()
		if current >= committed {
			return version > current, nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			return false, fmt.Errorf("%w: version %d of %d applied", errVersionUnknown, current, committed)
		case <-ctx.Done():
			return false, ctx.Err()
		}
	}
}
