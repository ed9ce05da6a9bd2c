package server_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/discovery/server"
	"fernbeam.example/fernbeam/internal/processtest"
)

const (
	// openWatchElectionTimeout is the election timeout of the instances of TestOpenWatchEndsWithItsLeader.
	openWatchElectionTimeout = 300 * time.Millisecond
	// slowLinkDelay is the delay from the leader to a follower in TestWatchFromUnknownVersion.
	slowLinkDelay = 150 * time.Millisecond
)

// TestOpenWatchEndsWithItsLeader: a watch that is open at an instance ends with 503 within max_stale,
// as a new read would, once the instance is alone: a follower that lost its leader, and a leader that
// lost its followers.
func TestOpenWatchEndsWithItsLeader(t *testing.T) {
	for _, state := range []server.MemberState{server.StateFollower, server.StateLeader} {
		t.Run(string(state), func(t *testing.T) {
			t.Parallel()
			configs, nodes := startThreeNodes(t, openWatchElectionTimeout)
			remaining, version := awaitState(t, configs, state)
			result := make(chan response, 1)
			startedAt := time.Now()
			url := watchURL(configs[remaining].HTTPAddr, fmt.Sprintf("index=%d&wait=60000", version))
			go func() { result <- request(http.MethodGet, url, "") }()
			for i, node := range nodes {
				if i != remaining {
					closeNode(t, node)
				}
			}
			// The wait for the response is bounded by writeTimeout.
			if got := <-result; got.code != http.StatusServiceUnavailable {
				t.Errorf("after %v: %v, want 503", time.Since(startedAt), got)
			}
		})
	}
}

// awaitState writes an entry, and waits for an instance in a Raft state that has applied it. It returns
// the number of the instance and the version of the write.
func awaitState(t *testing.T, configs []server.Config, state server.MemberState) (instance int, version uint64) {
	t.Helper()
	instance = -1
	found := func() bool {
		version = putServer(configs[0].AdminAddr, "s-1")
		for i, config := range configs {
			status := statusAt(config.AdminAddr)
			if version != 0 && status.State == state && status.Version == version {
				instance = i
			}
		}
		return instance >= 0
	}
	mustAwait(t, "an instance in state "+string(state), found)
	return instance, version
}

// TestWatchFromUnknownVersion: a watch from a version that no instance returned gets the full list from
// the leader and from a follower. A watch from a version that a follower has not applied yet, as its
// connection to the leader is slow, gets nothing older from the follower.
func TestWatchFromUnknownVersion(t *testing.T) {
	cluster := startCluster(t)
	leaderName := ""
	allHaveWrite := func() bool {
		leaderName = leader(cluster)
		return leaderName != "" && putServerAnywhere(cluster, "s-1") != 0 && allList(cluster, []string{"s-1"})
	}
	mustAwait(t, "a leader and a write at every instance", allHaveWrite)
	for _, name := range instanceNames {
		url := watchURL(cluster.Addr(name, processtest.HTTPPort), "wait=500&index=99999")
		list := request(http.MethodGet, url, "").list(t)
		if !list.Full || list.Version > 999 || len(list.Servers) != 1 {
			t.Errorf("%s (leader %s) answers version 99999 with %+v, want the full list", name, leaderName, list)
		}
	}
	follower := instanceNames[(slices.Index(instanceNames, leaderName)+1)%len(instanceNames)]
	slowLink, err := cluster.Link(leaderName, follower, processtest.RaftPort)
	if err != nil {
		t.Fatal(err)
	}
	slowLink.SetDelay(slowLinkDelay)
	for i := range 5 {
		version := putServer(cluster.Addr(leaderName, processtest.AdminPort), fmt.Sprint("new-", i))
		url := watchURL(cluster.Addr(follower, processtest.HTTPPort), fmt.Sprintf("wait=0&index=%d", version))
		got := request(http.MethodGet, url, "")
		if got.code == http.StatusServiceUnavailable {
			continue // it does not know the version yet; a client would continue at another instance
		}
		if list := got.list(t); list.Version < version || list.Full {
			t.Errorf("the watch from version %d got %+v from a slow follower", version, list)
		}
	}
}
