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
const watched = 3

// msgWatch begins a stream that stays open for as long as both processes live. It is no
// message of memberlist's.
const msgWatch = 200

// watch keeps the connections to this member's successors.
func (f *Fleet) watch() {
	open := map[string]net.Conn{} // by process
	want := make([]Member, 0, watched)
	var mu sync.Mutex
	look := time.NewTicker(ms(f.cfg.ProbeIntervalMs) / 4)
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
			c, err := f.openWatch(&m)
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
					f.ended(&m)
				}
			}()
		}
	}
}

// successors are the members that this one watches, appended to into: those whose hashed names follow its
// own, the next one first. It takes one pass and no memory, as each look asks for them.
func (f *Fleet) successors(into []Member) []Member {
	members, own := f.view.Load().Members, xxhash.Sum64String(f.cfg.Name)
	var nearest [watched]struct {
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
		if at == watched {
			continue
		}
		found = min(found+1, watched)
		copy(nearest[at+1:found], nearest[at:])
		nearest[at].after, nearest[at].index = after, i
	}
	for _, n := range nearest[:found] {
		into = append(into, members[n.index])
	}
	return into
}

// openWatch opens a connection to a member and has it acknowledged.
func (f *Fleet) openWatch(m *Member) (net.Conn, error) {
	c, err := f.tr.DialAddressTimeout(memberlist.Address{Name: m.Name, Addr: m.Addr}, ms(f.cfg.ProbeIntervalMs))
	if err != nil {
		return nil, err
	}
	c.SetDeadline(time.Now().Add(ms(f.cfg.ProbeIntervalMs)))
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
func (f *Fleet) ended(m *Member) {
	if now, ok := f.view.Load().Member(m.Name); ok && now.Process == m.Process && now.State.present() && f.ask(m) == gone {
		f.declareGone(&now)
	}
}

// declareGone tells memberlist, and so the fleet, that a member is dead.
func (f *Fleet) declareGone(m *Member) {
	f.lost.Add(1)
	f.log.Info("fleet: a member's address refuses calls", "name", m.Name, "addr", m.Addr)
	f.tr.inject(encodeMessage(msgDead, deadMessage{Incarnation: m.Incarnation, Node: m.Name, From: f.cfg.Name}))
}

// checkers is how many agents look at a suspect in each probe interval, on average over
// the fleet, and sure how many refusals one after the other declare it dead.
const (
	checkers = 3
	sure     = 3
)

// confirm asks suspects. Where the address refuses calls, or ends them without a word, the
// process is gone (PROTOCOL, "The network"), and it is declared dead without waiting for
// the rest of the suspicion. One that answers is told that it is suspected, so that it
// refutes. One that stands still or is cut off says nothing, and keeps its time; once that is
// half over another member is asked what it knows.
func (f *Fleet) confirm() {
	look := time.NewTicker(ms(f.cfg.ProbeIntervalMs) / 2)
	defer look.Stop()
	for {
		select {
		case <-f.ctx.Done():
			return
		case <-look.C:
		}
		v, odd := f.view.Load(), f.odd()
		for i := range v.Members {
			m := &v.Members[i]
			if m.State != Suspect || !odd && !f.overdue(m) && rand.IntN(max(1, v.Present)) >= checkers {
				continue
			}
			switch f.ask(m) {
			case gone:
				f.declareGone(m)
			case there:
				f.exchange(m.Name + "/" + m.Addr)
			case silent:
				f.askOthers(m)
			}
			break // one at a time: the others have their checkers
		}
	}
}

// askOthers exchanges lists with some member about a suspect that is silent to this process: the
// suspicion may be refuted to all others, and no digest shows it, as doubts do not count there.
func (f *Fleet) askOthers(suspect *Member) {
	f.mu.Lock()
	lately := time.Since(f.exchanged) < ms(f.cfg.SuspectTimeoutMs)/2
	f.mu.Unlock()
	if lately || time.Since(suspect.since) < ms(f.cfg.SuspectTimeoutMs)/2 {
		return
	}
	v := f.view.Load()
	from := rand.IntN(len(v.Members))
	for i := range v.Members {
		if m := &v.Members[(from+i)%len(v.Members)]; m.State == Alive && m.Name != f.cfg.Name {
			f.exchange(m.Name + "/" + m.Addr)
			return
		}
	}
}

// overdue tells, now and then, that a suspicion is half over: the others may long have heard
// its refutation, which this process missed, so it asks for itself.
func (f *Fleet) overdue(m *Member) bool {
	return time.Since(m.since) > ms(f.cfg.SuspectTimeoutMs)/2 && rand.IntN(overdueOneIn) == 0
}

// overdueOneIn is in how many looks an overdue suspect is asked once, so that a machine that
// stands still is not called by all at one moment.
const overdueOneIn = 6

// odd tells whether this process's digest was lately another than that of members it
// probed: what it doubts then may long be decided (memberlist takes another's dead member
// for a suspect), so it asks for itself.
func (f *Fleet) odd() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.differed.IsZero() && time.Since(f.differed) < 2*f.differFor()
}

// found is what calling a member showed.
type found int

const (
	silent found = iota // no answer in time, which says nothing
	there
	gone
)

// ask calls a member until it answers, is silent, or has refused so often that it is gone.
func (f *Fleet) ask(m *Member) found {
	for range sure {
		c, err := f.openWatch(m)
		if err == nil {
			c.Close()
			return there
		}
		if !ended(err) {
			return silent
		}
		select {
		case <-time.After(ms(f.cfg.ProbeIntervalMs) / 20):
		case <-f.ctx.Done():
			return silent
		}
	}
	return gone
}

// ended tells whether a call failed because nobody is there: it was refused, reset or ended. A connection
// that broke may show as the kernel's ETIMEDOUT or EHOSTUNREACH too; where it never came up these tell
// only that nothing was heard.
func ended(err error) bool {
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
