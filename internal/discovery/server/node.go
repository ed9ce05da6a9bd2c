// Package server implements an instance of the discovery service. It serves the discovery protocol of
// PROTOCOL-fernbeam.md ("Discovery": GET /api/targets, watches with ?index=N&wait=MS, full lists or
// changes) from an endpoint list that three to five instances replicate with Raft (Ongaro and
// Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014;
// github.com/hashicorp/raft). The version of the list is the Raft index of its last change.
//
// A Node consists of a Raft member (raft_member.go) with a store that tolerates disk failures
// (store_retry.go), the replicated state (state_machine.go), and two HTTP servers: one for reads and
// watches (watch.go), one for writes, settings and status (writes.go, settings_http.go, status.go).
package server

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
	"golang.org/x/time/rate"
)

const (
	// httpServerCount is the number of HTTP servers of an instance.
	httpServerCount = 2
	// shutdownTimeout bounds how long Close waits for Raft, which may be blocked by a failing disk.
	shutdownTimeout = 5 * time.Second
)

// Node is a running instance of the discovery service.
type Node struct {
	cfg       Config
	log       *slog.Logger
	state     *stateMachine
	reports   *reportRegistry
	readIndex readIndexCache
	// confirmations tell how fresh the list is; a value in confirmationRequests asks for one now.
	confirmations        confirmations
	confirmationRequests chan struct{}
	// appliedTerm is the last Raft term as whose leader this instance is known to have applied an entry.
	appliedTerm atomic.Uint64

	raft  *raft.Raft
	store *retryingStore
	peers map[raft.ServerID]Peer // this instance included

	httpServers []*http.Server
	serving     sync.WaitGroup // the goroutines that run httpServers
	failed      chan error     // receives the error of an HTTP server that stopped before Close
	closed      chan struct{}  // closed by Close

	readTraffic  trafficCounters
	adminTraffic trafficCounters
	raftTraffic  trafficCounters
}

var _ io.Closer = (*Node)(nil)

// Start opens the data directory, bootstraps or joins the cluster, and serves reads on cfg.HTTPAddr
// and writes on cfg.AdminAddr until Close. It returns a KeyError for an invalid configuration, a
// DataFormatError for a data directory of a newer format, a StoreDamageError for a damaged store, or
// the error of a listener or the store.
func Start(cfg Config, log *slog.Logger) (*Node, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	if err := prepareDataDir(cfg.DataDir); err != nil {
		return nil, err
	}
	n := newNode(cfg, log)
	if err := n.startRaft(); err != nil {
		return nil, err
	}
	go n.renewFreshness()
	if err := n.startHTTP(); err != nil {
		_ = n.Close() // err is the cause
		return nil, err
	}
	return n, nil
}

// newNode returns an instance that has not been started.
func newNode(cfg Config, log *slog.Logger) *Node {
	n := &Node{
		cfg:     cfg,
		log:     log,
		state:   newStateMachine(cfg.KeepChanges),
		reports: newReportRegistry(),
		peers:   map[raft.ServerID]Peer{},
		failed:  make(chan error, httpServerCount),

		confirmationRequests: make(chan struct{}, 1),

		closed: make(chan struct{}),
	}
	n.readIndex.limiter = rate.NewLimiter(readIndexesPerSecond, 1)
	for _, peer := range cfg.Peers {
		n.peers[raft.ServerID(peer.ID)] = peer
	}
	return n
}

// Failed returns a channel that receives an error if the instance stops accepting connections on one
// of its addresses. The instance should then be closed.
func (n *Node) Failed() <-chan error { return n.failed }

// Close stops the HTTP servers and the Raft member. All acknowledged writes are already in the data
// directory. Close waits for the goroutines that it stops, except for those that the disk blocks: if
// Raft has not stopped within shutdownTimeout, Close returns an error.
func (n *Node) Close() error {
	if n.isClosed() {
		return nil
	}
	close(n.closed)
	for _, server := range n.httpServers {
		_ = server.Close() // if this fails, the listener is released when the process ends
	}
	n.serving.Wait()
	stopped := make(chan error, 1)
	go func() { stopped <- n.raft.Shutdown().Error() }()
	select {
	case err := <-stopped:
		return errors.Join(err, n.store.Close())
	case <-time.After(shutdownTimeout):
		return fmt.Errorf("raft has not stopped within %v: %w", shutdownTimeout, n.store.available())
	}
}

// isClosed reports whether Close has been called.
func (n *Node) isClosed() bool {
	select {
	case <-n.closed:
		return true
	default:
		return false
	}
}
