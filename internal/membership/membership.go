// Package membership maintains each agent's view of the other agents of its site: which are present, as which
// process, in which zone, and whether they drain. It has no server: it is SWIM with Lifeguard's extensions
// (hashicorp/memberlist), and what those leave out.
//
// Its invariants, which internal/membershiptest checks over the histories of many processes: a process that runs
// is never declared dead by one that was not partitioned from it; the identity of a process that was replaced
// never returns; an agent that leaves is neither suspected nor reconnected to; incarnations and snapshot numbers
// never decrease; and once faults have ended all running processes converge to the same digest, however long they
// were apart.
//
// It adds to memberlist: its list is read whole (as the first half of a local push/pull), so that a snapshot
// has suspicions and incarnations; two sides of a partition that declared each other dead find each other again;
// members compare digests in the answers to probes and exchange their lists where the digests stay different; an
// address that refuses connections shows at once that its process is gone; a death report is believed only from
// members that are certainly present themselves; and packets and streams are checked before memberlist reads
// them, as it trusts the lengths that they claim.
package membership

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/memberlist"
)

const (
	// bindRetryInterval is how often a process tries the address that another process of its agent has.
	bindRetryInterval = 100 * time.Millisecond
	// updateTimeout bounds how long memberlist may take to send this process's changed metadata.
	updateTimeout = time.Second
)

// Membership is this process's part in the membership of its site's agents.
type Membership struct {
	cfg             Config
	process         string
	baseIncarnation uint32        // below this process's incarnations, above those of earlier ones
	announced       chan struct{} // closed once this process is above baseIncarnation
	log             *logger
	counters        counters
	listChanged     chan struct{} // of one: the list may have changed

	snapshot  atomic.Pointer[Snapshot]
	list      atomic.Pointer[memberlist.Memberlist]
	transport *transport
	draining  atomic.Bool

	metas         metaCache
	mu            sync.Mutex // guards the fields from table to killed
	table         *memberTable
	admitted      map[string]bool // names in the last reading of the list, and those admitted since
	differingPeer *peerAddress    // a member whose digest differed; nil: none
	differedAt    time.Time       // when a digest last differed
	exchangedAt   time.Time       // when lists were last exchanged with a member; zero: never
	leaving       bool
	killed        bool
	shutdownMutex sync.Mutex // held while memberlist leaves or shuts down: it must not do both at once

	stop  context.CancelFunc // ends the context of the tasks
	tasks sync.WaitGroup
}

// Start joins the other agents in the background: it returns before any of them has answered, and an agent that
// finds nobody runs alone and keeps trying. Where another process of this machine has the address (the old one,
// in an upgrade), this one waits until that has ended. The error is for a configuration that can't be used.
func Start(cfg Config) (*Membership, error) {
	m, err := newMembership(cfg)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	m.stop = stop
	err = m.bind(ctx)
	switch {
	case errors.Is(err, syscall.EADDRINUSE):
		m.log.Info("membership: address in use by another process, waiting until it ends", "bind", cfg.Bind)
		m.spawn(func() { m.waitForAddress(ctx) })
	case err != nil:
		stop()
		return nil, fmt.Errorf("fleet: %w", err)
	}
	return m, nil
}

// newMembership checks the configuration and draws the process's identity; it opens no socket.
func newMembership(cfg Config) (*Membership, error) {
	if err := cfg.complete(); err != nil {
		return nil, err
	}
	if err := cfg.checkAgent(); err != nil {
		return nil, err
	}
	if cfg.Log == nil {
		cfg.Log = slog.Default()
	}
	m := &Membership{
		cfg:         cfg,
		process:     newProcessID(),
		log:         newLogger(cfg.Log),
		listChanged: make(chan struct{}, 1),
		announced:   make(chan struct{}),
		admitted:    map[string]bool{},
	}
	m.table = newMemberTable(&m.cfg, m.process, time.Now())
	m.snapshot.Store(m.table.snapshot)
	return m, nil
}

// newProcessID draws the identity of a process.
func newProcessID() string {
	var id [processIDLength / 2]byte
	_, _ = rand.Read(id[:]) // never fails
	return hex.EncodeToString(id[:])
}

// isValidName tells whether a member may have a name; memberlist's addresses are written as name/address, and
// the names with @ are those of the local streams.
func isValidName(name string) bool {
	return name != "" && len(name) <= maxNameBytes && !strings.ContainsAny(name, "/@")
}

// spawn runs a goroutine that Leave and Kill wait for.
func (m *Membership) spawn(task func()) {
	m.tasks.Add(1)
	go func() {
		defer m.tasks.Done()
		task()
	}()
}

// waitForAddress binds as soon as the address is free.
func (m *Membership) waitForAddress(ctx context.Context) {
	ticker := time.NewTicker(bindRetryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		err := m.bind(ctx)
		if err == nil {
			m.log.Info("membership: address bound", "bind", m.cfg.Bind)
			return
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			m.log.Warn("membership: address can't be bound", "bind", m.cfg.Bind, "err", err)
		}
	}
}

// bind opens the sockets and starts to take part until the context ends.
func (m *Membership) bind(ctx context.Context) error {
	sockets, err := newTransport(&m.cfg, m.log.std(), &m.counters, m.messageHandlers())
	if err != nil {
		return err
	}
	if err := m.run(ctx, sockets, sockets); err != nil {
		return errors.Join(err, sockets.Shutdown())
	}
	return nil
}

// messageHandlers are what this process's transport calls.
func (m *Membership) messageHandlers() messageHandlers {
	return messageHandlers{
		onStateMessage:    m.notifyListChanged,
		acceptDeathReport: m.acceptDeathReport,
		onAlive:           m.liftRetirements,
	}
}

// run takes part over a transport until the context ends. Memberlist gets it as underlying, which differs only in a
// test.
func (m *Membership) run(ctx context.Context, sockets *transport, underlying memberlist.NodeAwareTransport) error {
	m.transport = sockets
	list, err := memberlist.Create(m.listConfig(underlying))
	if err != nil {
		return err
	}
	m.list.Store(list)
	m.baseIncarnation = startIncarnation(m.cfg.clock().Wall())
	if err := m.raiseIncarnation(list); err != nil {
		return errors.Join(err, list.Shutdown())
	}
	m.notifyListChanged()
	m.spawn(func() { m.publishSnapshots(ctx) })
	m.spawn(func() { m.runReconnects(ctx) })
	m.spawn(func() { m.confirmSuspects(ctx) })
	m.spawn(func() { m.watchSuccessors(ctx) })
	return nil
}

// notifyListChanged notifies publishSnapshots that the list may have changed; it never blocks.
func (m *Membership) notifyListChanged() {
	select {
	case m.listChanged <- struct{}{}:
	default:
	}
}

// Snapshot is the current snapshot.
func (m *Membership) Snapshot() *Snapshot { return m.snapshot.Load() }

// SetDraining announces in the background whether this agent drains.
func (m *Membership) SetDraining(on bool) {
	if m.draining.Swap(on) == on {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	list := m.list.Load()
	if list == nil || m.leaving {
		return
	}
	m.spawn(func() {
		if err := list.UpdateNode(updateTimeout); err != nil {
			m.log.Warn("membership: announcing the drain failed", "err", err)
		}
	})
}
