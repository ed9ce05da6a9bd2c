package server

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/raft"
	"golang.org/x/time/rate"
)

const (
	// consistentWithin bounds how long an instance tries to learn what is committed.
	readIndexTimeout = 500 * time.Millisecond
	// barriersPerS bounds the entries that this costs the log, whoever asks; beyond, those
	// who ask share one.
	readIndexesPerSecond = 10
)

// errUnknown is why a call that names a version this instance has not applied is refused.
var errVersionUnknown = errors.New("whether the version named was ever given can't be known here now")

// barrier is the last answer of the leader to what is committed.
type readIndexCache struct {
	mu          sync.Mutex
	limiter     *rate.Limiter
	requestedAt time.Time
	version     uint64
	err         error
}

// committed gives a version of the list that is not older than any that an instance gave
// before the call: the leader's own after a barrier in the Raft log, which a follower asks
// of the leader's admin door (GET /v1/status?consistent=true). It is the read index of
// Ongaro's thesis ("Consensus: Bridging Theory and Practice", 2014, 6.4) with a barrier in
// place of the round of heartbeats, since a follower of hashicorp/raft can't ask for one.
// Calls that wait for one another share an answer that was asked for after they came.
func (n *Node) committedVersion() (uint64, error) {
	came, b := time.Now(), &n.readIndex
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.requestedAt.After(came) {
		return b.version, b.err
	}
	ctx, cancel := context.WithTimeout(context.Background(), readIndexTimeout)
	defer cancel()
	if err := b.limiter.Wait(ctx); err != nil {
		return 0, err
	}
	b.requestedAt = time.Now()
	if n.raft.State() == raft.Leader {
		b.err = n.raft.Barrier(readIndexTimeout).Error()
		b.version = n.state.currentVersion()
	} else {
		var leader Status
		leader, b.err = n.leaderStatus(ctx)
		b.version = leader.Version
	}
	return b.version, b.err
}

// askLeader is the leader's part of committed, asked by a follower: its status once it has applied
// all that was committed.
func (n *Node) leaderStatus(ctx context.Context) (st Status, err error) {
	_, id := n.raft.LeaderWithID()
	p, ok := n.peers[id]
	if !ok {
		return st, errors.New("no leader known")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Admin+"/v1/status?consistent=true", nil)
	if err != nil {
		return st, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return st, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return st, fmt.Errorf("leader %s answered %s", id, resp.Status)
	}
	err = json.NewDecoder(resp.Body).Decode(&st)
	return st, err
}

// settle decides what a watch from a version newer than the list applied here gets. Either
// this instance lags one that gave the version, by moments: then it waits until it has
// applied all that is committed, so that nobody is thrown back to an older list. Or it has
// applied that, and the version is newer still: nobody gave it (the service was restored
// from older data, say), and the whole list is the answer (true). errUnknown where that
// can't be told within half a second: no leader answers, or this instance does not catch up.
// A version that nobody gave and that the log has since passed can't be told from one that
// somebody gave.
func (n *Node) awaitVersion(ctx context.Context, version uint64) (whole bool, err error) {
	if version <= n.state.currentVersion() {
		return false, nil
	}
	upTo, err := n.committedVersion()
	if err != nil {
		return false, fmt.Errorf("%w: %w", errVersionUnknown, err)
	}
	late := time.NewTimer(readIndexTimeout)
	defer late.Stop()
	for {
		at, wake := n.state.versionAndChange()
		if at >= upTo {
			return version > at, nil
		}
		select {
		case <-wake:
		case <-late.C:
			return false, fmt.Errorf("%w: version %d of %d applied", errVersionUnknown, at, upTo)
		case <-ctx.Done():
			return false, ctx.Err()
		}
	}
}
