package membership

import (
	"encoding/binary"
	"errors"
	"net"
	"time"

	"github.com/hashicorp/memberlist"
)

// Membership is the delegate of memberlist for each of these; memberlist calls the methods from its own
// goroutines, some of them under its lock.
var (
	_ memberlist.Delegate      = (*Membership)(nil)
	_ memberlist.EventDelegate = (*Membership)(nil)
	_ memberlist.AliveDelegate = (*Membership)(nil)
	_ memberlist.PingDelegate  = (*Membership)(nil)
)

// Why a member is not admitted.
var (
	errInvalidAddress  = errors.New("invalid name or address")
	errProtocolVersion = errors.New("another version of the protocol")
	errReplacedProcess = errors.New("a process that was replaced")
	errTooManyMembers  = errors.New("too many members")
)

const (
	// digestBytes is the length of a digest in the answer to a probe.
	digestBytes = 8
	// digestSettleRounds is digestSettleTime in probe intervals.
	digestSettleRounds = 3
	// unsettledFactor is after how many times digestSettleTime a digest that never settles is compared all the same.
	unsettledFactor = 2
	// probeTimeoutsPerInterval is how many timeouts of a direct probe a probe interval has.
	probeTimeoutsPerInterval = 2

	// Memberlist's gossip: how many rounds of it a probe interval has, their shortest interval, the members that
	// each round reaches, and the factor for the retransmissions of a message.
	gossipRoundsPerProbe = 20
	minGossipInterval    = 20 * time.Millisecond
	gossipNodes          = 6
	retransmitMultiplier = 3
	handoffQueueDepth    = 4096
)

// listConfig is memberlist's configuration: its timings mostly have the proportions of its defaults, with a
// suspicion that lasts at least SuspectTimeoutMs.
func (m *Membership) listConfig(underlying memberlist.NodeAwareTransport) *memberlist.Config {
	c := memberlist.DefaultLANConfig()
	advertised, _ := net.ResolveTCPAddr("tcp", m.cfg.Advertise) // complete has checked it
	c.Name = m.cfg.Name
	c.Label = m.cfg.Site
	c.Transport = underlying
	c.BindPort = advertised.Port
	c.AdvertiseAddr = advertised.IP.String()
	c.AdvertisePort = advertised.Port
	c.CIDRsAllowed = m.cfg.networks()
	c.EnableCompression = false
	c.TCPTimeout = streamTimeout
	c.ProbeInterval = milliseconds(m.cfg.ProbeIntervalMs)
	c.ProbeTimeout = c.ProbeInterval / probeTimeoutsPerInterval
	c.SuspicionMult = m.cfg.suspicionMultiplier()
	c.SuspicionMaxTimeoutMult = suspicionMaxMultiplier
	// A gossip round costs nothing when there are no messages. After a partition or a start there are messages
	// about all members, which then wait for rounds and not for processors, so rounds are frequent.
	c.GossipInterval = max(c.ProbeInterval/gossipRoundsPerProbe, minGossipInterval)
	c.GossipNodes = gossipNodes
	c.RetransmitMult = retransmitMultiplier
	c.GossipToTheDeadTime = milliseconds(m.cfg.ForgetMs)
	c.DeadNodeReclaimTime = milliseconds(m.cfg.ReclaimMs)
	c.HandoffQueueDepth = handoffQueueDepth
	c.Logger = m.log.std()
	c.Delegate = m
	c.Events = m
	c.Alive = m
	c.Ping = m
	return c
}

// acceptDeathReport tells whether a member's report that another is dead is believed, and then records the reporter. It
// is believed while the reporter itself is certainly present, as in an Assessment, and, where it returned from the dead
// or from a long suspicion, once the suspicions have ended that it may have begun on the other side of a partition. Any
// other report makes a suspicion, which the accused member receives and refutes.
func (m *Membership) acceptDeathReport(reporter, accused string) bool {
	snapshot := m.snapshot.Load()
	member, ok := snapshot.Member(reporter)
	if !ok {
		return false
	}
	if reporter != m.cfg.Name {
		now := time.Now()
		if !member.isStable(now, milliseconds(m.cfg.SettleMs)) {
			return false
		}
		if member.isReturning(now, m.cfg.maxSuspicion(len(snapshot.Members))) {
			return false
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.admitted[accused] { // a report about an unknown member is not recorded
		m.table.deathReporters[accused] = reporter
	}
	return true
}

// NodeMeta is this process's metadata.
func (m *Membership) NodeMeta(int) []byte {
	return meta{
		Process:  m.process,
		Zone:     m.cfg.Zone,
		Version:  m.cfg.Version,
		Draining: m.draining.Load(),
	}.bytes()
}

// NotifyAlive rejects members that can't be agents of this site: it is the only way into the list.
func (m *Membership) NotifyAlive(node *memberlist.Node) error {
	err := m.checkMember(node)
	if err != nil {
		m.counters.rejected.Add(1)
	}
	return err
}

// checkMember tells why a member is not admitted to the list; nil: it is.
func (m *Membership) checkMember(node *memberlist.Node) error {
	if node.Name == m.cfg.Name {
		return nil // memberlist refutes what is wrong of this process
	}
	parsed, err := m.metas.parse(node.Meta)
	if err != nil {
		return err
	}
	if !isValidName(node.Name) || !isValidIP(node.Addr) {
		return errInvalidAddress
	}
	if !hasProtocolVersion(node) {
		return errProtocolVersion
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.table.isRetired(node.Name, parsed.Process, time.Now()) {
		return errReplacedProcess
	}
	if m.admitted[node.Name] {
		return nil
	}
	if len(m.admitted) >= m.cfg.maxMembers() {
		return errTooManyMembers
	}
	m.admitted[node.Name] = true
	return nil
}

// hasProtocolVersion tells whether a member speaks the version that all agents speak: another version would make
// every exchange of lists fail.
func hasProtocolVersion(node *memberlist.Node) bool {
	const version = memberlist.ProtocolVersion2Compatible
	if node.PMin > version || node.PMax < version || node.PCur != version {
		return false
	}
	return node.DMin == 0 && node.DMax == 0 && node.DCur == 0
}

// NotifyJoin notifies that the list has changed.
func (m *Membership) NotifyJoin(*memberlist.Node) { m.notifyListChanged() }

// NotifyLeave notifies that the list has changed.
func (m *Membership) NotifyLeave(*memberlist.Node) { m.notifyListChanged() }

// NotifyUpdate notifies that the list has changed.
func (m *Membership) NotifyUpdate(*memberlist.Node) { m.notifyListChanged() }

// AckPayload is this process's digest, which goes with each answer to a probe.
func (m *Membership) AckPayload() []byte {
	return binary.BigEndian.AppendUint64(nil, m.snapshot.Load().digest)
}

// NotifyPingComplete compares a member's digest with this process's. Digests differ while a change spreads; where
// they still do once it should have spread, syncWithDifferingPeer exchanges the lists.
func (m *Membership) NotifyPingComplete(node *memberlist.Node, _ time.Duration, payload []byte) {
	if len(payload) != digestBytes {
		return
	}
	snapshot := m.snapshot.Load()
	if binary.BigEndian.Uint64(payload) == snapshot.digest {
		return
	}
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	changing := now.Sub(snapshot.digestSince) < m.digestSettleTime()
	if changing && now.Sub(m.exchangedAt) < m.unsettledTime() {
		return
	}
	m.differingPeer = &peerAddress{name: node.Name, addr: node.Address()}
	m.differedAt = now
}

// digestSettleTime is how long the digest has to be unchanged before a differing one matters: some rounds of
// gossip. (Suspicions do not count in it: with many members there always are some.)
func (m *Membership) digestSettleTime() time.Duration {
	return digestSettleRounds * milliseconds(m.cfg.ProbeIntervalMs)
}

// unsettledTime is how long after the last exchange of lists a differing digest matters even where this process's own
// never settles, as one member after the other is discovered.
func (m *Membership) unsettledTime() time.Duration { return unsettledFactor * m.digestSettleTime() }

// NotifyMsg ignores user messages: agents send none.
func (m *Membership) NotifyMsg([]byte) {}

// GetBroadcasts returns no user messages.
func (m *Membership) GetBroadcasts(_, _ int) [][]byte { return nil }

// LocalState returns no user state for a push/pull.
func (m *Membership) LocalState(bool) []byte { return nil }

// MergeRemoteState ignores user state.
func (m *Membership) MergeRemoteState([]byte, bool) {}
