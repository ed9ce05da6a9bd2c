package faultproxy

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"
)

// Rule says what happens to what goes from one process to another. Fractions are from 0 to 1 and count for each packet;
// on a connection, where nothing is lost, a lost or reordered chunk comes later by a retransmission's time.
type Rule struct {
	Cut            bool
	Delay          time.Duration // of each packet or chunk
	Jitter         time.Duration // added to it, drawn evenly from 0 to Jitter
	Loss           float64
	Duplicate      float64
	Reorder        float64 // delayed behind those that come within reorderDelay
	Replay         float64 // of packets: comes once more, drawn evenly from 0 to MaxReplayDelay later
	MaxReplayDelay time.Duration
}

const (
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

// Unset gives an ordered pair the rule that all have.
func (p *Proxy) Unset(from, to string) {
	p.change(func() { delete(p.rules, pair{from, to}) })
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

// rule is the rule of an ordered pair now. An unknown sender ("") has the rule of all.
func (p *Proxy) rule(from, to string) Rule {
	p.mu.Lock()
	defer p.mu.Unlock()
	rule, ok := p.rules[pair{from, to}]
	if !ok {
		rule = p.defaultRule
	}
	for _, partition := range p.partitions {
		if partition.Separates(from, to) {
			rule.Cut = true
		}
	}
	return rule
}

// Passes tells whether anything goes from one process to another now.
func (p *Proxy) Passes(from, to string) bool { return !p.rule(from, to).Cut }

// passesBothWays tells whether two processes reach each other now.
func (p *Proxy) passesBothWays(a, b string) bool { return p.Passes(a, b) && p.Passes(b, a) }

// verdict is what happens to one packet or chunk.
type verdict struct {
	cut, lost, duplicate, reorder, replay bool
	delay, replayDelay                    time.Duration
}

// drawVerdict draws what happens to one packet or chunk.
func (p *Proxy) drawVerdict(from, to string) verdict {
	rule := p.rule(from, to)
	if rule.Cut {
		return verdict{cut: true}
	}
	if rule == (Rule{}) {
		return verdict{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	random := p.randomOf(pair{from, to})
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

// randomOf is the generator of an ordered pair. The caller holds mu.
func (p *Proxy) randomOf(of pair) *rand.Rand {
	random := p.random[of]
	if random == nil {
		hash := fnv.New64a()
		_, _ = fmt.Fprintf(hash, "%s\x00%s", of.from, of.to) // a hash takes every write
		random = rand.New(rand.NewPCG(p.seed, hash.Sum64()))
		p.random[of] = random
	}
	return random
}
