package faultproxy

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"
)

// Rule has the faults of packets and connections from one process to another. A fraction, from 0 to 1, is the
// probability of a fault for each packet. Connections lose no data: a lost or reordered chunk arrives later by
// retransmitDelay.
type Rule struct {
	Cut            bool          // nothing is relayed
	Delay          time.Duration // delay of each packet or chunk
	Jitter         time.Duration // maximum of the random addition to Delay, which is uniformly distributed
	Loss           float64       // fraction of packets that are dropped
	Duplicate      float64       // fraction of packets that are sent twice
	Reorder        float64       // fraction of packets that are delayed by reorderDelay, so that later ones pass them
	Replay         float64       // fraction of packets that are sent once more after a delay
	MaxReplayDelay time.Duration // maximum of that delay, which is uniformly distributed
}

const (
	// reorderDelay is the additional delay of a reordered packet.
	reorderDelay = 30 * time.Millisecond
	// retransmitDelay is the additional delay of a lost or reordered chunk, like TCP's first retransmission timeout.
	retransmitDelay = 200 * time.Millisecond
)

// SetAll sets the default rule, which applies to every pair without a rule of its own.
func (p *Proxy) SetAll(rule Rule) {
	p.change(func() { p.defaultRule = rule })
}

// Set sets the rule of an ordered pair of processes.
func (p *Proxy) Set(from, to string, rule Rule) {
	p.change(func() { p.rules[pair{from, to}] = rule })
}

// Partition starts a partition with the given name, which cuts all pairs of processes in different groups in both
// directions.
func (p *Proxy) Partition(name string, groups ...[]string) {
	p.change(func() { p.partitions[name] = NewPartition(groups...) })
}

// Heal ends the partition with the given name.
func (p *Proxy) Heal(name string) {
	p.change(func() { delete(p.partitions, name) })
}

// Clear removes all partitions and rules.
func (p *Proxy) Clear() {
	p.change(func() {
		p.defaultRule = Rule{}
		clear(p.rules)
		clear(p.partitions)
	})
}

// change applies a change of rules or partitions and wakes the connections that are stalled by a cut.
func (p *Proxy) change(apply func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	apply()
	close(p.changed)
	p.changed = make(chan struct{})
}

// rule returns the current rule of an ordered pair, with partitions applied. An unknown sender ("") has the default
// rule.
func (p *Proxy) rule(of pair) Rule {
	p.mu.Lock()
	defer p.mu.Unlock()
	rule, ok := p.rules[of]
	if !ok {
		rule = p.defaultRule
	}
	for _, partition := range p.partitions {
		if partition.Separates(of.from, of.to) {
			rule.Cut = true
		}
	}
	return rule
}

// Passes reports whether packets are relayed from one process to another at present, that is, whether no cut applies.
func (p *Proxy) Passes(from, to string) bool { return !p.rule(pair{from, to}).Cut }

// passesBothWays reports whether Passes is true in both directions.
func (p *Proxy) passesBothWays(of pair) bool {
	return p.Passes(of.from, of.to) && p.Passes(of.to, of.from)
}

// verdict has the faults chosen for one packet or chunk. The zero value relays it without delay.
type verdict struct {
	cut, lost, duplicate, reorder, replay bool
	delay, replayDelay                    time.Duration
}

// drawVerdict chooses the faults of one packet or chunk at random.
func (p *Proxy) drawVerdict(of pair) verdict {
	rule := p.rule(of)
	if rule.Cut {
		return verdict{cut: true}
	}
	if rule == (Rule{}) {
		return verdict{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	random := p.randomOf(of)
	// All numbers are drawn for each packet, so that a change of one fraction does not change the other faults.
	lost := random.Float64()
	duplicate := random.Float64()
	reorder := random.Float64()
	jitter := random.Float64()
	replay := random.Float64()
	replayDelay := random.Float64()
	v := verdict{
		lost:        lost < rule.Loss,
		duplicate:   duplicate < rule.Duplicate,
		reorder:     reorder < rule.Reorder,
		replay:      replay < rule.Replay,
		delay:       rule.Delay + time.Duration(jitter*float64(rule.Jitter)),
		replayDelay: time.Duration(replayDelay * float64(rule.MaxReplayDelay)),
	}
	if v.reorder {
		v.delay += reorderDelay
	}
	return v
}

// randomOf returns the random number generator of an ordered pair. The caller holds mu.
func (p *Proxy) randomOf(of pair) *rand.Rand {
	random := p.random[of]
	if random == nil {
		hash := fnv.New64a()
		_, _ = fmt.Fprintf(hash, "%s\x00%s", of.from, of.to) // a hash.Hash never returns an error
		random = rand.New(rand.NewPCG(p.seed, hash.Sum64()))
		p.random[of] = random
	}
	return random
}
