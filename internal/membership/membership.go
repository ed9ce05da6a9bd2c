// Package membership is the view that the agents of a site keep of each other: who is there,
// under which process, in which zone, and whether it drains. There is no server to it:
// it is SWIM with Lifeguard's extensions (hashicorp/memberlist), and what that leaves out.
//
// Its invariants, which internal/membershiptest checks over the histories of many processes:
// a process that runs is never declared dead by one that was not cut off from it; an identity
// that was replaced never returns; a leaver is neither doubted nor sought; incarnations and
// view numbers never go back; and once faults have ended all live processes come to the
// same digest, however long they were apart.
//
// What memberlist leaves out and this adds: its list is read whole (as the first half of a
// push/pull with nobody), so that a view carries suspicion and incarnations; two sides that
// declared each other dead find each other again; members compare digests in the answers
// to probes and exchange their lists where these stay different; an address that refuses
// calls shows at once that its process is gone; that another is dead is believed only of
// members that are surely there themselves; and packets and streams are checked before
// memberlist, which trusts lengths that it is told, reads them.
package membership

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/memberlist"
)

const (
	// The list is read snapshotEvery at the most often, and so seldom that reading takes a
	// snapshotShare of the time, but each snapshotSlowest: what a change costs is bounded
	// whatever the fleet's size, and less is done when the machine is short of time.
	minSnapshotInterval     = 100 * time.Millisecond
	maxSnapshotInterval     = time.Second
	maxSnapshotTimeFraction = 0.02
	// stallAfter is how late the reader of the list may be before this process is taken
	// to have stood still. What it then reads first is old: its timers have run out, and
	// what answered them waits in its sockets. So nothing is published for wakeFor.
	stallThreshold = time.Second
	stallQuietTime = 500 * time.Millisecond
	// bindEvery is how often a process looks whether the address that another process of
	// its agent has is free.
	bindRetryInterval = 100 * time.Millisecond
)

// Fleet is this process's part in its fleet.
type Membership struct {
	cfg             Config
	process         string
	baseIncarnation uint32        // below this process's incarnations, above those of earlier ones
	announced       chan struct{} // closed once this process is above base
	log             *logger
	traffic         traffic
	listChanged     chan struct{} // of one: the list may have changed

	snapshot     atomic.Pointer[Snapshot]
	list         atomic.Pointer[memberlist.Memberlist]
	transport    *transport
	draining     atomic.Bool
	stalls       atomic.Uint64
	reconnects   atomic.Uint64 // tries to reach a member or a seed
	exchanges    atomic.Uint64 // exchanges with members that had another digest
	declaredDead atomic.Uint64 // members that were declared dead as their address refused calls

	metas         metaCache
	mu            sync.Mutex
	table         *memberTable
	admitted      map[string]bool // admitted since the last snapshot, and its names
	differingPeer string          // a member whose digest was another, name/address
	differedAt    time.Time       // when one last was
	// exchanged is when lists were last exchanged with somebody; zero: never.
	exchangedAt   time.Time
	leaving       bool
	killed        bool
	shutdownMutex sync.Mutex // held while memberlist leaves or shuts down: it does one after the other

	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// Start joins the fleet that cfg names, in the background: it returns before anybody has
// answered, and an agent that finds nobody goes on alone and keeps trying. Where another
// process of this machine has the address (the old one, in an upgrade), this one waits
// until it has ended. The error is for a configuration that can't be used.
func Start(cfg Config) (*Membership, error) {
	m, err := newMembership(cfg)
	if err != nil {
		return nil, err
	}
	err = m.bind()
	switch {
	case errors.Is(err, syscall.EADDRINUSE):
		m.log.Info("fleet: another process has the address, waiting until it ends", "bind", cfg.Bind)
		m.spawn(m.waitForAddress)
	case err != nil:
		m.cancel()
		return nil, fmt.Errorf("fleet: %w", err)
	}
	return m, nil
}

// newFleet is a process's part that has not begun, with an identity and no socket.
func newMembership(cfg Config) (*Membership, error) {
	if err := cfg.complete(); err != nil {
		return nil, err
	}
	if cfg.Name == "" || len(cfg.Name) > maxNameBytes || strings.ContainsAny(cfg.Name, "/@") {
		return nil, fmt.Errorf("fleet: name %q: must have 1 to %d bytes and neither / nor @", cfg.Name, maxNameBytes)
	}
	if cfg.Size < 1 {
		return nil, fmt.Errorf("fleet: the size of the fleet must be 1 at least, is %d", cfg.Size)
	}
	var id [8]byte
	rand.Read(id[:]) // never fails
	if cfg.Log == nil {
		cfg.Log = slog.Default()
	}
	m := &Membership{cfg: cfg, process: hex.EncodeToString(id[:]), log: newLogger(cfg.Log),
		listChanged: make(chan struct{}, 1), announced: make(chan struct{}), admitted: map[string]bool{}}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.table = newMemberTable(&m.cfg, m.process, time.Now())
	m.snapshot.Store(m.table.snapshot)
	return m, nil
}

func (m *Membership) spawn(task func()) {
	m.tasks.Add(1)
	go func() {
		defer m.tasks.Done()
		task()
	}()
}

// standBy binds as soon as the address is free.
func (m *Membership) waitForAddress() {
	look := time.NewTicker(bindRetryInterval)
	defer look.Stop()
	for {
		select {
		case <-look.C:
			err := m.bind()
			if err == nil {
				m.log.Info("fleet: the address is this process's now", "bind", m.cfg.Bind)
				return
			}
			if !errors.Is(err, syscall.EADDRINUSE) {
				m.log.Warn("fleet: the address can't be used", "bind", m.cfg.Bind, "err", err)
			}
		case <-m.ctx.Done():
			return
		}
	}
}

// bind opens the sockets and begins to take part.
func (m *Membership) bind() error {
	sockets, err := newTransport(&m.cfg, m.log.std(), &m.traffic, m.notifyListChanged, m.trustsDeathReport)
	if err != nil {
		return err
	}
	if err := m.run(sockets, sockets); err != nil {
		sockets.Shutdown()
		return err
	}
	return nil
}

// begin takes part over a transport; below is what memberlist is given of it, which only a test
// has as another.
func (m *Membership) run(sockets *transport, below memberlist.NodeAwareTransport) error {
	m.transport, sockets.onAlive = sockets, m.liftRetirements
	list, err := memberlist.Create(m.listConfig(below))
	if err != nil {
		return err
	}
	m.list.Store(list)
	m.baseIncarnation = startIncarnation(m.cfg.clock().Wall())
	if err := m.raiseIncarnation(list); err != nil {
		list.Shutdown()
		return err
	}
	m.notifyListChanged()
	m.spawn(m.publishSnapshots)
	m.spawn(m.runReconnects)
	m.spawn(m.confirmSuspects)
	m.spawn(m.watchSuccessors)
	return nil
}

// exceed brings this process's incarnation above base, before it returns: memberlist counts from one, and
// what is still told of an earlier process of this name would be taken for words about this one. A
// doubt of itself makes it refute with a higher one. The doubt comes as the list of nobody, which is
// taken over at once; one that came as a packet would only be queued, and no event of memberlist's
// tells of the refutation of one that is alone.
func (m *Membership) raiseIncarnation(list *memberlist.Memberlist) error {
	node := list.LocalNode()
	doubt := encodeMessage(msgPushPull, pushPullHeader{Nodes: 1})
	doubt = append(doubt, encodeMessage(0, pushNode{Name: node.Name, Addr: node.Addr, Port: node.Port, Meta: node.Meta,
		Incarnation: m.baseIncarnation, State: memberlist.StateSuspect,
		Vsn: []uint8{node.PMin, node.PMax, node.PCur, node.DMin, node.DMax, node.DCur}})[1:]...)
	m.transport.suspicionOfSelf = doubt
	if _, err := list.Join([]string{suspicionPeer + "/" + m.cfg.Advertise}); err != nil {
		return fmt.Errorf("beginning above earlier processes: %w", err)
	}
	return nil
}

// startIncarnation is where a process that starts now begins to count: quarters of a second
// since 2026 began, which a uint32 holds for 34 years. The clock is that of one machine,
// an agent's own, over its restarts; where it went back, this process begins below earlier ones,
// refutes what it is told of them, and liftBar sees to those who took it for the earlier one.
func startIncarnation(wall time.Time) uint32 {
	return uint32(max(0, wall.Sub(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))/(250*time.Millisecond)))
}

// listConfig is memberlist's configuration: its timings mostly in the proportions that it has
// by default, with a suspicion that lasts at least SuspectTimeoutMs.
func (m *Membership) listConfig(below memberlist.NodeAwareTransport) *memberlist.Config {
	c := memberlist.DefaultLANConfig()
	adv, _ := net.ResolveTCPAddr("tcp", m.cfg.Advertise) // complete has checked it
	c.Name, c.Label, c.Transport = m.cfg.Name, m.cfg.Site, below
	c.BindPort, c.AdvertiseAddr, c.AdvertisePort = adv.Port, adv.IP.String(), adv.Port
	c.CIDRsAllowed = m.cfg.networks()
	c.EnableCompression = false
	c.TCPTimeout = streamTimeout
	c.ProbeInterval = milliseconds(m.cfg.ProbeIntervalMs)
	c.ProbeTimeout = c.ProbeInterval / 2
	c.SuspicionMult, c.SuspicionMaxTimeoutMult = m.cfg.suspicionMultiplier(), suspicionMaxMultiplier
	// What is told in a round costs nothing when there is nothing to tell, and after a heal or a
	// start all members are: the rounds, not the processors, are what that waits for.
	c.GossipInterval, c.GossipNodes, c.RetransmitMult = max(c.ProbeInterval/20, 20*time.Millisecond), 6, 3
	c.GossipToTheDeadTime = milliseconds(m.cfg.ForgetMs)
	c.DeadNodeReclaimTime = milliseconds(m.cfg.ReclaimMs)
	c.HandoffQueueDepth = 4096
	c.Logger = m.log.std()
	c.Delegate, c.Events, c.Alive, c.Ping = m, m, m, m
	return c
}

// wordCounts tells whether a member's word that another is dead counts here: it does while the
// member itself is surely there, as in a Conclusion, and, where it came back from the dead or
// from a long doubt, once the suspicions have run out that it may have begun on the other side of a cut. Any other's
// word makes a suspicion, which the accused hears of and refutes.
func (m *Membership) trustsDeathReport(accuser, accused string) bool {
	snapshot, now := m.snapshot.Load(), time.Now()
	member, ok := snapshot.Member(accuser)
	if !ok || accuser != m.cfg.Name && (!member.isStable(now, milliseconds(m.cfg.SettleMs)) || !member.returnedAt.IsZero() && now.Sub(member.returnedAt) < m.cfg.maxSuspicion(len(snapshot.Members))) {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.admitted[accused] { // what is said of nobody is not kept
		m.table.deathReporters[accused] = accuser
	}
	return true
}

// tell says that the list may have changed; it never waits.
func (m *Membership) notifyListChanged() {
	select {
	case m.listChanged <- struct{}{}:
	default:
	}
}

// View is the view as it is now.
func (m *Membership) Snapshot() *Snapshot { return m.snapshot.Load() }

// SetDraining tells the others whether this agent empties; it does not wait for them.
func (m *Membership) SetDraining(on bool) {
	if m.draining.Swap(on) == on {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if list := m.list.Load(); list != nil && !m.leaving {
		m.spawn(func() {
			if err := list.UpdateNode(time.Second); err != nil {
				m.log.Warn("fleet: telling of the drain", "err", err)
			}
		})
	}
}

// Leave tells the others that this process ends, for LeaveMs at the most, and closes all.
// It may be called once.
func (m *Membership) Leave() {
	m.mu.Lock()
	m.leaving = true
	killed := m.killed
	m.mu.Unlock()
	m.cancel()
	if killed {
		return
	}
	m.shutdownMutex.Lock()
	if list := m.list.Load(); list != nil && !m.killedSockets() {
		if err := list.Leave(milliseconds(m.cfg.LeaveMs)); err != nil {
			m.log.Warn("fleet: not all may have heard that this process ends", "err", err)
		}
	}
	m.shutdownMutex.Unlock()
	m.tasks.Wait()
	m.shutdown()
}

// Kill closes all at once and tells nobody: to the others it is as if the process had been
// killed. It may be called at any time, also during Leave and after it, and returns once all that
// the view ran has ended.
func (m *Membership) Kill() {
	m.mu.Lock()
	m.leaving, m.killed = true, true
	m.mu.Unlock()
	m.cancel()
	if m.list.Load() != nil {
		m.transport.kill()
	}
	m.shutdown()
	m.tasks.Wait()
	m.shutdown() // where it was bound meanwhile
}

// cut tells whether the process's sockets are closed already.
func (m *Membership) killedSockets() bool { return m.transport.ctx.Err() != nil }

// shutdown ends memberlist, if it runs.
func (m *Membership) shutdown() {
	m.shutdownMutex.Lock()
	defer m.shutdownMutex.Unlock()
	if list := m.list.Load(); list != nil {
		list.Shutdown()
	}
}

// publish reads the list when it may have changed, at most every snapshotEvery, and
// publishes a view where it did change.
func (m *Membership) publishSnapshots() {
	tick := time.NewTicker(minSnapshotInterval)
	defer tick.Stop()
	last, quiet, next, low := time.Now(), time.Time{}, time.Time{}, true
	for {
		select {
		case <-tick.C:
		case <-m.ctx.Done():
			return
		}
		now := time.Now()
		if now.Sub(last) > stallThreshold {
			m.stalls.Add(1)
			m.log.Warn("fleet: this process stood still", "for", now.Sub(last).Round(time.Millisecond))
			quiet = now.Add(stallQuietTime)
		}
		last = now
		if now.Before(quiet) {
			continue
		}
		if now.Before(next) {
			continue
		}
		select {
		case <-m.listChanged:
		default:
			continue
		}
		snapshot := m.readSnapshot(now)
		took := time.Since(now)
		next = now.Add(min(maxSnapshotInterval, time.Duration(float64(took)/maxSnapshotTimeFraction)))
		if snapshot != nil {
			if self, _ := snapshot.Member(m.cfg.Name); low && self.Incarnation > m.baseIncarnation {
				low = false
				m.announce()
			}
			m.snapshot.Store(snapshot)
			if m.cfg.OnSnapshot != nil {
				m.cfg.OnSnapshot(snapshot)
			}
		}
		last = time.Now() // what telling took is no stall
	}
}

// rise lets this process be heard of and hear, as it is above all earlier ones. Memberlist
// keeps the word of its first incarnation, one, among what it has to tell, beside the
// refutation; a word by the same name takes its place. (Told, it was taken by those who had
// just started themselves, then an earlier process's word for a later one.)
func (m *Membership) announce() {
	if err := m.list.Load().UpdateNode(time.Second); err != nil {
		m.log.Warn("fleet: telling of the start", "err", err)
	}
	m.notifyListChanged() // memberlist tells nobody of a word without other news, and alone it gossips nothing
	close(m.announced)
	close(m.transport.announced)
}

// snapshot reads memberlist's list and gives the new view, or nil if it did not change.
func (m *Membership) readSnapshot(now time.Time) *Snapshot {
	m.transport.recordedList = nil
	// The push/pull with nobody always fails; what counts is what was recorded.
	_, _ = m.list.Load().Join([]string{listPeer + "/" + m.cfg.Advertise})
	if m.transport.recordedList == nil {
		return nil
	}
	nodes, err := readPushPull(m.transport.recordedList[1:], 1<<20)
	if err != nil {
		m.log.Warn("fleet: the list can't be read", "err", err)
		return nil
	}
	members := make([]Member, 0, len(nodes))
	names := make(map[string]bool, len(nodes))
	for _, n := range nodes {
		parsed, err := m.metas.parse(n.Meta)
		if err != nil {
			continue // NotifyAlive lets none in
		}
		names[n.Name] = true
		members = append(members, Member{Name: n.Name, Process: parsed.Process, Zone: parsed.Zone, Version: parsed.Version, Draining: parsed.Draining,
			State:       [...]State{Alive, Suspect, Dead, Left}[n.State&3],
			Incarnation: n.Incarnation, Addr: net.JoinHostPort(net.IP(n.Addr).String(), fmt.Sprint(n.Port))})
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.admitted = names
	if !m.table.update(members, now) {
		return nil
	}
	return m.table.snapshot
}

// Status is what operators see of a fleet view.
type Status struct {
	*Snapshot
	Assessment
	UnchangedMs int64 `json:"unchanged_ms"`
	// Member tells whether this process takes part; if not, another of its agent has the
	// address, or it has left.
	Member bool `json:"member"`
	// Health is Lifeguard's local health: 0 is well, more makes this process slower to
	// doubt others.
	Health  int               `json:"health"`
	Traffic map[string]uint64 `json:"traffic"`
	Changes []Change          `json:"changes,omitempty"`
}

// Brief is the status without the members.
func (s Status) WithoutMembers() Status {
	brief := *s.Snapshot
	brief.Members = nil
	s.Snapshot = &brief
	return s
}

// Status is what this process knows, with the changes of its view after number since.
func (m *Membership) Status(since uint64) Status {
	now := time.Now()
	m.mu.Lock()
	snapshot := m.table.snapshot
	var changes []Change
	for _, c := range m.table.changes {
		if c.Number > since {
			changes = append(changes, c)
		}
	}
	leaving := m.leaving
	m.mu.Unlock()
	s := Status{Snapshot: snapshot, Assessment: snapshot.Assess(now), UnchangedMs: now.Sub(snapshot.changedAt).Milliseconds(), Changes: changes}
	if list := m.list.Load(); list != nil {
		s.Member, s.Health = !leaving, list.GetHealthScore()
	}
	counts := &m.traffic
	s.Traffic = map[string]uint64{"packets_in": counts.packetsIn.Load(), "bytes_in": counts.bytesIn.Load(),
		"packets_out": counts.packetsOut.Load(), "bytes_out": counts.bytesOut.Load(), "streams": counts.streams.Load(), "streams_out": counts.streamsOut.Load(),
		"stream_bytes_in": counts.streamBytesIn.Load(), "stream_bytes_out": counts.streamBytesOut.Load(),
		"bad_packets": counts.badPackets.Load(), "bad_streams": counts.badStreams.Load(), "foreign": counts.foreignSite.Load(),
		"rejected": counts.rejected.Load(), "hearsay": counts.demotedDeaths.Load(), "reconnects": m.reconnects.Load(), "syncs": m.exchanges.Load(),
		"declared_gone": m.declaredDead.Load(), "stalls": m.stalls.Load(), "unlogged": m.log.dropped.Load()}
	return s
}

// ---- what memberlist asks and tells (its goroutines, some under its lock) ----

// NodeMeta is what this process tells of itself.
func (m *Membership) NodeMeta(int) []byte {
	return meta{Process: m.process, Zone: m.cfg.Zone, Version: m.cfg.Version, Draining: m.draining.Load()}.bytes()
}

// NotifyAlive refuses members that can't be one of ours: it is the only way into the list.
func (m *Membership) NotifyAlive(node *memberlist.Node) error {
	err := m.checkMember(node)
	if err != nil {
		m.traffic.rejected.Add(1)
	}
	return err
}

func (m *Membership) checkMember(node *memberlist.Node) error {
	if node.Name == m.cfg.Name {
		return nil // what is wrong of it is refuted
	}
	parsed, err := m.metas.parse(node.Meta)
	if err != nil {
		return err
	}
	if node.Name == "" || len(node.Name) > maxNameBytes || strings.ContainsAny(node.Name, "/@") || len(node.Addr) != 4 && len(node.Addr) != 16 {
		return errors.New("a name or an address that none has")
	}
	// A version that none of ours speaks would make every exchange of lists fail.
	const version = memberlist.ProtocolVersion2Compatible
	if node.PMin > version || node.PMax < version || node.PCur != version || node.DMin|node.DMax|node.DCur != 0 {
		return errors.New("another version of the protocol")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.table.isRetired(node.Name, parsed.Process, time.Now()) {
		return errors.New("a process that was replaced")
	}
	if !m.admitted[node.Name] {
		if len(m.admitted) >= m.cfg.maxMembers() {
			return errors.New("too many members")
		}
		m.admitted[node.Name] = true
	}
	return nil
}

// NotifyJoin, NotifyLeave and NotifyUpdate tell that the list has changed.
func (m *Membership) NotifyJoin(*memberlist.Node)   { m.notifyListChanged() }
func (m *Membership) NotifyLeave(*memberlist.Node)  { m.notifyListChanged() }
func (m *Membership) NotifyUpdate(*memberlist.Node) { m.notifyListChanged() }

// AckPayload is this process's digest, which goes with each answer to a probe.
func (m *Membership) AckPayload() []byte {
	return binary.BigEndian.AppendUint64(nil, m.snapshot.Load().digest)
}

// NotifyPingComplete compares a member's digest with this process's. While a change runs
// through the fleet they differ; where they still do after a settled time, lists are exchanged.
func (m *Membership) NotifyPingComplete(node *memberlist.Node, _ time.Duration, payload []byte) {
	if len(payload) != 8 {
		return
	}
	snapshot, now := m.snapshot.Load(), time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if binary.BigEndian.Uint64(payload) == snapshot.digest || now.Sub(snapshot.digestSince) < m.digestSettleTime() && now.Sub(m.exchangedAt) < 2*m.digestSettleTime() {
		return
	}
	m.differingPeer = node.Name + "/" + node.Address()
	m.differedAt = now
}

// differFor is how long the digest is unchanged before another is looked into: some rounds
// of the gossip. (Doubts that come and go do not count: in a large fleet some always do.)
// Where it never rests, as one member after the other is heard of, it is twice as long since
// the last exchange of lists.
func (m *Membership) digestSettleTime() time.Duration { return 3 * milliseconds(m.cfg.ProbeIntervalMs) }

// NotifyMsg, GetBroadcasts, LocalState and MergeRemoteState carry nothing yet.
func (m *Membership) NotifyMsg([]byte)                           {}
func (m *Membership) GetBroadcasts(overhead, limit int) [][]byte { return nil }
func (m *Membership) LocalState(bool) []byte                     { return nil }
func (m *Membership) MergeRemoteState([]byte, bool)              {}
