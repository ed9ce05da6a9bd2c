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
	// readIndexTimeout bounds how long an instance waits to learn what is committed, and then how
	// long it waits until it has applied as much.
	readIndexTimeout = 500 * time.Millisecond
	// readIndexesPerSecond bounds the barriers that read indexes add to the Raft log. Requests
	// beyond that rate share one.
	readIndexesPerSecond = 10
)

var (
	// errVersionUnknown says that an instance can't tell whether any instance returned the version
	// that a watch names, as it has not applied as much itself. Its text is part of response bodies.
	errVersionUnknown = errors.New("whether the version named was ever given can't be known here now")
	// errNoLeader says that an instance knows no leader of the cluster.
	errNoLeader = errors.New("no leader known")
)

// progress is how far an instance has applied the Raft log.
type progress struct {
	version uint64 // of the endpoint list
	applied uint64 // Raft index
}

// readIndexCache is the last read index that an instance requested; concurrent requests share it.
type readIndexCache struct {
	mu          sync.Mutex
	limiter     *rate.Limiter
	requestedAt time.Time
	version     uint64
	err         error
}

// committedVersion returns a version of the list that is not older than any that an instance
// returned before the call. It is the read index of Ongaro's thesis ("Consensus: Bridging Theory
// and Practice", 2014, section 6.4). A call that waits for another one uses the result of that one
// if it was requested after the call began.
func (n *Node) committedVersion(ctx context.Context) (uint64, error) {
	startedAt := time.Now()
	cache := &n.readIndex
	cache.mu.Lock()
	defer cache.mu.Unlock()
	if cache.requestedAt.After(startedAt) {
		return cache.version, cache.err
	}
	// The result is shared, so the end of this caller's context does not cancel the request.
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

// committedProgress returns the leader's progress after a barrier in the Raft log, by which the
// leader has applied all that was committed before. A follower requests it from the leader's admin
// address (GET /v1/status?consistent=true). The barrier is in place of the round of heartbeats of
// the thesis, as a follower can't request one from hashicorp/raft. Each call adds a log entry.
func (n *Node) committedProgress(ctx context.Context) (progress, error) {
	if n.isLeader() {
		if err := n.raft.Barrier(readIndexTimeout).Error(); err != nil {
			return progress{}, err
		}
		return progress{version: n.state.currentVersion(), applied: n.raft.AppliedIndex()}, nil
	}
	leader, err := n.leaderStatus(ctx)
	if err != nil {
		return progress{}, err
	}
	return progress{version: leader.Version, applied: leader.Applied}, nil
}

// leaderStatus requests the leader's status after a barrier.
func (n *Node) leaderStatus(ctx context.Context) (Status, error) {
	var status Status
	leader, err := n.leader()
	if err != nil {
		return status, err
	}
	url := "http://" + leader.Admin + endpoint.StatusPath + "?" + endpoint.QueryConsistent + "=true"
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

// leader returns the peer that leads the cluster as far as this instance knows, or errNoLeader.
func (n *Node) leader() (Peer, error) {
	_, id := n.raft.LeaderWithID()
	peer, ok := n.peers[id]
	if !ok {
		return Peer{}, errNoLeader
	}
	return peer, nil
}

// awaitVersion decides how to answer a watch whose version is newer than the list applied here.
// Either this instance lags behind the one that returned the version: then it waits until it has
// applied all that is committed, so that no client gets an older list than it has. Or it has
// applied all of that and the version is still newer: no instance returned it (the service was
// restored from older data, say), and the watch gets the full list (true).
//
// It returns errVersionUnknown where that can't be decided within readIndexTimeout, as no leader
// answers or this instance does not catch up. A version that no instance returned and that the log
// has since passed can't be distinguished from one that was returned.
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
