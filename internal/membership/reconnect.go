package membership

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// runReconnects reconnects to members that memberlist itself does not reconnect to. It tries one random seed or dead
// member at a time, with exponential backoff and full jitter: each wait is a random time below a bound that doubles up
// to ReconnectMs. It also exchanges lists with members whose digest stays different. The work of each agent is bounded
// however many members are missing. Because all agents try, the first pair connects within milliseconds after a
// partition has ended.
func (m *Membership) runReconnects(ctx context.Context) {
	select {
	case <-m.announced: // no member may learn of this process before its incarnation is above those of earlier ones
	case <-ctx.Done():
		return
	}
	bound := m.newBackoff()
	wait := time.NewTimer(fullJitter(bound)) // spreads the attempts of agents that start at the same time
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
				// Earlier failures say nothing about a member that has only now gone missing.
				bound.Reset()
				wait.Reset(fullJitter(bound))
			}
		case <-wait.C:
			if m.reconnect() {
				bound.Reset() // other members on the same side of the partition may be reachable too
			}
			wait.Reset(fullJitter(bound))
		}
	}
}

// newBackoff returns a backoff that doubles from the probe interval up to ReconnectMs, for use with fullJitter.
func (m *Membership) newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = milliseconds(m.cfg.ProbeIntervalMs)
	b.MaxInterval = milliseconds(m.cfg.ReconnectMs)
	b.Multiplier = 2
	b.RandomizationFactor = 0
	b.Reset()
	return b
}

// fullJitter returns a random time below the backoff's next interval.
func fullJitter(b *backoff.ExponentialBackOff) time.Duration { return rand.N(b.NextBackOff()) }

// missingPeers returns the dead members and the seeds that are not members. It leaves out members that left.
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

// reconnect tries to exchange lists with one random missing peer and reports whether it succeeded.
func (m *Membership) reconnect() bool {
	peers := m.missingPeers()
	if len(peers) == 0 {
		return false
	}
	m.counters.reconnects.Add(1)
	return m.exchangeWith(peers[rand.IntN(len(peers))]) == nil
}
