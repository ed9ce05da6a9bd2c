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
func (f *Membership) runReconnects() {
	select {
	case <-f.announced: // nobody is told of this process before it is above all earlier ones
	case <-f.ctx.Done():
		return
	}
	bound := f.backoff()
	wait := time.NewTimer(rand.N(bound.NextBackOff())) // not all at one moment after a power cut
	defer wait.Stop()
	look := time.NewTicker(milliseconds(f.cfg.ProbeIntervalMs))
	defer look.Stop()
	missing := 0
	for {
		select {
		case <-f.ctx.Done():
			return
		case <-look.C:
			f.firstExchange()
			f.syncWithDifferingPeer()
			if n := len(f.missingAddresses()); n > missing {
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
func (f *Membership) backoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = milliseconds(f.cfg.ProbeIntervalMs), milliseconds(f.cfg.ReconnectMs)
	b.Multiplier, b.RandomizationFactor = 2, 0
	b.Reset()
	return b
}

// missing are the addresses of the dead members and of the seeds that are not there.
func (f *Membership) missingAddresses() (addrs []string) {
	v := f.snapshot.Load()
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
func (f *Membership) reconnect() bool {
	addrs := f.missingAddresses()
	if len(addrs) == 0 {
		return false
	}
	f.reconnects.Add(1)
	return f.exchangeWith(addrs[rand.IntN(len(addrs))]) == nil
}

// join exchanges lists with whoever is at an address, which may have a name before it.
func (f *Membership) exchangeWith(addr string) error {
	_, err := f.list.Load().Join([]string{addr})
	if err == nil {
		f.mu.Lock()
		f.exchangedAt = time.Now()
		f.mu.Unlock()
	}
	return err
}

// greet exchanges lists with the first member that this process hears of where it has not yet
// with any: its seeds may be on the other side of a cut, and those that find it one by one
// tell it of themselves alone.
func (f *Membership) firstExchange() {
	f.mu.Lock()
	met := !f.exchangedAt.IsZero()
	f.mu.Unlock()
	if met {
		return
	}
	for _, m := range f.snapshot.Load().Members {
		if m.State == Alive && m.Name != f.cfg.Name {
			f.exchangeLists(m.Name + "/" + m.Addr)
			return
		}
	}
}

// syncOneIn is in how many probe intervals an agent whose digest differs exchanges lists once.
const exchangeOneIn = 2

// sync exchanges lists with a member whose digest was another.
func (f *Membership) syncWithDifferingPeer() {
	f.mu.Lock()
	peer := f.differingPeer
	f.differingPeer = ""
	f.mu.Unlock()
	// Few agents at a time: the others' digests change with what they bring.
	if peer == "" || rand.IntN(exchangeOneIn) != 0 {
		return
	}
	f.exchangeLists(peer)
}

// exchange gives a member, name/address, this process's list and takes its own.
func (f *Membership) exchangeLists(peer string) {
	f.exchanges.Add(1)
	if err := f.exchangeWith(peer); err != nil {
		f.log.Info("fleet: exchange of lists failed", "peer", peer, "err", err)
	}
}
