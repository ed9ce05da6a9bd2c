package server_test

import (
	"fmt"
	"log/slog"
	"path/filepath"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/discovery/server"
	"fernbeam.example/fernbeam/internal/processtest"
	"fernbeam.example/fernbeam/internal/testaddr"
)

const (
	// startTimeout bounds the wait for the condition that a test needs before it goes on, such as a
	// leader or an acknowledged write.
	startTimeout = 20 * time.Second
	// singleNodeElectionTimeout is short, so that a single-instance cluster soon has its leader.
	singleNodeElectionTimeout = 100 * time.Millisecond
)

// mustAwait waits for a condition, and fails the test if it is not met within startTimeout.
func mustAwait(tb testing.TB, what string, condition func() bool) {
	tb.Helper()
	if err := processtest.Await(startTimeout, what, condition); err != nil {
		tb.Fatal(err)
	}
}

// nodeConfig returns the configuration of an instance that listens on reserved ports and bootstraps its
// cluster.
func nodeConfig(tb testing.TB, id, dir string, electionTimeout time.Duration) server.Config {
	tb.Helper()
	return server.Config{
		ID:              id,
		DataDir:         dir,
		RaftAddr:        testaddr.Reserve(tb),
		HTTPAddr:        testaddr.Reserve(tb),
		AdminAddr:       testaddr.Reserve(tb),
		Bootstrap:       true,
		MaxStale:        time.Second,
		ElectionTimeout: electionTimeout,
		KeepChanges:     4096,
		SnapshotEvery:   8192,
		TrailingLogs:    1024,
	}
}

// singleNodeConfig returns the configuration of the instance of a single-instance cluster.
func singleNodeConfig(t *testing.T, dir string) server.Config {
	t.Helper()
	config := nodeConfig(t, "n1", dir, singleNodeElectionTimeout)
	config.KeepChanges = 64
	return config
}

// startNode starts an instance in this process, and closes it at the end of the test.
func startNode(tb testing.TB, config server.Config) *server.Node {
	tb.Helper()
	node, err := server.Start(config, slog.New(slog.DiscardHandler))
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { closeNode(tb, node) })
	return node
}

// closeNode closes an instance. The instance may already be closed.
func closeNode(tb testing.TB, node *server.Node) {
	tb.Helper()
	if err := node.Close(); err != nil {
		tb.Error(err)
	}
}

// startSingleNode starts a single-instance cluster on a new or an existing data directory. It returns
// the instance's addresses once the instance is the leader.
func startSingleNode(t *testing.T, dir string) (httpAddr, adminAddr string) {
	t.Helper()
	config := singleNodeConfig(t, dir)
	startNode(t, config)
	isLeader := func() bool { return statusAt(config.AdminAddr).State == server.StateLeader }
	mustAwait(t, "a leader", isLeader)
	return config.HTTPAddr, config.AdminAddr
}

// startThreeNodes starts a cluster of three instances in this process. The first one bootstraps it.
func startThreeNodes(tb testing.TB, electionTimeout time.Duration) ([]server.Config, []*server.Node) {
	tb.Helper()
	return startThreeNodesOn(tb, electionTimeout, nil)
}

// startThreeNodesOn is like startThreeNodes, with stores that wrapStore wraps if it is not nil.
func startThreeNodesOn(
	tb testing.TB, electionTimeout time.Duration, wrapStore func(server.Store) server.Store,
) ([]server.Config, []*server.Node) {
	tb.Helper()
	configs := make([]server.Config, 3)
	for i := range configs {
		id := fmt.Sprint("n", i)
		configs[i] = nodeConfig(tb, id, filepath.Join(tb.TempDir(), "data"), electionTimeout)
		configs[i].Bootstrap = i == 0
		configs[i].WrapStore = wrapStore
	}
	nodes := make([]*server.Node, len(configs))
	for i := range configs {
		configs[i].Peers = peersOf(configs, i)
		nodes[i] = startNode(tb, configs[i])
	}
	return configs, nodes
}

// peersOf returns the peers of the instance with the given index in configs.
func peersOf(configs []server.Config, instance int) []server.Peer {
	var peers []server.Peer
	for i, config := range configs {
		if i != instance {
			peers = append(peers, server.Peer{ID: config.ID, RaftAddr: config.RaftAddr, AdminAddr: config.AdminAddr})
		}
	}
	return peers
}
