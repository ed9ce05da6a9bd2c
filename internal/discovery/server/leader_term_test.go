package server_test

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"fernbeam.example/fernbeam/internal/discovery/server"
	"fernbeam.example/fernbeam/internal/endpoint"
)

const (
	// termElectionTimeout is the election timeout of the instances with slow stores.
	termElectionTimeout = 500 * time.Millisecond
	// slowAppendTime is what an append to their Raft logs takes: a new leader's first entry is committed that much
	// later than it is elected.
	slowAppendTime = 100 * time.Millisecond
	// verifiedPollInterval is the time between two requests for a verified status.
	verifiedPollInterval = 2 * time.Millisecond
)

// slowStore is a store whose appends take slowAppendTime.
type slowStore struct{ server.Store }

// StoreLogs appends entries to the log after slowAppendTime.
func (s slowStore) StoreLogs(entries []*raft.Log) error {
	time.Sleep(slowAppendTime)
	return s.Store.StoreLogs(entries)
}

// A new leader tells no verified status without the writes that its predecessor acknowledged. Its followers would
// take their lists for complete without them.
func TestNewLeaderConfirmsNoListWithoutAcknowledgedWrites(t *testing.T) {
	t.Parallel()
	configs, nodes := startThreeNodesOn(t, termElectionTimeout, func(store server.Store) server.Store {
		return slowStore{store}
	})
	leader := -1
	mustAwait(t, "a leader", func() bool {
		for i, config := range configs {
			if statusAt(config.AdminAddr).State == server.StateLeader {
				leader = i
			}
		}
		return leader >= 0
	})
	var acknowledged uint64
	mustAwait(t, "an acknowledged write", func() bool {
		acknowledged = putServer(configs[leader].AdminAddr, "s-1")
		return acknowledged != 0
	})
	closeNode(t, nodes[leader])
	var verified server.Status
	mustAwait(t, "a verified status of another instance", func() bool {
		time.Sleep(verifiedPollInterval)
		for i, config := range configs {
			if i != leader && verifiedStatus(config.AdminAddr, &verified) {
				return true
			}
		}
		return false
	})
	if verified.Version < acknowledged {
		t.Errorf("%s told version %d as verified, but version %d was acknowledged before", verified.ID, verified.Version,
			acknowledged)
	}
}

// verifiedStatus requests a status that a round of heartbeats confirms, and reports whether there is one.
func verifiedStatus(adminAddr string, status *server.Status) bool {
	got := request(http.MethodGet, adminAddr+endpoint.StatusPath+"?"+endpoint.QueryVerified+"=true", "")
	return got.code == http.StatusOK && json.Unmarshal([]byte(got.body), status) == nil
}
