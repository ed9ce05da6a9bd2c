package fleet

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/hashicorp/memberlist"
)

// heal brings together what memberlist leaves apart: it tries one seed or dead member at a
// time, drawn at random, after a time drawn from zero up to a bound that doubles (full
// jitter) to ReconnectMs, and exchanges lists with members whose digest stays another. The
// work of an agent is bounded however many are missing; over a fleet it adds up, so that
// the first pair to meet after a cut is a matter of milliseconds.
func (f *Fleet) heal() {
	select {
	case <-f.known: // nobody is told of this process before it is above all earlier ones
	case <-f.ctx.Done():
		return
	}
	bound := f.backoff()
	wait := time.NewTimer(rand.N(bound.NextBackOff())) // not all at one moment after a power cut
	defer wait.Stop()
	look := time.NewTicker(ms(f.cfg.ProbeIntervalMs))
	defer look.Stop()
	missing := 0
	for {
		select {
		case <-f.ctx.Done():
			return
		case <-look.C:
			f.sync()
			if n := len(f.missing()); n > missing {
				// Someone else is gone: what was tried in vain before says nothing of it.
				bound.Reset()
				missing = n
				wait.Reset(rand.N(bound.NextBackOff()))
			} else {
				missing = n
			}
		case <-wait.C:
			if f.reconnect() {
				bound.Reset() // a side was reached: there may be more to tell it
			}
			wait.Reset(rand.N(bound.NextBackOff()))
		}
	}
}

// backoff doubles from the probe interval to ReconnectMs; the jitter is drawn over all of it.
func (f *Fleet) backoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = ms(f.cfg.ProbeIntervalMs), ms(f.cfg.ReconnectMs)
	b.Multiplier, b.RandomizationFactor = 2, 0
	b.Reset()
	return b
}

// missing are the addresses of the dead members and of the seeds that are not there.
func (f *Fleet) missing() (addrs []string) {
	v := f.view.Load()
	there := map[string]bool{f.cfg.Advertise: true}
	for i := range v.Members {
		m := &v.Members[i]
		if m.State == Dead {
			addrs = append(addrs, m.Name+"/"+m.Addr)
		}
		there[m.Addr] = true // what left is not sought
	}
	for _, s := range f.cfg.Seeds {
		if !there[s] {
			addrs = append(addrs, s)
		}
	}
	return addrs
}

// reconnect tries one of what is missing and tells whether it answered.
func (f *Fleet) reconnect() bool {
	addrs := f.missing()
	if len(addrs) == 0 {
		return false
	}
	f.heals.Add(1)
	n, _ := f.list.Load().Join([]string{addrs[rand.IntN(len(addrs))]})
	return n > 0
}

// sync exchanges lists with a member whose digest was another.
func (f *Fleet) sync() {
	f.mu.Lock()
	peer := f.differ
	f.differ = ""
	f.mu.Unlock()
	// One agent in so many at a time: the others' digests change with what it brings.
	if peer == "" || rand.IntN(3) != 0 {
		return
	}
	f.syncs.Add(1)
	if _, err := f.list.Load().Join([]string{peer}); err != nil {
		f.log.Info("fleet: exchange with a member of another digest", "peer", peer, "err", err)
	}
}

// checkers is how many agents look at a suspect in each probe interval, on average over
// the fleet, and sure how many refusals one after the other declare it dead.
const (
	checkers = 3
	sure     = 2
)

// confirm looks at suspects: where the address refuses calls, or ends them without a word,
// the process is gone (PROTOCOL, "The network"), and it is declared dead without waiting
// for the rest of the suspicion. One that stands still or is cut off says nothing, and
// keeps its time.
func (f *Fleet) confirm() {
	look := time.NewTicker(ms(f.cfg.ProbeIntervalMs) / 2)
	defer look.Stop()
	for {
		select {
		case <-f.ctx.Done():
			return
		case <-look.C:
		}
		v := f.view.Load()
		for i := range v.Members {
			if m := &v.Members[i]; m.State == Suspect && rand.IntN(max(1, v.Present)) < checkers {
				if f.refuses(m) {
					f.gone.Add(1)
					f.log.Info("fleet: a suspect's address refuses calls", "name", m.Name, "addr", m.Addr)
					f.tr.inject(encodeMessage(msgDead, deadMessage{Incarnation: m.Incarnation, Node: m.Name, From: f.cfg.Name}))
				}
				break // one at a time: the others have their checkers
			}
		}
	}
}

func (f *Fleet) refuses(m *Member) bool {
	for range sure {
		if !f.refusesOnce(m) {
			return false
		}
		select {
		case <-time.After(ms(f.cfg.ProbeIntervalMs) / 6):
		case <-f.ctx.Done():
			return false
		}
	}
	return true
}

// refusesOnce makes one call and tells whether it was refused, reset or ended before its
// answer. No answer in time is no refusal.
func (f *Fleet) refusesOnce(m *Member) bool {
	within := ms(f.cfg.ProbeIntervalMs)
	c, err := f.tr.DialAddressTimeout(memberlist.Address{Name: m.Name, Addr: m.Addr}, within)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(within))
	if err := memberlist.AddLabelHeaderToStream(c, f.cfg.Site); err != nil {
		return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
	}
	if _, err := c.Write(encodeMessage(msgPing, pingMessage{SeqNo: rand.Uint32(), Node: m.Name})); err == nil {
		_, err = c.Read(make([]byte, 1))
		var timeout net.Error
		if err == nil || errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout() {
			return false
		}
		return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)
	}
	return false
}
