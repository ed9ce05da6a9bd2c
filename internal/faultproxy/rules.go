package faultproxy

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"
)

// Rule says what happens to the packets and connections from one process to another. Fractions are from 0 to 1 and
// apply to each packet. On a connection nothing is lost: a lost or reordered chunk arrives later, by retransmitDelay.
type Rule struct {
	Cut            bool
	Delay          time.Duration // of each packet or chunk
	Jitter         time.Duration // bounds what is added to Delay, uniformly distributed
	Loss           float64
	Duplicate      float64
	Reorder        float64       // of the packets that are delayed by reorderDelay, behind later ones
	Replay         float64       // of the packets that are sent once more after a delay
	MaxReplayDelay time.Duration // bounds that delay, uniformly distributed
}

const (
	// reorderDelay is the additional delay of a packet that is reordered.
	reorderDelay = 30 * time.Millisecond
	// retransmitDelay is the delay of a chunk that was lost, as TCP's first timeout.
	retransmitDelay = 200 * time.Millisecond
)

// SetAll sets the rule of every pair that has none of its own.
func (p *Proxy) SetAll(rule Rule) {
	p.change(func() { p.defaultRule = rule })
}

// Set sets the rule of an ordered pair.
func (p *Proxy) Set(from, to string, rule Rule) {
	p.change(func() { p.rules[pair{from, to}] = rule })
}

// Partition cuts, under a name, all pairs of processes in different groups, both ways.
func (p *Proxy) Partition(name string, groups ...[]string) {
	p.change(func() { p.partitions[name] = NewPartition(groups...) })
}

// Heal ends the partition of a name.
func (p *Proxy) Heal(name string) {
	p.change(func() { delete(p.partitions, name) })
}

// Clear ends all partitions and rules.
func (p *Proxy) Clear() {
	p.change(func() {
		p.defaultRule = Rule{}
		clear(p.rules)
		clear(p.partitions)
	})
}

// change changes the rules, and wakes the connections that are stalled by a cut.
func (p *Proxy) change(apply func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	apply()
	close(p.changed)
	p.changed = make(chan struct{})
}

// rule returns the present rule of an ordered pair. An unknown sender ("") has the rule of all.
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

// Passes reports whether anything is relayed from one process to another now.
func (p *Proxy) Passes(from, to string) bool { return !p.rule(pair{from, to}).Cut }

// passesBothWays reports whether two processes reach each other now.
func (p *Proxy) passesBothWays(of pair) bool {
	return p.Passes(of.from, of.to) && p.Passes(of.to, of.from)
}

// verdict is what happens to one packet or chunk. The zero value relays it at once.
type verdict struct {
	cut, lost, duplicate, reorder, replay bool
	delay, replayDelay                    time.Duration
}

// drawVerdict draws what happens to one packet or chunk.
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
	// All are drawn for each packet, so that one fraction does not change the others.
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
