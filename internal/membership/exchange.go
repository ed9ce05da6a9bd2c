package membership

import (
	"math/rand/v2"
	"time"
)

// exchangeOneIn is in how many probe intervals an agent whose digest differs exchanges lists once. Few agents do
// so at a time: what they bring changes the digests of the others.
const exchangeOneIn = 2

// peerAddress is where lists can be exchanged: the address of a member, or that of a seed, whose name is not known.
type peerAddress struct {
	name string // empty: any member may answer
	addr string
}

// peerOf is the address of a member.
func peerOf(member *Member) peerAddress { return peerAddress{name: member.Name, addr: member.Addr} }

// String is the address as memberlist's Join takes it.
func (p peerAddress) String() string {
	if p.name == "" {
		return p.addr
	}
	return p.name + "/" + p.addr
}

// exchangeWith exchanges lists (a push/pull) with a peer.
func (m *Membership) exchangeWith(peer peerAddress) error {
	if _, err := m.list.Load().Join([]string{peer.String()}); err != nil {
		return err
	}
	m.mu.Lock()
	m.exchangedAt = time.Now()
	m.mu.Unlock()
	return nil
}

// exchangeLists exchanges lists with a member, counts it and logs its failure.
func (m *Membership) exchangeLists(peer peerAddress) {
	m.counters.exchanges.Add(1)
	if err := m.exchangeWith(peer); err != nil {
		m.log.Info("membership: push/pull failed", "peer", peer.String(), "err", err)
	}
}

// firstExchange exchanges lists with the first member that this process discovers, if it has not yet with any: its
// seeds may be on the other side of a partition, and members that find it one by one only send about themselves.
func (m *Membership) firstExchange() {
	m.mu.Lock()
	exchanged := !m.exchangedAt.IsZero()
	m.mu.Unlock()
	if exchanged {
		return
	}
	members := m.snapshot.Load().Members
	for i := range members {
		if m.isAlivePeer(&members[i]) {
			m.exchangeLists(peerOf(&members[i]))
			return
		}
	}
}

// syncWithDifferingPeer exchanges lists with a member whose digest differed.
func (m *Membership) syncWithDifferingPeer() {
	m.mu.Lock()
	peer := m.differingPeer
	m.differingPeer = nil
	m.mu.Unlock()
	if peer == nil || rand.IntN(exchangeOneIn) != 0 {
		return
	}
	m.exchangeLists(*peer)
}

// exchangeAboutSuspect exchanges lists with some member about a suspect that does not answer this process: the
// suspicion may be refuted to all others, and no digest shows it, as suspicions do not count there.
func (m *Membership) exchangeAboutSuspect(suspect *Member) {
	wait := m.cfg.halfSuspicion()
	m.mu.Lock()
	exchangedLately := time.Since(m.exchangedAt) < wait
	m.mu.Unlock()
	if exchangedLately || time.Since(suspect.stateSince) < wait {
		return
	}
	members := m.snapshot.Load().Members
	first := rand.IntN(len(members))
	for i := range members {
		member := &members[(first+i)%len(members)]
		if m.isAlivePeer(member) {
			m.exchangeLists(peerOf(member))
			return
		}
	}
}

// isAlivePeer tells whether a member is alive and not this process's own agent.
func (m *Membership) isAlivePeer(member *Member) bool {
	return member.State == Alive && member.Name != m.cfg.Name
}

// digestDifferedLately tells whether this process's digest was lately different from that of members it probed:
// what it suspects then may long be decided (memberlist takes another's dead member for a suspect).
func (m *Membership) digestDifferedLately() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.differedAt.IsZero() && time.Since(m.differedAt) < m.unsettledTime()
}
