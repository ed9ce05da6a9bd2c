// Package membership maintains each agent's view of the other agents of its site: which agents are present, the
// identity and zone of each one's process, and whether it is draining. There is no server: the protocol is SWIM with
// the Lifeguard extensions, as implemented by hashicorp/memberlist, with the additions below.
//
// The package maintains these invariants, which internal/membershiptest checks on recorded histories of many processes:
//
//   - A running process is never declared dead by one that was not partitioned from it.
//   - The identity of a process that was replaced never returns.
//   - An agent that leaves is neither suspected nor reconnected to.
//   - Incarnations and snapshot numbers never decrease.
//   - Once faults have ended, all running processes converge to the same digest, however long they were partitioned.
//
// It adds to memberlist:
//
//   - memberlist's list is read in full, as the first half of a local push/pull, so that snapshots include suspicions
//     and incarnations.
//   - Two sides of a partition that declared each other dead find each other again.
//   - Members compare digests, which are sent with the responses to probes, and exchange their lists if the digests
//     stay different.
//   - A process whose address refuses connections is declared dead immediately.
//   - A death report is believed only from a member that is certainly present itself.
//   - Packets and streams are checked before memberlist reads them, because it trusts the lengths in them.
package membership

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/memberlist"
)

const (
	// bindRetryInterval is the interval at which a process tries to bind an address that is in use.
	bindRetryInterval = 100 * time.Millisecond
	// updateTimeout bounds the time that memberlist may take to send this process's changed metadata.
	updateTimeout = time.Second
)

// Membership is this process's participation in the membership of its site. Create one with Start.
type Membership struct {
	cfg             Config
	process         string
	baseIncarnation uint32        // lower than this process's incarnations, higher than those of earlier processes
	announced       chan struct{} // closed once this process's incarnation is above baseIncarnation
	log             *logger
	counters        counters
	listChanged     chan struct{} // capacity one; has an element if the list may have changed

	snapshot  atomic.Pointer[Snapshot]
	list      atomic.Pointer[memberlist.Memberlist]
	transport *transport
	draining  atomic.Bool

	metas         metaCache
	mu            sync.Mutex // guards the fields from table to killed
	table         *memberTable
	admitted      map[string]bool // names in the list when it was last read, and those admitted since
	differingPeer *peerAddress    // a member whose digest differed, or nil
	differedAt    time.Time       // when a digest last differed
	exchangedAt   time.Time       // when lists were last exchanged with a peer; zero if never
	leaving       bool
	killed        bool
	shutdownMu    sync.Mutex // held while memberlist leaves or shuts down, which must not overlap

	stop  context.CancelFunc // cancels the context of the tasks
	tasks sync.WaitGroup
}

// Start joins the other agents in the background. It returns before any of them has responded; an agent that reaches no
// other runs alone and keeps trying. If another process of this machine has bound the address, such as the old process
// during an upgrade, this process waits until that one has ended. Start returns an error if the configuration can't be
// used.
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

// newMembership checks the configuration and generates the process's identity. It opens no sockets.
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
	cfg.changedSize = new(atomic.Int64)
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

// newProcessID generates a random process identity.
func newProcessID() string {
	var id [processIDLength / 2]byte
	_, _ = rand.Read(id[:]) // never returns an error
	return hex.EncodeToString(id[:])
}

// isValidName reports whether a member may have the name. A slash separates name and address in memberlist's addresses,
// and names with @ are reserved for the local streams.
func isValidName(name string) bool {
	return name != "" && len(name) <= maxNameBytes && !strings.ContainsAny(name, "/@")
}

// spawn runs a task in a goroutine that Leave and Kill wait for.
func (m *Membership) spawn(task func()) {
	m.tasks.Add(1)
	go func() {
		defer m.tasks.Done()
		task()
	}()
}

// waitForAddress retries bind until it succeeds or the context is done.
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

// bind opens the sockets and participates until the context is done.
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

// messageHandlers returns the handlers for this process's transport.
func (m *Membership) messageHandlers() messageHandlers {
	return messageHandlers{
		onStateMessage:    m.notifyListChanged,
		acceptDeathReport: m.acceptDeathReport,
		onAlive:           m.liftRetirements,
	}
}

// run starts memberlist and the background tasks, which participate until the context is done. underlying is the
// transport that memberlist uses; it is the same as sockets except in a test.
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

// notifyListChanged notifies publishSnapshots that the list may have changed. It never blocks.
func (m *Membership) notifyListChanged() {
	select {
	case m.listChanged <- struct{}{}:
	default:
	}
}

// Snapshot returns the current snapshot.
func (m *Membership) Snapshot() *Snapshot { return m.snapshot.Load() }

// SetFleetSize changes the fleet size. The snapshot follows in the background, like a change of a member.
func (m *Membership) SetFleetSize(size int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if size < 1 || size == m.cfg.fleetSize() {
		return
	}
	m.cfg.changedSize.Store(int64(size))
	if m.list.Load() == nil { // nothing reads the list yet
		m.table.replaceSnapshot(slices.Clone(m.table.snapshot.Members), time.Now())
		m.snapshot.Store(m.table.snapshot)
		return
	}
	m.notifyListChanged()
}

// SetDraining sets whether this agent is draining, and announces a change in the background.
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
