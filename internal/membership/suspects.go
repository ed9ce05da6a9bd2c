package membership

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"syscall"
	"time"
)

const (
	// confirmRoundsPerProbe is the number of rounds per probe interval; in each, an agent checks at most one suspect.
	confirmRoundsPerProbe = 2
	// checkersPerRound is the average number of agents that check a suspect in each round.
	checkersPerRound = 3
	// refusalsToDeclareDead is the number of consecutive refused connections after which a member is declared dead.
	refusalsToDeclareDead = 3
	// refusalPauses is the probe interval as a multiple of the pause between refused connections.
	refusalPauses = 20
	// roundsPerOverdueCheck is the average number of rounds between two checks of an overdue suspect by one agent. It
	// keeps all agents from connecting to a stalled machine at the same time.
	roundsPerOverdueCheck = 6
)

// confirmSuspects checks suspects by connecting to them.
//
// If the address refuses connections or ends them without a response, the process is gone. It is then declared dead
// without waiting for the rest of the suspicion. A suspect that responds receives this process's list, which includes
// the suspicion, and refutes it. A suspect that is stalled or partitioned gives no result, and the suspicion continues.
// Once half of the minimum duration of a suspicion is over, this process exchanges lists with another member.
func (m *Membership) confirmSuspects(ctx context.Context) {
	ticker := time.NewTicker(milliseconds(m.cfg.ProbeIntervalMs) / confirmRoundsPerProbe)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if suspect := m.pickSuspect(); suspect != nil {
			m.confirmSuspect(ctx, suspect)
		}
	}
}

// pickSuspect picks the suspect that this process checks in a round, or returns nil.
func (m *Membership) pickSuspect() *Member {
	snapshot := m.snapshot.Load()
	checkAll := m.digestDifferedRecently()
	for i := range snapshot.Members {
		member := &snapshot.Members[i]
		if member.State != Suspect {
			continue
		}
		drawn := checkAll || m.shouldCheckOverdue(member)
		if drawn || rand.IntN(max(1, snapshot.Present)) < checkersPerRound {
			return member
		}
	}
	return nil
}

// confirmSuspect checks a suspect once and acts on the result.
func (m *Membership) confirmSuspect(ctx context.Context, suspect *Member) {
	switch m.checkAddress(ctx, suspect) {
	case addressRefuses:
		m.declareDead(suspect)
	case addressResponds:
		m.exchangeLists(peerOf(suspect))
	case addressSilent:
		m.exchangeForSuspect(suspect)
	}
}

// shouldCheckOverdue decides at random whether to check a suspect whose suspicion has lasted longer than half of the
// minimum duration. The suspect may have refuted it long ago to the other members, and this process may have missed the
// refutation.
func (m *Membership) shouldCheckOverdue(suspect *Member) bool {
	overdue := time.Since(suspect.stateSince) > m.cfg.halfSuspicion()
	return overdue && rand.IntN(roundsPerOverdueCheck) == 0
}

// declareDead hands memberlist a message that a member is dead. memberlist also sends the message to the other members.
func (m *Membership) declareDead(member *Member) {
	m.counters.declaredDead.Add(1)
	m.log.Info("membership: member declared dead, its address refuses connections",
		"name", member.Name, "addr", member.Addr)
	death := deadMessage{Incarnation: member.Incarnation, Node: member.Name, From: m.cfg.Name}
	m.transport.injectMessage(encodeMessage(msgDead, death))
}

// addressState is the result of connecting to a member's address.
type addressState int

const (
	addressSilent addressState = iota // no response in time, which proves nothing
	addressResponds
	addressRefuses
)

// checkAddress connects to a member until it responds, fails to respond in time, or has refused refusalsToDeclareDead
// connections.
func (m *Membership) checkAddress(ctx context.Context, member *Member) addressState {
	for range refusalsToDeclareDead {
		conn, err := m.dialWatch(member)
		if err == nil {
			_ = conn.Close() // only the response matters
			return addressResponds
		}
		if !isPeerGone(err) {
			return addressSilent
		}
		select {
		case <-time.After(milliseconds(m.cfg.ProbeIntervalMs) / refusalPauses):
		case <-ctx.Done():
			return addressSilent
		}
	}
	return addressRefuses
}

// isPeerGone reports whether a connection failed because the peer's process is gone: it was refused, reset or closed.
// An established connection that breaks may also fail with ETIMEDOUT or EHOSTUNREACH from the kernel. On a connection
// that was never established, these only mean that there was no response.
func isPeerGone(err error) bool {
	if isErrno(err, syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.EPIPE) || errors.Is(err, io.EOF) {
		return true
	}
	var opError *net.OpError
	established := errors.As(err, &opError) && opError.Op != "dial"
	return established && isErrno(err, syscall.ETIMEDOUT, syscall.EHOSTUNREACH)
}

// isErrno reports whether err wraps one of the given error numbers.
func isErrno(err error, list ...syscall.Errno) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(list, errno)
}
