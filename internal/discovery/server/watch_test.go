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
	// openWatchElectionTimeout is the election timeout in TestOpenWatchEndsWithoutQuorum.
	openWatchElectionTimeout = 300 * time.Millisecond
	// slowLinkDelay is the delay from the leader to a follower in TestWatchFromUnknownVersion.
	slowLinkDelay = 150 * time.Millisecond
)

// TestOpenWatchEndsWithoutQuorum checks that an open watch ends with 503 within max_stale, as a new read
// would, once its instance has lost the other two: a follower that has lost the leader, and a leader that
// has lost its followers.
func TestOpenWatchEndsWithoutQuorum(t *testing.T) {
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
			// requestTimeout bounds the wait for the response.
			if got := <-result; got.code != http.StatusServiceUnavailable {
				t.Errorf("watch ended after %v with %v, want 503", time.Since(startedAt), got)
			}
		})
	}
}

// awaitState writes an entry and waits until an instance in the given state has applied it. It returns
// the instance's index in configs and the version of the write.
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

// TestWatchFromUnknownVersion checks that a watch from a version that never existed gets the full list
// from the leader and from the followers. It also watches at a follower from a version that the follower
// has not applied yet, because its connection to the leader is slow. The follower must never return an
// older list.
func TestWatchFromUnknownVersion(t *testing.T) {
	cluster := startCluster(t)
	leaderName := ""
	allHaveWrite := func() bool {
		leaderName = leader(cluster)
		return leaderName != "" && putServerAnywhere(cluster, "s-1") != 0 && allListServers(cluster, []string{"s-1"})
	}
	mustAwait(t, "a leader and a write at every instance", allHaveWrite)
	for _, name := range instanceNames {
		url := watchURL(cluster.Addr(name, processtest.HTTPPort), "wait=500&index=99999")
		list := request(http.MethodGet, url, "").list(t)
		if !list.Full || list.Version > 999 || len(list.Servers) != 1 {
			t.Errorf("watch from version 99999 at %s (leader %s) got %+v, want the full list", name, leaderName, list)
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
			continue // the follower does not have the version yet; a client would try another instance
		}
		if list := got.list(t); list.Version < version || list.Full {
			t.Errorf("watch from version %d got %+v from the slow follower", version, list)
		}
	}
}
