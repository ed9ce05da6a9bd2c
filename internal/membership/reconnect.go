package membership

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// runReconnects brings together what memberlist leaves apart. It tries one seed or dead member at a time, drawn at
// random, after a time drawn from zero up to a bound that doubles to ReconnectMs (exponential backoff with full
// jitter), and exchanges lists with members whose digest stays different. The work of one agent is bounded
// however many members are missing; over all agents it adds up, so that the first pair meets within milliseconds
// after a partition.
func (m *Membership) runReconnects(ctx context.Context) {
	select {
	case <-m.announced: // nobody may learn of this process before it is above all earlier ones
	case <-ctx.Done():
		return
	}
	bound := m.newBackoff()
	wait := time.NewTimer(fullJitter(bound)) // agents that start at once do not call at once
	defer wait.Stop()
	ticker := time.NewTicker(milliseconds(m.cfg.ProbeIntervalMs))
	defer ticker.Stop()
	missing := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.firstExchange()
			m.syncWithDifferingPeer()
			missingBefore := missing
			missing = len(m.missingPeers())
			if missing > missingBefore {
				// Earlier failures tell nothing about a member that is newly missing.
				bound.Reset()
				wait.Reset(fullJitter(bound))
			}
		case <-wait.C:
			if m.reconnect() {
				bound.Reset() // one member of a side was reached: there may be more of them
			}
			wait.Reset(fullJitter(bound))
		}
	}
}

// newBackoff doubles from the probe interval to ReconnectMs; fullJitter draws from it.
func (m *Membership) newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = milliseconds(m.cfg.ProbeIntervalMs)
	b.MaxInterval = milliseconds(m.cfg.ReconnectMs)
	b.Multiplier = 2
	b.RandomizationFactor = 0
	b.Reset()
	return b
}

// fullJitter draws a time from zero up to the backoff's next interval.
func fullJitter(b *backoff.ExponentialBackOff) time.Duration { return rand.N(b.NextBackOff()) }

// missingPeers are the dead members and the seeds that are not members. Members that left are not missing.
func (m *Membership) missingPeers() []peerAddress {
	var missing []peerAddress
	memberAddrs := map[string]bool{m.cfg.Advertise: true}
	members := m.snapshot.Load().Members
	for i := range members {
		member := &members[i]
		if member.State == Dead {
			missing = append(missing, peerOf(member))
		}
		memberAddrs[member.Addr] = true
	}
	for _, seed := range m.cfg.Seeds {
		if !memberAddrs[seed] {
			missing = append(missing, peerAddress{addr: seed})
		}
	}
	return missing
}

// reconnect tries one missing peer and tells whether it answered.
func (m *Membership) reconnect() bool {
	peers := m.missingPeers()
	if len(peers) == 0 {
		return false
	}
	m.counters.reconnects.Add(1)
	return m.exchangeWith(peers[rand.IntN(len(peers))]) == nil
}
