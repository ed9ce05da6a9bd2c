package membership

import (
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
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
			f.greet()
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
	return f.join(addrs[rand.IntN(len(addrs))]) == nil
}

// join exchanges lists with whoever is at an address, which may have a name before it.
func (f *Fleet) join(addr string) error {
	_, err := f.list.Load().Join([]string{addr})
	if err == nil {
		f.mu.Lock()
		f.exchanged = time.Now()
		f.mu.Unlock()
	}
	return err
}

// greet exchanges lists with the first member that this process hears of where it has not yet
// with any: its seeds may be on the other side of a cut, and those that find it one by one
// tell it of themselves alone.
func (f *Fleet) greet() {
	f.mu.Lock()
	met := !f.exchanged.IsZero()
	f.mu.Unlock()
	if met {
		return
	}
	for _, m := range f.view.Load().Members {
		if m.State == Alive && m.Name != f.cfg.Name {
			f.exchange(m.Name + "/" + m.Addr)
			return
		}
	}
}

// syncOneIn is in how many probe intervals an agent whose digest differs exchanges lists once.
const syncOneIn = 2

// sync exchanges lists with a member whose digest was another.
func (f *Fleet) sync() {
	f.mu.Lock()
	peer := f.differ
	f.differ = ""
	f.mu.Unlock()
	// Few agents at a time: the others' digests change with what they bring.
	if peer == "" || rand.IntN(syncOneIn) != 0 {
		return
	}
	f.exchange(peer)
}

// exchange gives a member, name/address, this process's list and takes its own.
func (f *Fleet) exchange(peer string) {
	f.syncs.Add(1)
	if err := f.join(peer); err != nil {
		f.log.Info("fleet: exchange of lists failed", "peer", peer, "err", err)
	}
}
