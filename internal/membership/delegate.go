package membership

import (
	"encoding/binary"
	"errors"
	"net"
	"time"

	"github.com/hashicorp/memberlist"
)

// Membership implements memberlist's delegates. memberlist calls their methods from its own goroutines, some of them
// while it holds its lock.
var (
	_ memberlist.Delegate      = (*Membership)(nil)
	_ memberlist.EventDelegate = (*Membership)(nil)
	_ memberlist.AliveDelegate = (*Membership)(nil)
	_ memberlist.PingDelegate  = (*Membership)(nil)
)

// Reasons for which a member is not admitted.
var (
	errInvalidAddress  = errors.New("invalid name or address")
	errProtocolVersion = errors.New("unsupported protocol version")
	errReplacedProcess = errors.New("process was replaced by another")
	errTooManyMembers  = errors.New("too many members")
)

const (
	// digestBytes is the length of the digest in the response to a probe.
	digestBytes = 8
	// digestSettleRounds is digestSettleTime in probe intervals.
	digestSettleRounds = 3
	// unsettledFactor is unsettledTime as a multiple of digestSettleTime.
	unsettledFactor = 2
	// probeTimeoutsPerInterval is the probe interval as a multiple of the timeout of a direct probe.
	probeTimeoutsPerInterval = 2

	// The settings of memberlist's gossip: rounds per probe interval, the minimum interval between rounds, the members
	// that each round sends to, the multiplier for retransmissions of a message, and the length of the queue of
	// received messages.
	gossipRoundsPerProbe = 20
	minGossipInterval    = 20 * time.Millisecond
	gossipNodes          = 6
	retransmitMultiplier = 3
	handoffQueueDepth    = 4096
)

// listConfig returns memberlist's configuration. Most timings are in the same proportions as memberlist's defaults, and
// a suspicion lasts at least SuspectTimeoutMs.
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
	// Rounds are frequent because a round without messages costs nothing, and because after a partition or a start there
	// are messages about all members. The gossip rounds, not the processors, limit how fast these are delivered.
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

// acceptDeathReport reports whether to believe a member's report that another member is dead, and records the reporter
// if so. A report is believed if the reporter itself is certainly present, as defined by Assessment. If the reporter
// has returned after it was dead or suspected for a long time, the suspicions that it may have started on the other
// side of a partition must have ended too. Any other death report is turned into a suspicion, which the accused member
// receives and refutes.
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

// NodeMeta returns this process's metadata.
func (m *Membership) NodeMeta(int) []byte {
	return meta{
		Process:  m.process,
		Zone:     m.cfg.Zone,
		Version:  m.cfg.Version,
		Draining: m.draining.Load(),
	}.bytes()
}

// NotifyAlive returns an error for members that can't be agents of this site. memberlist calls it before it adds or
// updates any member.
func (m *Membership) NotifyAlive(node *memberlist.Node) error {
	err := m.checkMember(node)
	if err != nil {
		m.counters.rejected.Add(1)
	}
	return err
}

// checkMember admits a member to the list, or returns the reason for which it is not admitted.
func (m *Membership) checkMember(node *memberlist.Node) error {
	if node.Name == m.cfg.Name {
		return nil // memberlist refutes wrong messages about this process
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

// hasProtocolVersion reports whether a member has the protocol version of all agents. With a member of another version
// in the list, every push/pull would fail.
func hasProtocolVersion(node *memberlist.Node) bool {
	const version = memberlist.ProtocolVersion2Compatible
	if node.PMin > version || node.PMax < version || node.PCur != version {
		return false
	}
	return node.DMin == 0 && node.DMax == 0 && node.DCur == 0
}

// NotifyJoin is called when a member is added to the list.
func (m *Membership) NotifyJoin(*memberlist.Node) { m.notifyListChanged() }

// NotifyLeave is called when a member has died or left.
func (m *Membership) NotifyLeave(*memberlist.Node) { m.notifyListChanged() }

// NotifyUpdate is called when a member's metadata has changed.
func (m *Membership) NotifyUpdate(*memberlist.Node) { m.notifyListChanged() }

// AckPayload returns this process's digest, which is sent with each response to a probe.
func (m *Membership) AckPayload() []byte {
	return binary.BigEndian.AppendUint64(nil, m.snapshot.Load().digest)
}

// NotifyPingComplete compares a member's digest with this process's. Digests differ while a change spreads. If they
// still differ once it should have reached all members, syncWithDifferingPeer exchanges the lists.
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

// digestSettleTime returns how long this process's digest must have been unchanged before a differing digest of a
// member leads to an exchange of lists: the time of several gossip rounds. Suspicions are left out of the digest,
// because with many members there are always some.
func (m *Membership) digestSettleTime() time.Duration {
	return digestSettleRounds * milliseconds(m.cfg.ProbeIntervalMs)
}

// unsettledTime returns how long ago the last exchange of lists must have been for a differing digest to lead to
// another one while this process's digest keeps changing. The digest keeps changing while members are discovered one by
// one.
func (m *Membership) unsettledTime() time.Duration { return unsettledFactor * m.digestSettleTime() }

// NotifyMsg ignores user messages; agents send none.
func (m *Membership) NotifyMsg([]byte) {}

// GetBroadcasts returns nil: agents send no user messages.
func (m *Membership) GetBroadcasts(_, _ int) [][]byte { return nil }

// LocalState returns nil: agents send no user state in a push/pull.
func (m *Membership) LocalState(bool) []byte { return nil }

// MergeRemoteState ignores user state; agents send none.
func (m *Membership) MergeRemoteState([]byte, bool) {}
