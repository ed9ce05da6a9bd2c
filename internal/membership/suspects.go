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
	// confirmRoundsPerProbe is how often in a probe interval an agent may check a suspect.
	confirmRoundsPerProbe = 2
	// checkersPerRound is how many agents check a suspect in each round, on average over all agents.
	checkersPerRound = 3
	// refusalsToDeclareDead is how many refused connections, one after the other, declare a member dead.
	refusalsToDeclareDead = 3
	// refusalPauses is how many pauses between refused connections a probe interval has.
	refusalPauses = 20
	// overdueCheckOneIn is in how many rounds an overdue suspect is checked once, so that not all agents connect
	// at the same time to a machine that stalls.
	overdueCheckOneIn = 6
)

// confirmSuspects checks suspects by connecting to them.
//
// Where the address refuses connections, or ends them without an answer, the process is gone, and it is declared
// dead without waiting for the rest of the suspicion. A suspect that answers receives this process's list, with
// its suspicion, so that it refutes. One that is stalled or partitioned gives no result, and the suspicion takes
// its time; once that is half over, another member's list is fetched.
func (m *Membership) confirmSuspects(ctx context.Context) {
	ticker := time.NewTicker(milliseconds(m.cfg.ProbeIntervalMs) / confirmRoundsPerProbe)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if suspect := m.drawSuspect(); suspect != nil {
			m.confirmSuspect(ctx, suspect)
		}
	}
}

// drawSuspect is the suspect that this process checks in a round, or nil.
func (m *Membership) drawSuspect() *Member {
	snapshot := m.snapshot.Load()
	checkAll := m.digestDifferedLately()
	for i := range snapshot.Members {
		member := &snapshot.Members[i]
		if member.State != Suspect {
			continue
		}
		drawn := checkAll || m.overdueCheckDrawn(member)
		if drawn || rand.IntN(max(1, snapshot.Present)) < checkersPerRound {
			return member
		}
	}
	return nil
}

// confirmSuspect checks a suspect once.
func (m *Membership) confirmSuspect(ctx context.Context, suspect *Member) {
	switch m.checkAddress(ctx, suspect) {
	case addressRefuses:
		m.declareDead(suspect)
	case addressAnswers:
		m.exchangeLists(peerOf(suspect))
	case addressSilent:
		m.exchangeAboutSuspect(suspect)
	}
}

// overdueCheckDrawn draws whether to check a suspect whose suspicion is half over: the others may long have
// received its refutation, which this process missed.
func (m *Membership) overdueCheckDrawn(suspect *Member) bool {
	overdue := time.Since(suspect.stateSince) > m.cfg.halfSuspicion()
	return overdue && rand.IntN(overdueCheckOneIn) == 0
}

// declareDead sends memberlist, and so all members, a message that a member is dead.
func (m *Membership) declareDead(member *Member) {
	m.counters.declaredDead.Add(1)
	m.log.Info("membership: member declared dead, its address refuses connections",
		"name", member.Name, "addr", member.Addr)
	death := deadMessage{Incarnation: member.Incarnation, Node: member.Name, From: m.cfg.Name}
	m.transport.injectMessage(encodeMessage(msgDead, death))
}

// addressState is the result of connecting to a member.
type addressState int

const (
	addressSilent addressState = iota // no answer in time, which proves nothing
	addressAnswers
	addressRefuses
)

// checkAddress connects to a member until it answers, is silent, or has refused so often that it is gone.
func (m *Membership) checkAddress(ctx context.Context, member *Member) addressState {
	for range refusalsToDeclareDead {
		conn, err := m.dialWatch(member)
		if err == nil {
			_ = conn.Close() // it has answered
			return addressAnswers
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

// isPeerGone tells whether a connection failed because no process is there: it was refused, reset or ended. A
// connection that breaks may also fail with the kernel's ETIMEDOUT or EHOSTUNREACH; if it was never established,
// these only tell that nothing answered.
func isPeerGone(err error) bool {
	if isOneOf(err, syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.EPIPE) || errors.Is(err, io.EOF) {
		return true
	}
	var opError *net.OpError
	established := errors.As(err, &opError) && opError.Op != "dial"
	return established && isOneOf(err, syscall.ETIMEDOUT, syscall.EHOSTUNREACH)
}

// isOneOf tells whether an error is one of the system's errors.
func isOneOf(err error, list ...syscall.Errno) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(list, errno)
}
