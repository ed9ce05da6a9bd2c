package membership

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/memberlist"
)

// watched is how many members each one watches by an open connection: its successors on a
// ring of hashed names. When a process ends its connections end with it, so that a crash
// is known at once by up to so many others; only what falls silent is left to the probes,
// which can be slow then and make no false alarms under load.
const watchedSuccessors = 3

// msgWatch begins a stream that stays open for as long as both processes live. It is no
// message of memberlist's.
const msgWatch = 200

// watch keeps the connections to this member's successors.
func (m *Membership) watchSuccessors() {
	open := map[string]net.Conn{} // by process
	want := make([]Member, 0, watchedSuccessors)
	var mu sync.Mutex
	look := time.NewTicker(milliseconds(m.cfg.ProbeIntervalMs) / 4)
	defer look.Stop()
	var ended sync.WaitGroup
	defer func() {
		mu.Lock()
		for _, c := range open {
			c.Close()
		}
		mu.Unlock()
		ended.Wait()
	}()
	for {
		select {
		case <-m.ctx.Done():
			return
		case <-look.C:
		}
		want = m.successors(want[:0])
		mu.Lock()
		for process, c := range open {
			if !slices.ContainsFunc(want, func(member Member) bool { return member.Process == process }) {
				delete(open, process)
				c.Close()
			}
		}
		var begin []Member
		for _, member := range want {
			if open[member.Process] == nil {
				begin = append(begin, member)
			}
		}
		mu.Unlock()
		for _, member := range begin {
			c, err := m.dialWatch(&member)
			if err != nil {
				continue // the next look tries again; that it is gone is for confirm
			}
			mu.Lock()
			open[member.Process] = c
			mu.Unlock()
			ended.Add(1)
			go func() {
				defer ended.Done()
				c.Read(make([]byte, 1)) // nothing comes; it ends
				c.Close()
				mu.Lock()
				mine := open[member.Process] == c
				if mine {
					delete(open, member.Process)
				}
				mu.Unlock()
				if mine && m.ctx.Err() == nil {
					m.watchEnded(&member)
				}
			}()
		}
	}
}

// successors are the members that this one watches, appended to into: those whose hashed names follow its
// own, the next one first. It takes one pass and no memory, as each look asks for them.
func (m *Membership) successors(into []Member) []Member {
	members, own := m.snapshot.Load().Members, xxhash.Sum64String(m.cfg.Name)
	var nearest [watchedSuccessors]struct {
		after uint64 // by how much the hash follows this process's own, around the ring
		index int
	}
	found := 0
	for i := range members {
		member := &members[i]
		if member.State != Alive || member.Name == m.cfg.Name {
			continue
		}
		after, at := xxhash.Sum64String(member.Name)-own, found
		for at > 0 && after < nearest[at-1].after {
			at--
		}
		if at == watchedSuccessors {
			continue
		}
		found = min(found+1, watchedSuccessors)
		copy(nearest[at+1:found], nearest[at:])
		nearest[at].after, nearest[at].index = after, i
	}
	for _, n := range nearest[:found] {
		into = append(into, members[n.index])
	}
	return into
}

// openWatch opens a connection to a member and has it acknowledged.
func (m *Membership) dialWatch(member *Member) (net.Conn, error) {
	c, err := m.transport.DialAddressTimeout(memberlist.Address{Name: member.Name, Addr: member.Addr}, milliseconds(m.cfg.ProbeIntervalMs))
	if err != nil {
		return nil, err
	}
	c.SetDeadline(time.Now().Add(milliseconds(m.cfg.ProbeIntervalMs)))
	err = memberlist.AddLabelHeaderToStream(c, m.cfg.Site)
	if err == nil {
		_, err = c.Write(append([]byte{msgWatch}, m.cfg.Name...))
	}
	if err == nil {
		_, err = c.Read(make([]byte, 1))
	}
	if err != nil {
		c.Close()
		return nil, err
	}
	return c, c.SetDeadline(time.Time{})
}

// ended is called when a watched member's connection ended: if its address refuses calls
// its process is gone.
func (m *Membership) watchEnded(member *Member) {
	if now, ok := m.snapshot.Load().Member(member.Name); ok && now.Process == member.Process && now.State.isPresent() && m.checkAddress(member) == addressRefuses {
		m.declareDead(&now)
	}
}

// declareGone tells memberlist, and so the fleet, that a member is dead.
func (m *Membership) declareDead(member *Member) {
	m.declaredDead.Add(1)
	m.log.Info("fleet: a member's address refuses calls", "name", member.Name, "addr", member.Addr)
	m.transport.injectMessage(encodeMessage(msgDead, deadMessage{Incarnation: member.Incarnation, Node: member.Name, From: m.cfg.Name}))
}

// checkers is how many agents look at a suspect in each probe interval, on average over
// the fleet, and sure how many refusals one after the other declare it dead.
const (
	checkersPerInterval   = 3
	refusalsToDeclareDead = 3
)

// confirm asks suspects. Where the address refuses calls, or ends them without a word, the
// process is gone (PROTOCOL, "The network"), and it is declared dead without waiting for
// the rest of the suspicion. One that answers is told that it is suspected, so that it
// refutes. One that stands still or is cut off says nothing, and keeps its time; once that is
// half over another member is asked what it knows.
func (m *Membership) confirmSuspects() {
	look := time.NewTicker(milliseconds(m.cfg.ProbeIntervalMs) / 2)
	defer look.Stop()
	for {
		select {
		case <-m.ctx.Done():
			return
		case <-look.C:
		}
		snapshot, odd := m.snapshot.Load(), m.digestDifferedLately()
		for i := range snapshot.Members {
			member := &snapshot.Members[i]
			if member.State != Suspect || !odd && !m.overdueCheckDrawn(member) && rand.IntN(max(1, snapshot.Present)) >= checkersPerInterval {
				continue
			}
			switch m.checkAddress(member) {
			case addressRefuses:
				m.declareDead(member)
			case addressAnswers:
				m.exchangeLists(member.Name + "/" + member.Addr)
			case addressSilent:
				m.exchangeAboutSuspect(member)
			}
			break // one at a time: the others have their checkers
		}
	}
}

// askOthers exchanges lists with some member about a suspect that is silent to this process: the
// suspicion may be refuted to all others, and no digest shows it, as doubts do not count there.
func (m *Membership) exchangeAboutSuspect(suspect *Member) {
	m.mu.Lock()
	lately := time.Since(m.exchangedAt) < milliseconds(m.cfg.SuspectTimeoutMs)/2
	m.mu.Unlock()
	if lately || time.Since(suspect.stateSince) < milliseconds(m.cfg.SuspectTimeoutMs)/2 {
		return
	}
	snapshot := m.snapshot.Load()
	from := rand.IntN(len(snapshot.Members))
	for i := range snapshot.Members {
		if member := &snapshot.Members[(from+i)%len(snapshot.Members)]; member.State == Alive && member.Name != m.cfg.Name {
			m.exchangeLists(member.Name + "/" + member.Addr)
			return
		}
	}
}

// overdue tells, now and then, that a suspicion is half over: the others may long have heard
// its refutation, which this process missed, so it asks for itself.
func (m *Membership) overdueCheckDrawn(member *Member) bool {
	return time.Since(member.stateSince) > milliseconds(m.cfg.SuspectTimeoutMs)/2 && rand.IntN(overdueCheckOneIn) == 0
}

// overdueOneIn is in how many looks an overdue suspect is asked once, so that a machine that
// stands still is not called by all at one moment.
const overdueCheckOneIn = 6

// odd tells whether this process's digest was lately another than that of members it
// probed: what it doubts then may long be decided (memberlist takes another's dead member
// for a suspect), so it asks for itself.
func (m *Membership) digestDifferedLately() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.differedAt.IsZero() && time.Since(m.differedAt) < 2*m.digestSettleTime()
}

// found is what calling a member showed.
type addressState int

const (
	addressSilent addressState = iota // no answer in time, which says nothing
	addressAnswers
	addressRefuses
)

// ask calls a member until it answers, is silent, or has refused so often that it is gone.
func (m *Membership) checkAddress(member *Member) addressState {
	for range refusalsToDeclareDead {
		c, err := m.dialWatch(member)
		if err == nil {
			c.Close()
			return addressAnswers
		}
		if !isPeerGone(err) {
			return addressSilent
		}
		select {
		case <-time.After(milliseconds(m.cfg.ProbeIntervalMs) / 20):
		case <-m.ctx.Done():
			return addressSilent
		}
	}
	return addressRefuses
}

// ended tells whether a call failed because nobody is there: it was refused, reset or ended. A connection
// that broke may show as the kernel's ETIMEDOUT or EHOSTUNREACH too; where it never came up these tell
// only that nothing was heard.
func isPeerGone(err error) bool {
	if isOneOf(err, syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.EPIPE) || errors.Is(err, io.EOF) {
		return true
	}
	var op *net.OpError
	wasUp := errors.As(err, &op) && op.Op != "dial"
	return wasUp && isOneOf(err, syscall.ETIMEDOUT, syscall.EHOSTUNREACH)
}

func isOneOf(err error, list ...syscall.Errno) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(list, errno)
}
