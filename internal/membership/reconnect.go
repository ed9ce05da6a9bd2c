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
func (m *Membership) runReconnects() {
	select {
	case <-m.announced: // nobody is told of this process before it is above all earlier ones
	case <-m.ctx.Done():
		return
	}
	bound := m.backoff()
	wait := time.NewTimer(rand.N(bound.NextBackOff())) // not all at one moment after a power cut
	defer wait.Stop()
	look := time.NewTicker(milliseconds(m.cfg.ProbeIntervalMs))
	defer look.Stop()
	missing := 0
	for {
		select {
		case <-m.ctx.Done():
			return
		case <-look.C:
			m.firstExchange()
			m.syncWithDifferingPeer()
			if n := len(m.missingAddresses()); n > missing {
				// Someone else is gone: what was tried in vain before says nothing of it.
				bound.Reset()
				missing = n
				wait.Reset(rand.N(bound.NextBackOff()))
			} else {
				missing = n
			}
		case <-wait.C:
			if m.reconnect() {
				bound.Reset() // a side was reached: there may be more to tell it
			}
			wait.Reset(rand.N(bound.NextBackOff()))
		}
	}
}

// backoff doubles from the probe interval to ReconnectMs; the jitter is drawn over all of it.
func (m *Membership) backoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = milliseconds(m.cfg.ProbeIntervalMs), milliseconds(m.cfg.ReconnectMs)
	b.Multiplier, b.RandomizationFactor = 2, 0
	b.Reset()
	return b
}

// missing are the addresses of the dead members and of the seeds that are not there.
func (m *Membership) missingAddresses() (addrs []string) {
	snapshot := m.snapshot.Load()
	there := map[string]bool{m.cfg.Advertise: true}
	for i := range snapshot.Members {
		member := &snapshot.Members[i]
		if member.State == Dead {
			addrs = append(addrs, member.Name+"/"+member.Addr)
		}
		there[member.Addr] = true // what left is not sought
	}
	for _, s := range m.cfg.Seeds {
		if !there[s] {
			addrs = append(addrs, s)
		}
	}
	return addrs
}

// reconnect tries one of what is missing and tells whether it answered.
func (m *Membership) reconnect() bool {
	addrs := m.missingAddresses()
	if len(addrs) == 0 {
		return false
	}
	m.reconnects.Add(1)
	return m.exchangeWith(addrs[rand.IntN(len(addrs))]) == nil
}

// join exchanges lists with whoever is at an address, which may have a name before it.
func (m *Membership) exchangeWith(addr string) error {
	_, err := m.list.Load().Join([]string{addr})
	if err == nil {
		m.mu.Lock()
		m.exchangedAt = time.Now()
		m.mu.Unlock()
	}
	return err
}

// greet exchanges lists with the first member that this process hears of where it has not yet
// with any: its seeds may be on the other side of a cut, and those that find it one by one
// tell it of themselves alone.
func (m *Membership) firstExchange() {
	m.mu.Lock()
	met := !m.exchangedAt.IsZero()
	m.mu.Unlock()
	if met {
		return
	}
	for _, member := range m.snapshot.Load().Members {
		if member.State == Alive && member.Name != m.cfg.Name {
			m.exchangeLists(member.Name + "/" + member.Addr)
			return
		}
	}
}

// syncOneIn is in how many probe intervals an agent whose digest differs exchanges lists once.
const exchangeOneIn = 2

// sync exchanges lists with a member whose digest was another.
func (m *Membership) syncWithDifferingPeer() {
	m.mu.Lock()
	peer := m.differingPeer
	m.differingPeer = ""
	m.mu.Unlock()
	// Few agents at a time: the others' digests change with what they bring.
	if peer == "" || rand.IntN(exchangeOneIn) != 0 {
		return
	}
	m.exchangeLists(peer)
}

// exchange gives a member, name/address, this process's list and takes its own.
func (m *Membership) exchangeLists(peer string) {
	m.exchanges.Add(1)
	if err := m.exchangeWith(peer); err != nil {
		m.log.Info("fleet: exchange of lists failed", "peer", peer, "err", err)
	}
}
