package emulator

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// node drives an engine in real time, with what a price node has beside its cores: the keys
// that it remembers, the requests that its pod has seen, and its cold bound.
type node struct {
	mu    sync.Mutex
	w     *World
	e     *engine
	timer *time.Timer
	draw  *rand.Rand
	keys  map[uint64]time.Duration // when each key was last met
	fails float64                  // a trouble: part of the requests that fail at once
	got   []arrival                // while it is cold
	load  float64                  // work of what came, in seconds of a standard core
	cold  float64                  // the most of its cold bound that ever came
}

// arrival is one request that came to a cold node, in requests of mean work, and whether its
// agent had been told of the start.
type arrival struct {
	at    time.Duration
	size  float64
	aware bool
}

func newNode(w *World, m Model, started time.Duration, seed uint64) *node {
	n := &node{w: w, e: newEngine(m, w.Now(), started), draw: rand.New(rand.NewPCG(seed, 7)), keys: map[uint64]time.Duration{}}
	n.timer = time.AfterFunc(time.Hour, n.tick)
	return n
}

func (n *node) tick() { n.do(func(*engine) {}) }

// do advances the engine to now, does something to it, and sets the timer anew.
func (n *node) do(what func(*engine)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.e.advance(n.w.Now())
	what(n.e)
	if at, ok := n.e.next(); ok {
		n.timer.Reset(max(0, at-n.w.Now()))
	} else {
		n.timer.Stop()
	}
}

func (n *node) stop() { n.timer.Stop() }

// outcome is what a node does with a request at its arrival.
type outcome int

const (
	accepted outcome = iota
	full
	failed // an error answer at once
)

// accept takes a request of a key and of work (seconds of a standard core) and a wait on others.
func (n *node) accept(key uint64, seconds float64, wait time.Duration) (w *work, how outcome) {
	n.do(func(e *engine) {
		n.load += seconds
		if n.draw.Float64() < math.Max(n.fails, e.m.ErrorRate) {
			how = failed
			return
		}
		if e.m.KeyGain > 0 {
			if at, ok := n.keys[key]; ok && e.now-at < e.m.KeyFor {
				seconds *= 1 - e.m.KeyGain
			}
			n.remember(key, e.now)
		}
		w = &work{left: seconds, wait: wait, done: make(chan struct{})}
		if !e.take(w) {
			w, how = nil, full
		}
	})
	return w, how
}

// remember notes that a key was met; the one met longest ago makes room.
func (n *node) remember(key uint64, now time.Duration) {
	if _, ok := n.keys[key]; !ok && len(n.keys) >= n.e.m.Keys {
		oldest, at := key, now
		for k, t := range n.keys {
			if t < at {
				oldest, at = k, t
			}
		}
		delete(n.keys, oldest)
	}
	n.keys[key] = now
}

// extra is work that no request waits for: handshakes and probes.
func (n *node) extra(seconds float64) {
	n.do(func(e *engine) { e.take(&work{left: seconds, done: make(chan struct{})}) })
}

func (n *node) drop(w *work) { n.do(func(e *engine) { e.drop(w) }) }

// trouble sets how much slower the node is, from 1 on (infinite: it stands still), and which
// part of its requests fails.
func (n *node) trouble(slow, fails float64) {
	n.do(func(e *engine) { e.slow = slow })
	n.mu.Lock()
	n.fails = fails
	n.mu.Unlock()
}

// pushed notes an arrival at a cold node and tells whether it falls over: more came within the
// contract's time than N + 3 root of N + 3 requests of mean work, N being the multiple of what
// its cold share and the slowest climb make of its capacity (the standing test's page). Guilty
// are the agents that had been told of the start, if over two thirds came from them.
func (n *node) pushed(seconds float64, aware bool) (falls, guilty bool) {
	c, mean := &n.w.cfg.Contract, n.w.meanWork
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.w.Now()
	age := n.e.age(now)
	if n.e.started < 0 || age > c.ColdFor {
		return false, false
	}
	n.got = append(n.got, arrival{now, seconds / mean, aware})
	for now-n.got[0].at > c.FallIn {
		n.got = n.got[1:]
	}
	bound := c.Cold(n.e.m, max(0, age-c.FallIn), age, mean)
	sum, told := 0.0, 0.0
	for _, a := range n.got {
		sum += a.size
		if a.aware {
			told += a.size
		}
	}
	most := bound + 3*math.Sqrt(bound) + 3
	n.cold = math.Max(n.cold, sum/most)
	return sum > most, told > sum*2/3
}
