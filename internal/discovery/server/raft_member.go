package server

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"

	"fernbeam.example/fernbeam/internal/listener"
)

const (
	// retainedSnapshots is the number of snapshots kept in the data directory.
	retainedSnapshots = 2
	// raftMaxPool is the number of idle connections to each peer.
	raftMaxPool = 3
	// raftIOTimeout bounds each read from and write to a connection to a peer.
	raftIOTimeout = 2 * time.Second
)

// beforeAnyStart is recorded as the start of an outage whenever an instance starts, so that its list
// counts as older than MaxStale until the instance has caught up.
var beforeAnyStart = time.Unix(0, 0)

// startRaft starts the Raft member, and bootstraps the cluster if the configuration requests it.
func (n *Node) startRaft() error {
	ln, err := listen(n.cfg.RaftAddr)
	if err != nil {
		return fmt.Errorf("raft_addr: %w", err)
	}
	n.peers[raft.ServerID(n.cfg.ID)] = Peer{ID: n.cfg.ID, RaftAddr: ln.Addr().String(), AdminAddr: n.cfg.AdminAddr}
	if err := n.startMember(ln); err != nil {
		_ = ln.Close() // err is the cause
		return err
	}
	return nil
}

// startMember starts the Raft member on a listener.
func (n *Node) startMember(ln net.Listener) error {
	config := n.raftConfig()
	store, err := n.openStore()
	if err != nil {
		return err
	}
	snapshots, err := n.openSnapshots(store, config.Logger)
	if err != nil {
		_ = store.Close() // err is the cause
		return err
	}
	transport := n.newTransport(ln, store, config.Logger)
	member, err := raft.NewRaft(config, n.state, store, store, snapshots, transport)
	if err != nil {
		_ = store.Close() // err is the cause
		return fmt.Errorf("raft: %w", err)
	}
	n.raft = member
	n.store = store
	store.attach(&storeMember{raft: member, onRecovered: n.catchUp})
	if !n.cfg.Bootstrap {
		return nil
	}
	return n.bootstrap(snapshots, transport.LocalAddr())
}

// raftConfig returns the Raft member's configuration.
func (n *Node) raftConfig() *raft.Config {
	config := raft.DefaultConfig()
	config.LocalID = raft.ServerID(n.cfg.ID)
	config.SnapshotThreshold = n.cfg.SnapshotEvery
	config.TrailingLogs = n.cfg.TrailingLogs
	config.HeartbeatTimeout = n.cfg.ElectionTimeout
	config.ElectionTimeout = n.cfg.ElectionTimeout
	config.LeaderLeaseTimeout = n.leaderLease()
	config.Logger = hclog.New(&hclog.LoggerOptions{Name: "raft", Level: hclog.Warn, Output: os.Stderr})
	return config
}

// openStore opens the store for Raft's log, term and vote.
func (n *Node) openStore() (*retryingStore, error) {
	path := filepath.Join(n.cfg.DataDir, storeFile)
	bolt, err := openBolt(n.cfg.DataDir, n.log)
	if err != nil {
		return nil, fmt.Errorf("data_dir: %w", err)
	}
	var inner Store = bolt
	if n.cfg.WrapStore != nil {
		inner = n.cfg.WrapStore(inner)
	}
	store, err := newRetryingStore(inner, n.log, n.cfg.ElectionTimeout, n.closed)
	if err != nil {
		_ = inner.Close() // err is the cause
		return nil, fmt.Errorf("data_dir: raft store %s: %w", path, err)
	}
	store.health.recordLag(beforeAnyStart)
	store.rewriteLastCommit = func() error { return rewriteMetaPages(path) }
	return store, nil
}

// openSnapshots opens the snapshot store, and checks that the log continues from the newest snapshot.
func (n *Node) openSnapshots(store *retryingStore, log hclog.Logger) (raft.SnapshotStore, error) {
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(n.cfg.DataDir, retainedSnapshots, log)
	if err != nil {
		return nil, fmt.Errorf("data_dir: snapshots: %w", err)
	}
	err = catchPageFaults(func() error { return checkLog(store.Store, snapshots) })
	if err != nil {
		damage := &StoreDamageError{Path: filepath.Join(n.cfg.DataDir, storeFile), Err: err}
		return nil, fmt.Errorf("data_dir: %w", damage)
	}
	return snapshots, nil
}

// newTransport returns the transport to the peers, which accepts the peers' connections on ln.
func (n *Node) newTransport(ln net.Listener, store *retryingStore, log hclog.Logger) *gatedTransport {
	ln = listener.New(ln, listener.LogFailures(n.log, n.cfg.RaftAddr))
	counting := countingListener{Listener: ln, counters: &n.raftTraffic, countWrites: true}
	network := raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
		ServerAddressProvider: n,
		Stream:                streamLayer{counting},
		MaxPool:               raftMaxPool,
		Timeout:               raftIOTimeout,
		Logger:                log,
	})
	return newGatedTransport(network, store, n.closed)
}

// bootstrap bootstraps a cluster of this instance and its peers, unless the data directory already
// has Raft state.
func (n *Node) bootstrap(snapshots raft.SnapshotStore, address raft.ServerAddress) error {
	exists, err := raft.HasExistingState(n.store, n.store, snapshots)
	if err != nil || exists {
		return err
	}
	servers := []raft.Server{{ID: raft.ServerID(n.cfg.ID), Address: address}}
	for _, peer := range n.cfg.Peers {
		servers = append(servers, raft.Server{ID: raft.ServerID(peer.ID), Address: raft.ServerAddress(peer.RaftAddr)})
	}
	return n.raft.BootstrapCluster(raft.Configuration{Servers: servers}).Error()
}

// ServerAddr returns the Raft address at which this instance reaches a peer
// (raft.ServerAddressProvider). The addresses of the peers may differ between instances.
func (n *Node) ServerAddr(id raft.ServerID) (raft.ServerAddress, error) {
	peer, ok := n.peers[id]
	if !ok {
		return "", fmt.Errorf("discovery: unknown peer %q", id)
	}
	return raft.ServerAddress(peer.RaftAddr), nil
}

// streamLayer is a raft.StreamLayer whose traffic is counted.
type streamLayer struct{ countingListener }

// Dial connects to a peer. hashicorp/raft passes a timeout but no context.
func (s streamLayer) Dial(address raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout}
	conn, err := dialer.DialContext(context.Background(), "tcp", string(address))
	if err != nil {
		return nil, err
	}
	return s.wrap(conn), nil
}
