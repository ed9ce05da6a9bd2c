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
	f, err := newMembership(cfg)
	if err != nil {
		return nil, err
	}
	err = f.bind()
	switch {
	case errors.Is(err, syscall.EADDRINUSE):
		f.log.Info("fleet: another process has the address, waiting until it ends", "bind", cfg.Bind)
		f.spawn(f.waitForAddress)
	case err != nil:
		f.cancel()
		return nil, fmt.Errorf("fleet: %w", err)
	}
	return f, nil
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
	f := &Membership{cfg: cfg, process: hex.EncodeToString(id[:]), log: newLogger(cfg.Log),
		listChanged: make(chan struct{}, 1), announced: make(chan struct{}), admitted: map[string]bool{}}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.table = newMemberTable(&f.cfg, f.process, time.Now())
	f.snapshot.Store(f.table.snapshot)
	return f, nil
}

func (f *Membership) spawn(task func()) {
	f.tasks.Add(1)
	go func() {
		defer f.tasks.Done()
		task()
	}()
}

// standBy binds as soon as the address is free.
func (f *Membership) waitForAddress() {
	look := time.NewTicker(bindRetryInterval)
	defer look.Stop()
	for {
		select {
		case <-look.C:
			err := f.bind()
			if err == nil {
				f.log.Info("fleet: the address is this process's now", "bind", f.cfg.Bind)
				return
			}
			if !errors.Is(err, syscall.EADDRINUSE) {
				f.log.Warn("fleet: the address can't be used", "bind", f.cfg.Bind, "err", err)
			}
		case <-f.ctx.Done():
			return
		}
	}
}

// bind opens the sockets and begins to take part.
func (f *Membership) bind() error {
	tr, err := newTransport(&f.cfg, f.log.std(), &f.traffic, f.notifyListChanged, f.trustsDeathReport)
	if err != nil {
		return err
	}
	if err := f.run(tr, tr); err != nil {
		tr.Shutdown()
		return err
	}
	return nil
}

// begin takes part over a transport; below is what memberlist is given of it, which only a test
// has as another.
func (f *Membership) run(tr *transport, below memberlist.NodeAwareTransport) error {
	f.transport, tr.onAlive = tr, f.liftRetirements
	list, err := memberlist.Create(f.listConfig(below))
	if err != nil {
		return err
	}
	f.list.Store(list)
	f.baseIncarnation = startIncarnation(f.cfg.clock().Wall())
	if err := f.raiseIncarnation(list); err != nil {
		list.Shutdown()
		return err
	}
	f.notifyListChanged()
	f.spawn(f.publishSnapshots)
	f.spawn(f.runReconnects)
	f.spawn(f.confirmSuspects)
	f.spawn(f.watchSuccessors)
	return nil
}

// exceed brings this process's incarnation above base, before it returns: memberlist counts from one, and
// what is still told of an earlier process of this name would be taken for words about this one. A
// doubt of itself makes it refute with a higher one. The doubt comes as the list of nobody, which is
// taken over at once; one that came as a packet would only be queued, and no event of memberlist's
// tells of the refutation of one that is alone.
func (f *Membership) raiseIncarnation(list *memberlist.Memberlist) error {
	n := list.LocalNode()
	doubt := encodeMessage(msgPushPull, pushPullHeader{Nodes: 1})
	doubt = append(doubt, encodeMessage(0, pushNode{Name: n.Name, Addr: n.Addr, Port: n.Port, Meta: n.Meta,
		Incarnation: f.baseIncarnation, State: memberlist.StateSuspect,
		Vsn: []uint8{n.PMin, n.PMax, n.PCur, n.DMin, n.DMax, n.DCur}})[1:]...)
	f.transport.suspicionOfSelf = doubt
	if _, err := list.Join([]string{suspicionPeer + "/" + f.cfg.Advertise}); err != nil {
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
func (f *Membership) listConfig(below memberlist.NodeAwareTransport) *memberlist.Config {
	c := memberlist.DefaultLANConfig()
	adv, _ := net.ResolveTCPAddr("tcp", f.cfg.Advertise) // complete has checked it
	c.Name, c.Label, c.Transport = f.cfg.Name, f.cfg.Site, below
	c.BindPort, c.AdvertiseAddr, c.AdvertisePort = adv.Port, adv.IP.String(), adv.Port
	c.CIDRsAllowed = f.cfg.networks()
	c.EnableCompression = false
	c.TCPTimeout = streamTimeout
	c.ProbeInterval = milliseconds(f.cfg.ProbeIntervalMs)
	c.ProbeTimeout = c.ProbeInterval / 2
	c.SuspicionMult, c.SuspicionMaxTimeoutMult = f.cfg.suspicionMultiplier(), suspicionMaxMultiplier
	// What is told in a round costs nothing when there is nothing to tell, and after a heal or a
	// start all members are: the rounds, not the processors, are what that waits for.
	c.GossipInterval, c.GossipNodes, c.RetransmitMult = max(c.ProbeInterval/20, 20*time.Millisecond), 6, 3
	c.GossipToTheDeadTime = milliseconds(f.cfg.ForgetMs)
	c.DeadNodeReclaimTime = milliseconds(f.cfg.ReclaimMs)
	c.HandoffQueueDepth = 4096
	c.Logger = f.log.std()
	c.Delegate, c.Events, c.Alive, c.Ping = f, f, f, f
	return c
}

// wordCounts tells whether a member's word that another is dead counts here: it does while the
// member itself is surely there, as in a Conclusion, and, where it came back from the dead or
// from a long doubt, once the suspicions have run out that it may have begun on the other side of a cut. Any other's
// word makes a suspicion, which the accused hears of and refutes.
func (f *Membership) trustsDeathReport(accuser, accused string) bool {
	v, now := f.snapshot.Load(), time.Now()
	m, ok := v.Member(accuser)
	if !ok || accuser != f.cfg.Name && (!m.isStable(now, milliseconds(f.cfg.SettleMs)) || !m.returnedAt.IsZero() && now.Sub(m.returnedAt) < f.cfg.maxSuspicion(len(v.Members))) {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.admitted[accused] { // what is said of nobody is not kept
		f.table.deathReporters[accused] = accuser
	}
	return true
}

// tell says that the list may have changed; it never waits.
func (f *Membership) notifyListChanged() {
	select {
	case f.listChanged <- struct{}{}:
	default:
	}
}

// View is the view as it is now.
func (f *Membership) Snapshot() *Snapshot { return f.snapshot.Load() }

// SetDraining tells the others whether this agent empties; it does not wait for them.
func (f *Membership) SetDraining(on bool) {
	if f.draining.Swap(on) == on {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if list := f.list.Load(); list != nil && !f.leaving {
		f.spawn(func() {
			if err := list.UpdateNode(time.Second); err != nil {
				f.log.Warn("fleet: telling of the drain", "err", err)
			}
		})
	}
}

// Leave tells the others that this process ends, for LeaveMs at the most, and closes all.
// It may be called once.
func (f *Membership) Leave() {
	f.mu.Lock()
	f.leaving = true
	killed := f.killed
	f.mu.Unlock()
	f.cancel()
	if killed {
		return
	}
	f.shutdownMutex.Lock()
	if list := f.list.Load(); list != nil && !f.killedSockets() {
		if err := list.Leave(milliseconds(f.cfg.LeaveMs)); err != nil {
			f.log.Warn("fleet: not all may have heard that this process ends", "err", err)
		}
	}
	f.shutdownMutex.Unlock()
	f.tasks.Wait()
	f.shutdown()
}

// Kill closes all at once and tells nobody: to the others it is as if the process had been
// killed. It may be called at any time, also during Leave and after it, and returns once all that
// the view ran has ended.
func (f *Membership) Kill() {
	f.mu.Lock()
	f.leaving, f.killed = true, true
	f.mu.Unlock()
	f.cancel()
	if f.list.Load() != nil {
		f.transport.kill()
	}
	f.shutdown()
	f.tasks.Wait()
	f.shutdown() // where it was bound meanwhile
}

// cut tells whether the process's sockets are closed already.
func (f *Membership) killedSockets() bool { return f.transport.ctx.Err() != nil }

// shutdown ends memberlist, if it runs.
func (f *Membership) shutdown() {
	f.shutdownMutex.Lock()
	defer f.shutdownMutex.Unlock()
	if list := f.list.Load(); list != nil {
		list.Shutdown()
	}
}

// publish reads the list when it may have changed, at most every snapshotEvery, and
// publishes a view where it did change.
func (f *Membership) publishSnapshots() {
	tick := time.NewTicker(minSnapshotInterval)
	defer tick.Stop()
	last, quiet, next, low := time.Now(), time.Time{}, time.Time{}, true
	for {
		select {
		case <-tick.C:
		case <-f.ctx.Done():
			return
		}
		now := time.Now()
		if now.Sub(last) > stallThreshold {
			f.stalls.Add(1)
			f.log.Warn("fleet: this process stood still", "for", now.Sub(last).Round(time.Millisecond))
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
		case <-f.listChanged:
		default:
			continue
		}
		v := f.readSnapshot(now)
		took := time.Since(now)
		next = now.Add(min(maxSnapshotInterval, time.Duration(float64(took)/maxSnapshotTimeFraction)))
		if v != nil {
			if self, _ := v.Member(f.cfg.Name); low && self.Incarnation > f.baseIncarnation {
				low = false
				f.announce()
			}
			f.snapshot.Store(v)
			if f.cfg.OnSnapshot != nil {
				f.cfg.OnSnapshot(v)
			}
		}
		last = time.Now() // what telling took is no stall
	}
}

// rise lets this process be heard of and hear, as it is above all earlier ones. Memberlist
// keeps the word of its first incarnation, one, among what it has to tell, beside the
// refutation; a word by the same name takes its place. (Told, it was taken by those who had
// just started themselves, then an earlier process's word for a later one.)
func (f *Membership) announce() {
	if err := f.list.Load().UpdateNode(time.Second); err != nil {
		f.log.Warn("fleet: telling of the start", "err", err)
	}
	f.notifyListChanged() // memberlist tells nobody of a word without other news, and alone it gossips nothing
	close(f.announced)
	close(f.transport.announced)
}

// snapshot reads memberlist's list and gives the new view, or nil if it did not change.
func (f *Membership) readSnapshot(now time.Time) *Snapshot {
	f.transport.recordedList = nil
	// The push/pull with nobody always fails; what counts is what was recorded.
	_, _ = f.list.Load().Join([]string{listPeer + "/" + f.cfg.Advertise})
	if f.transport.recordedList == nil {
		return nil
	}
	nodes, err := readPushPull(f.transport.recordedList[1:], 1<<20)
	if err != nil {
		f.log.Warn("fleet: the list can't be read", "err", err)
		return nil
	}
	members := make([]Member, 0, len(nodes))
	names := make(map[string]bool, len(nodes))
	for _, n := range nodes {
		m, err := f.metas.parse(n.Meta)
		if err != nil {
			continue // NotifyAlive lets none in
		}
		names[n.Name] = true
		members = append(members, Member{Name: n.Name, Process: m.Process, Zone: m.Zone, Version: m.Version, Draining: m.Draining,
			State:       [...]State{Alive, Suspect, Dead, Left}[n.State&3],
			Incarnation: n.Incarnation, Addr: net.JoinHostPort(net.IP(n.Addr).String(), fmt.Sprint(n.Port))})
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.admitted = names
	if !f.table.update(members, now) {
		return nil
	}
	return f.table.snapshot
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
	v := *s.Snapshot
	v.Members = nil
	s.Snapshot = &v
	return s
}

// Status is what this process knows, with the changes of its view after number since.
func (f *Membership) Status(since uint64) Status {
	now := time.Now()
	f.mu.Lock()
	v := f.table.snapshot
	var changes []Change
	for _, c := range f.table.changes {
		if c.Number > since {
			changes = append(changes, c)
		}
	}
	leaving := f.leaving
	f.mu.Unlock()
	s := Status{Snapshot: v, Assessment: v.Assess(now), UnchangedMs: now.Sub(v.changedAt).Milliseconds(), Changes: changes}
	if list := f.list.Load(); list != nil {
		s.Member, s.Health = !leaving, list.GetHealthScore()
	}
	n := &f.traffic
	s.Traffic = map[string]uint64{"packets_in": n.packetsIn.Load(), "bytes_in": n.bytesIn.Load(),
		"packets_out": n.packetsOut.Load(), "bytes_out": n.bytesOut.Load(), "streams": n.streams.Load(), "streams_out": n.streamsOut.Load(),
		"stream_bytes_in": n.streamBytesIn.Load(), "stream_bytes_out": n.streamBytesOut.Load(),
		"bad_packets": n.badPackets.Load(), "bad_streams": n.badStreams.Load(), "foreign": n.foreignSite.Load(),
		"rejected": n.rejected.Load(), "hearsay": n.demotedDeaths.Load(), "reconnects": f.reconnects.Load(), "syncs": f.exchanges.Load(),
		"declared_gone": f.declaredDead.Load(), "stalls": f.stalls.Load(), "unlogged": f.log.dropped.Load()}
	return s
}

// ---- what memberlist asks and tells (its goroutines, some under its lock) ----

// NodeMeta is what this process tells of itself.
func (f *Membership) NodeMeta(int) []byte {
	return meta{Process: f.process, Zone: f.cfg.Zone, Version: f.cfg.Version, Draining: f.draining.Load()}.bytes()
}

// NotifyAlive refuses members that can't be one of ours: it is the only way into the list.
func (f *Membership) NotifyAlive(n *memberlist.Node) error {
	err := f.checkMember(n)
	if err != nil {
		f.traffic.rejected.Add(1)
	}
	return err
}

func (f *Membership) checkMember(n *memberlist.Node) error {
	if n.Name == f.cfg.Name {
		return nil // what is wrong of it is refuted
	}
	m, err := f.metas.parse(n.Meta)
	if err != nil {
		return err
	}
	if n.Name == "" || len(n.Name) > maxNameBytes || strings.ContainsAny(n.Name, "/@") || len(n.Addr) != 4 && len(n.Addr) != 16 {
		return errors.New("a name or an address that none has")
	}
	// A version that none of ours speaks would make every exchange of lists fail.
	const version = memberlist.ProtocolVersion2Compatible
	if n.PMin > version || n.PMax < version || n.PCur != version || n.DMin|n.DMax|n.DCur != 0 {
		return errors.New("another version of the protocol")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.table.isRetired(n.Name, m.Process, time.Now()) {
		return errors.New("a process that was replaced")
	}
	if !f.admitted[n.Name] {
		if len(f.admitted) >= f.cfg.maxMembers() {
			return errors.New("too many members")
		}
		f.admitted[n.Name] = true
	}
	return nil
}

// NotifyJoin, NotifyLeave and NotifyUpdate tell that the list has changed.
func (f *Membership) NotifyJoin(*memberlist.Node)   { f.notifyListChanged() }
func (f *Membership) NotifyLeave(*memberlist.Node)  { f.notifyListChanged() }
func (f *Membership) NotifyUpdate(*memberlist.Node) { f.notifyListChanged() }

// AckPayload is this process's digest, which goes with each answer to a probe.
func (f *Membership) AckPayload() []byte {
	return binary.BigEndian.AppendUint64(nil, f.snapshot.Load().digest)
}

// NotifyPingComplete compares a member's digest with this process's. While a change runs
// through the fleet they differ; where they still do after a settled time, lists are exchanged.
func (f *Membership) NotifyPingComplete(n *memberlist.Node, _ time.Duration, payload []byte) {
	if len(payload) != 8 {
		return
	}
	v, now := f.snapshot.Load(), time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if binary.BigEndian.Uint64(payload) == v.digest || now.Sub(v.digestSince) < f.digestSettleTime() && now.Sub(f.exchangedAt) < 2*f.digestSettleTime() {
		return
	}
	f.differingPeer = n.Name + "/" + n.Address()
	f.differedAt = now
}

// differFor is how long the digest is unchanged before another is looked into: some rounds
// of the gossip. (Doubts that come and go do not count: in a large fleet some always do.)
// Where it never rests, as one member after the other is heard of, it is twice as long since
// the last exchange of lists.
func (f *Membership) digestSettleTime() time.Duration { return 3 * milliseconds(f.cfg.ProbeIntervalMs) }

// NotifyMsg, GetBroadcasts, LocalState and MergeRemoteState carry nothing yet.
func (f *Membership) NotifyMsg([]byte)                           {}
func (f *Membership) GetBroadcasts(overhead, limit int) [][]byte { return nil }
func (f *Membership) LocalState(bool) []byte                     { return nil }
func (f *Membership) MergeRemoteState([]byte, bool)              {}
