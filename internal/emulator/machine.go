package emulator

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// node drives an engine in real time, with what a price node has beside its cores: the keys
// that it remembers, the requests that its pod has seen, and its cold bound.
type machine struct {
	mu                sync.Mutex
	emulator          *Emulator
	engine            *engine
	timer             *time.Timer
	random            *rand.Rand
	cachedKeys        map[uint64]time.Duration // when each key was last met
	failureRate       float64                  // a trouble: part of the requests that fail at once
	slowStartArrivals []arrival                // while it is cold
	workReceived      float64                  // work of what came, in seconds of a standard core
	peakSlowStartLoad float64                  // the most of its cold bound that ever came
}

// arrival is one request that came to a cold node, in requests of mean work, and whether its
// agent had been told of the start.
type arrival struct {
	at       time.Duration
	requests float64
	notified bool
}

func newMachine(w *Emulator, m Model, started time.Duration, seed uint64) *machine {
	n := &machine{emulator: w, engine: newEngine(m, w.Now(), started), random: rand.New(rand.NewPCG(seed, 7)), cachedKeys: map[uint64]time.Duration{}}
	n.timer = time.AfterFunc(time.Hour, n.tick)
	return n
}

func (n *machine) tick() { n.do(func(*engine) {}) }

// do advances the engine to now, does something to it, and sets the timer anew.
func (n *machine) do(what func(*engine)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.engine.advance(n.emulator.Now())
	what(n.engine)
	if at, ok := n.engine.nextEvent(); ok {
		n.timer.Reset(max(0, at-n.emulator.Now()))
	} else {
		n.timer.Stop()
	}
}

func (n *machine) stop() { n.timer.Stop() }

// outcome is what a node does with a request at its arrival.
type admission int

const (
	admitted admission = iota
	rejectedFull
	failedAtOnce // an error answer at once
)

// accept takes a request of a key and of work (seconds of a standard core) and a wait on others.
func (n *machine) submit(key uint64, seconds float64, wait time.Duration) (w *job, how admission) {
	n.do(func(e *engine) {
		n.workReceived += seconds
		if n.random.Float64() < math.Max(n.failureRate, e.model.ErrorRate) {
			how = failedAtOnce
			return
		}
		if e.model.CacheSaving > 0 {
			if at, ok := n.cachedKeys[key]; ok && e.now-at < e.model.CacheTTL {
				seconds *= 1 - e.model.CacheSaving
			}
			n.cacheKey(key, e.now)
		}
		w = &job{remaining: seconds, dependencyWait: wait, done: make(chan struct{})}
		if !e.submit(w) {
			w, how = nil, rejectedFull
		}
	})
	return w, how
}

// remember notes that a key was met; the one met longest ago makes room.
func (n *machine) cacheKey(key uint64, now time.Duration) {
	if _, ok := n.cachedKeys[key]; !ok && len(n.cachedKeys) >= n.engine.model.CacheSize {
		oldest, at := key, now
		for k, t := range n.cachedKeys {
			if t < at {
				oldest, at = k, t
			}
		}
		delete(n.cachedKeys, oldest)
	}
	n.cachedKeys[key] = now
}

// extra is work that no request waits for: handshakes and probes.
func (n *machine) addBackgroundWork(seconds float64) {
	n.do(func(e *engine) { e.submit(&job{remaining: seconds, done: make(chan struct{})}) })
}

func (n *machine) cancel(w *job) { n.do(func(e *engine) { e.cancel(w) }) }

// trouble sets how much slower the node is, from 1 on (infinite: it stands still), and which
// part of its requests fails.
func (n *machine) setFault(slow, fails float64) {
	n.do(func(e *engine) { e.slowFactor = slow })
	n.mu.Lock()
	n.failureRate = fails
	n.mu.Unlock()
}

// pushed notes an arrival at a cold node and tells whether it falls over: more came within the
// contract's time than N + 3 root of N + 3 requests of mean work, N being the multiple of what
// its cold share and the slowest climb make of its capacity (the standing test's page). Guilty
// are the agents that had been told of the start, if over two thirds came from them.
func (n *machine) recordArrival(seconds float64, aware bool) (falls, guilty bool) {
	c, mean := &n.emulator.config.Contract, n.emulator.meanWorkSeconds
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.emulator.Now()
	age := n.engine.age(now)
	if n.engine.started < 0 || age > c.SlowStartFor {
		return false, false
	}
	n.slowStartArrivals = append(n.slowStartArrivals, arrival{now, seconds / mean, aware})
	for now-n.slowStartArrivals[0].at > c.OverloadWindow {
		n.slowStartArrivals = n.slowStartArrivals[1:]
	}
	bound := c.SlowStartLimit(n.engine.model, max(0, age-c.OverloadWindow), age, mean)
	sum, told := 0.0, 0.0
	for _, a := range n.slowStartArrivals {
		sum += a.requests
		if a.notified {
			told += a.requests
		}
	}
	most := bound + 3*math.Sqrt(bound) + 3
	n.peakSlowStartLoad = math.Max(n.peakSlowStartLoad, sum/most)
	return sum > most, told > sum*2/3
}
