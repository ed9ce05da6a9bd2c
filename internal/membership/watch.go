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
func (f *Membership) watchSuccessors() {
	open := map[string]net.Conn{} // by process
	want := make([]Member, 0, watchedSuccessors)
	var mu sync.Mutex
	look := time.NewTicker(milliseconds(f.cfg.ProbeIntervalMs) / 4)
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
		case <-f.ctx.Done():
			return
		case <-look.C:
		}
		want = f.successors(want[:0])
		mu.Lock()
		for process, c := range open {
			if !slices.ContainsFunc(want, func(m Member) bool { return m.Process == process }) {
				delete(open, process)
				c.Close()
			}
		}
		var begin []Member
		for _, m := range want {
			if open[m.Process] == nil {
				begin = append(begin, m)
			}
		}
		mu.Unlock()
		for _, m := range begin {
			c, err := f.dialWatch(&m)
			if err != nil {
				continue // the next look tries again; that it is gone is for confirm
			}
			mu.Lock()
			open[m.Process] = c
			mu.Unlock()
			ended.Add(1)
			go func() {
				defer ended.Done()
				c.Read(make([]byte, 1)) // nothing comes; it ends
				c.Close()
				mu.Lock()
				mine := open[m.Process] == c
				if mine {
					delete(open, m.Process)
				}
				mu.Unlock()
				if mine && f.ctx.Err() == nil {
					f.watchEnded(&m)
				}
			}()
		}
	}
}

// successors are the members that this one watches, appended to into: those whose hashed names follow its
// own, the next one first. It takes one pass and no memory, as each look asks for them.
func (f *Membership) successors(into []Member) []Member {
	members, own := f.snapshot.Load().Members, xxhash.Sum64String(f.cfg.Name)
	var nearest [watchedSuccessors]struct {
		after uint64 // by how much the hash follows this process's own, around the ring
		index int
	}
	found := 0
	for i := range members {
		m := &members[i]
		if m.State != Alive || m.Name == f.cfg.Name {
			continue
		}
		after, at := xxhash.Sum64String(m.Name)-own, found
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
func (f *Membership) dialWatch(m *Member) (net.Conn, error) {
	c, err := f.transport.DialAddressTimeout(memberlist.Address{Name: m.Name, Addr: m.Addr}, milliseconds(f.cfg.ProbeIntervalMs))
	if err != nil {
		return nil, err
	}
	c.SetDeadline(time.Now().Add(milliseconds(f.cfg.ProbeIntervalMs)))
	err = memberlist.AddLabelHeaderToStream(c, f.cfg.Site)
	if err == nil {
		_, err = c.Write(append([]byte{msgWatch}, f.cfg.Name...))
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
func (f *Membership) watchEnded(m *Member) {
	if now, ok := f.snapshot.Load().Member(m.Name); ok && now.Process == m.Process && now.State.isPresent() && f.checkAddress(m) == addressRefuses {
		f.declareDead(&now)
	}
}

// declareGone tells memberlist, and so the fleet, that a member is dead.
func (f *Membership) declareDead(m *Member) {
	f.declaredDead.Add(1)
	f.log.Info("fleet: a member's address refuses calls", "name", m.Name, "addr", m.Addr)
	f.transport.injectMessage(encodeMessage(msgDead, deadMessage{Incarnation: m.Incarnation, Node: m.Name, From: f.cfg.Name}))
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
func (f *Membership) confirmSuspects() {
	look := time.NewTicker(milliseconds(f.cfg.ProbeIntervalMs) / 2)
	defer look.Stop()
	for {
		select {
		case <-f.ctx.Done():
			return
		case <-look.C:
		}
		v, odd := f.snapshot.Load(), f.digestDifferedLately()
		for i := range v.Members {
			m := &v.Members[i]
			if m.State != Suspect || !odd && !f.overdueCheckDrawn(m) && rand.IntN(max(1, v.Present)) >= checkersPerInterval {
				continue
			}
			switch f.checkAddress(m) {
			case addressRefuses:
				f.declareDead(m)
			case addressAnswers:
				f.exchangeLists(m.Name + "/" + m.Addr)
			case addressSilent:
				f.exchangeAboutSuspect(m)
			}
			break // one at a time: the others have their checkers
		}
	}
}

// askOthers exchanges lists with some member about a suspect that is silent to this process: the
// suspicion may be refuted to all others, and no digest shows it, as doubts do not count there.
func (f *Membership) exchangeAboutSuspect(suspect *Member) {
	f.mu.Lock()
	lately := time.Since(f.exchangedAt) < milliseconds(f.cfg.SuspectTimeoutMs)/2
	f.mu.Unlock()
	if lately || time.Since(suspect.stateSince) < milliseconds(f.cfg.SuspectTimeoutMs)/2 {
		return
	}
	v := f.snapshot.Load()
	from := rand.IntN(len(v.Members))
	for i := range v.Members {
		if m := &v.Members[(from+i)%len(v.Members)]; m.State == Alive && m.Name != f.cfg.Name {
			f.exchangeLists(m.Name + "/" + m.Addr)
			return
		}
	}
}

// overdue tells, now and then, that a suspicion is half over: the others may long have heard
// its refutation, which this process missed, so it asks for itself.
func (f *Membership) overdueCheckDrawn(m *Member) bool {
	return time.Since(m.stateSince) > milliseconds(f.cfg.SuspectTimeoutMs)/2 && rand.IntN(overdueCheckOneIn) == 0
}

// overdueOneIn is in how many looks an overdue suspect is asked once, so that a machine that
// stands still is not called by all at one moment.
const overdueCheckOneIn = 6

// odd tells whether this process's digest was lately another than that of members it
// probed: what it doubts then may long be decided (memberlist takes another's dead member
// for a suspect), so it asks for itself.
func (f *Membership) digestDifferedLately() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.differedAt.IsZero() && time.Since(f.differedAt) < 2*f.digestSettleTime()
}

// found is what calling a member showed.
type addressState int

const (
	addressSilent addressState = iota // no answer in time, which says nothing
	addressAnswers
	addressRefuses
)

// ask calls a member until it answers, is silent, or has refused so often that it is gone.
func (f *Membership) checkAddress(m *Member) addressState {
	for range refusalsToDeclareDead {
		c, err := f.dialWatch(m)
		if err == nil {
			c.Close()
			return addressAnswers
		}
		if !isPeerGone(err) {
			return addressSilent
		}
		select {
		case <-time.After(milliseconds(f.cfg.ProbeIntervalMs) / 20):
		case <-f.ctx.Done():
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
