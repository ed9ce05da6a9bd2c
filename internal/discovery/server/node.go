// Package server is one instance of the project's list service: the discovery protocol of
// PROTOCOL-fernbeam.md ("Discovery": GET /api/targets, watches by ?index=N&wait=MS, whole
// or partial answers) served from a list that three to five instances replicate with Raft
// (Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014;
// github.com/hashicorp/raft). The version a watch sees is the Raft index of the last change.
package server

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	"golang.org/x/time/rate"

	"fernbeam.example/fernbeam/internal/listener"
)

// dataFormat is the layout of a data directory that this program writes; it reads that and
// older ones. 2: the log and the snapshots have settings, which a program of 1 would drop.
const dataFormat = 2

// httpDoors is how many HTTP doors an instance has.
const httpServerCount = 2

// stopWithin bounds how long Close waits for Raft, which may wait for a failing disk.
const shutdownTimeout = 5 * time.Second

// longAgo is the time that the list counts as of until it has caught up for the first time.
var beforeAnyStart = time.Unix(0, 0)

// Node is one running instance: its Raft member, its list, what it heard of agents, and its
// two HTTP doors.
type Node struct {
	cfg         Config
	log         *slog.Logger
	state       *stateMachine
	reports     *reportRegistry
	readIndex   readIndexCache
	raft        *raft.Raft
	store       *retryingStore
	peers       map[raft.ServerID]Peer
	httpServers []*http.Server
	closed      chan struct{}
	failed      chan error // what ended the service of a door

	readTraffic, adminTraffic, raftTraffic trafficCounters
}

// Start opens the data directory, joins or founds the cluster, and serves reads on
// cfg.HTTPAddr and writes on cfg.AdminAddr until Close. Errors name what failed: a data
// directory of a newer format, a listener, the store.
func Start(cfg Config, log *slog.Logger) (*Node, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	if err := claimDataDir(cfg.DataDir); err != nil {
		return nil, err
	}
	n := &Node{cfg: cfg, log: log, state: newStateMachine(cfg.KeepChanges), reports: newReportRegistry(),
		readIndex: readIndexCache{limiter: rate.NewLimiter(readIndexesPerSecond, 1)}, peers: map[raft.ServerID]Peer{},
		closed: make(chan struct{}), failed: make(chan error, httpServerCount)}
	for _, p := range cfg.Peers {
		n.peers[raft.ServerID(p.ID)] = p
	}
	ln, err := listen(cfg.RaftAddr)
	if err != nil {
		return nil, fmt.Errorf("raft_addr: %w", err)
	}
	n.peers[raft.ServerID(cfg.ID)] = Peer{ID: cfg.ID, Raft: ln.Addr().String(), Admin: cfg.AdminAddr}
	if err := n.startRaft(ln); err != nil {
		ln.Close()
		return nil, err
	}
	for _, door := range []struct {
		addr string
		h    http.Handler
		c    *trafficCounters
	}{{cfg.HTTPAddr, n.readMux(), &n.readTraffic}, {cfg.AdminAddr, n.adminMux(), &n.adminTraffic}} {
		ln, err := listen(door.addr)
		if err != nil {
			n.Close()
			return nil, fmt.Errorf("listen %s: %w", door.addr, err)
		}
		srv := &http.Server{Handler: door.c.countRequests(door.h), ReadHeaderTimeout: 5 * time.Second}
		n.httpServers = append(n.httpServers, srv)
		go n.serve(srv, ln, door.c)
	}
	return n, nil
}

func (n *Node) startRaft(ln net.Listener) error {
	cfg := n.cfg
	rc := raft.DefaultConfig()
	rc.LocalID = raft.ServerID(cfg.ID)
	rc.SnapshotThreshold, rc.TrailingLogs = cfg.SnapshotEvery, cfg.TrailingLogs
	rc.HeartbeatTimeout, rc.ElectionTimeout = cfg.ElectionTimeout, cfg.ElectionTimeout
	rc.LeaderLeaseTimeout = n.leaderLease()
	rc.Logger = hclog.New(&hclog.LoggerOptions{Name: "raft", Level: hclog.Warn, Output: os.Stderr})
	store, err := n.openStore()
	if err != nil {
		return err
	}
	snaps, err := raft.NewFileSnapshotStoreWithLogger(cfg.DataDir, 2, rc.Logger)
	if err != nil {
		store.Close()
		return fmt.Errorf("data_dir: snapshots: %w", err)
	}
	if err := catchPageFaults(func() error { return checkLog(store.Store, snaps) }); err != nil {
		store.Close()
		return fmt.Errorf("data_dir: %w", &StoreDamageError{Path: filepath.Join(cfg.DataDir, storeFile), Err: err})
	}
	ln = listener.New(ln, listener.LogFailures(n.log, cfg.RaftAddr))
	network := raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
		ServerAddressProvider: n, Stream: streamLayer{countingListener{Listener: ln, counters: &n.raftTraffic, countWrites: true}}, MaxPool: 3, Timeout: 2 * time.Second,
		Logger: rc.Logger})
	trans := newGatedTransport(network, store, n.closed)
	r, err := raft.NewRaft(rc, n.state, store, store, snaps, trans)
	if err != nil {
		store.Close()
		return fmt.Errorf("raft: %w", err)
	}
	n.raft, n.store = r, store
	store.attach(&storeMember{raft: r, recovered: n.catchUp})
	if !cfg.Bootstrap {
		return nil
	}
	had, err := raft.HasExistingState(store, store, snaps)
	if err != nil || had {
		return err
	}
	members := raft.Configuration{Servers: []raft.Server{{ID: rc.LocalID, Address: trans.LocalAddr()}}}
	for _, p := range cfg.Peers {
		members.Servers = append(members.Servers, raft.Server{ID: raft.ServerID(p.ID), Address: raft.ServerAddress(p.Raft)})
	}
	return r.BootstrapCluster(members).Error()
}

// openStore opens the store of Raft's log, term and vote.
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
		inner.Close()
		return nil, fmt.Errorf("data_dir: raft store %s: %w", path, err)
	}
	store.health.recordLag(beforeAnyStart) // until the list has what was committed before this start
	store.rewriteLastCommit = func() error { return rewriteMetaPages(path) }
	return store, nil
}

// ServerAddr is where this instance reaches a peer's Raft (raft.ServerAddressProvider):
// its own table, so that each instance may reach the others by an address of its own.
func (n *Node) ServerAddr(id raft.ServerID) (raft.ServerAddress, error) {
	if p, ok := n.peers[id]; ok {
		return raft.ServerAddress(p.Raft), nil
	}
	return "", fmt.Errorf("listsvc: no peer %q in the table", id)
}

// Close stops serving and leaves Raft; the data directory keeps everything acknowledged.
func (n *Node) Close() error {
	select {
	case <-n.closed:
		return nil
	default:
		close(n.closed)
	}
	for _, d := range n.httpServers {
		d.Close()
	}
	stopped := make(chan error, 1)
	go func() { stopped <- n.raft.Shutdown().Error() }()
	select {
	case err := <-stopped:
		return errors.Join(err, n.store.Close())
	case <-time.After(shutdownTimeout):
		return fmt.Errorf("raft has not stopped within %v: %w", shutdownTimeout, n.store.available())
	}
}

// claimDir makes the data directory, or checks that its format is one this program reads, and
// marks it as of this program's.
func claimDataDir(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("data_dir: %w", err)
	}
	path := filepath.Join(dir, "FORMAT")
	text, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("data_dir: %w", err)
	}
	if err == nil {
		got, err := strconv.Atoi(strings.TrimSpace(string(text)))
		if err != nil || got > dataFormat {
			return fmt.Errorf("data_dir %s: format %q, this program reads %d or older", dir, strings.TrimSpace(string(text)), dataFormat)
		}
		if got == dataFormat {
			return nil
		}
	}
	// Whole or not at all: an empty FORMAT would be refused.
	if err := os.WriteFile(path+".new", []byte(strconv.Itoa(dataFormat)+"\n"), 0o644); err != nil {
		return fmt.Errorf("data_dir: %w", err)
	}
	return os.Rename(path+".new", path)
}

// listen opens a TCP listener at host:port, or takes an inherited one at "fd:N".
func listen(addr string) (net.Listener, error) {
	if fd, ok := strings.CutPrefix(addr, "fd:"); ok {
		n, err := strconv.Atoi(fd)
		if err != nil {
			return nil, fmt.Errorf("%q: not a file descriptor", addr)
		}
		f := os.NewFile(uintptr(n), addr)
		defer f.Close()
		return net.FileListener(f)
	}
	return net.Listen("tcp", addr)
}

// stream is Raft's stream layer on a listener of ours (raft.StreamLayer).
type streamLayer struct{ countingListener }

func (s streamLayer) Dial(addr raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", string(addr), timeout)
	if err != nil {
		return nil, err
	}
	return &countingConn{conn, s.counters, s.countWrites}, nil
}

var _ io.Closer = (*Node)(nil)
