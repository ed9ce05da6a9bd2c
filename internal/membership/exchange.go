package membership

import (
	"math/rand/v2"
	"time"
)

// probeIntervalsPerSync is the average number of probe intervals between two exchanges of lists while a peer's digest
// differs. Only some agents exchange lists in each interval, because the result also changes the digests of the others.
const probeIntervalsPerSync = 2

// peerAddress is the address of a member, or of a seed whose name is not known, with which to exchange lists.
type peerAddress struct {
	name string // if empty, the name is not checked
	addr string
}

// peerOf returns the address of a member.
func peerOf(member *Member) peerAddress { return peerAddress{name: member.Name, addr: member.Addr} }

// String returns the address in the form that memberlist's Join expects.
func (p peerAddress) String() string {
	if p.name == "" {
		return p.addr
	}
	return p.name + "/" + p.addr
}

// exchangeWith exchanges lists with a peer by a push/pull.
func (m *Membership) exchangeWith(peer peerAddress) error {
	if _, err := m.list.Load().Join([]string{peer.String()}); err != nil {
		return err
	}
	m.mu.Lock()
	m.exchangedAt = time.Now()
	m.mu.Unlock()
	return nil
}

// exchangeLists exchanges lists with a member, counts the exchange and logs any error.
func (m *Membership) exchangeLists(peer peerAddress) {
	m.counters.exchanges.Add(1)
	if err := m.exchangeWith(peer); err != nil {
		m.log.Info("membership: push/pull failed", "peer", peer.String(), "err", err)
	}
}

// firstExchange exchanges lists with a known member if this process has not exchanged lists with any yet. The exchange
// is necessary because this process's seeds may be on the other side of a partition, and because members that discover
// this process one by one only send messages about themselves.
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

// syncWithDifferingPeer exchanges lists, with probability 1/probeIntervalsPerSync, with a member whose digest differed.
func (m *Membership) syncWithDifferingPeer() {
	m.mu.Lock()
	peer := m.differingPeer
	m.differingPeer = nil
	m.mu.Unlock()
	if peer == nil || rand.IntN(probeIntervalsPerSync) != 0 {
		return
	}
	m.exchangeLists(*peer)
}

// exchangeForSuspect exchanges lists with a random member because of a suspect that does not respond to this process.
// The suspect may have refuted the suspicion to all others, and digests, which leave suspicions out, don't show that.
func (m *Membership) exchangeForSuspect(suspect *Member) {
	wait := m.cfg.halfSuspicion()
	m.mu.Lock()
	exchangedRecently := time.Since(m.exchangedAt) < wait
	m.mu.Unlock()
	if exchangedRecently || time.Since(suspect.stateSince) < wait {
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

// isAlivePeer reports whether a member is alive and is not this process's own agent.
func (m *Membership) isAlivePeer(member *Member) bool {
	return member.State == Alive && member.Name != m.cfg.Name
}

// digestDifferedRecently reports whether this process's digest recently differed from that of a member that it probed.
// If so, the members that this process suspects may have been declared dead by the others long ago, because memberlist
// merges a dead member of a peer's list as a suspect.
func (m *Membership) digestDifferedRecently() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.differedAt.IsZero() && time.Since(m.differedAt) < m.unsettledTime()
}
