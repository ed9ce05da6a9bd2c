package emulator

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// machineStream is the random number stream of every machine; each machine has its own seed.
	machineStream = 7
	// Arrivals vary, so a server in slow start tolerates overloadDeviations standard deviations of a Poisson count plus
	// overloadSpareRequests requests above the contract's limit.
	overloadDeviations    = 3
	overloadSpareRequests = 3
	// notifiedNumerator and notifiedDenominator form the fraction of the load above which an overload is attributed to
	// the notified agents.
	notifiedNumerator, notifiedDenominator = 2, 3
)

// machine runs an engine in real time. It also emulates what the engine does not: the cache of keys, requests that fail
// immediately, and the overload of a server in slow start. Its methods are safe for concurrent use.
type machine struct {
	emulator *Emulator

	mu                sync.Mutex
	engine            *engine
	timer             *time.Timer
	random            *rand.Rand
	cachedKeys        map[uint64]time.Duration // last use of each cached key
	failureRate       float64                  // of an injected fault: fraction of requests that fail immediately
	slowStartArrivals []arrival                // those within the contract's overload window
	workReceived      float64                  // in seconds of a standard core
	peakSlowStartLoad float64                  // highest load in slow start, as a fraction of the overload limit
}

// arrival is the arrival of a request at a server in slow start.
type arrival struct {
	at       time.Duration
	requests float64 // its work, in units of the mean work
	notified bool    // its agent had been notified of the server's start
}

// newMachine returns a machine that runs until stop is called.
func newMachine(e *Emulator, model Model, started time.Duration, seed uint64) *machine {
	m := &machine{
		emulator:   e,
		engine:     newEngine(model, e.Now(), started),
		random:     rand.New(rand.NewPCG(seed, machineStream)),
		cachedKeys: map[uint64]time.Duration{},
	}
	m.timer = time.AfterFunc(time.Hour, m.tick) // update resets it to the first event
	return m
}

// tick processes the engine's due events.
func (m *machine) tick() { m.update(func(*engine) {}) }

// update advances the engine to the current time, calls action with it, and resets the timer to the engine's next
// event.
func (m *machine) update(action func(*engine)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.engine.advance(m.emulator.Now())
	action(m.engine)
	if at, ok := m.engine.nextEvent(); ok {
		m.timer.Reset(max(0, at-m.emulator.Now()))
	} else {
		m.timer.Stop()
	}
}

// stop ends the machine's timer.
func (m *machine) stop() { m.timer.Stop() }

// admission is a machine's decision about an arriving request.
type admission int

const (
	admitted admission = iota
	rejectedFull
	failedImmediately // answered with an error, without any work
)

// submit passes a request to the machine: its key, its work in seconds of a standard core, and its wait for a
// dependency. The returned job is nil unless the request was admitted.
func (m *machine) submit(key uint64, seconds float64, dependencyWait time.Duration) (j *job, result admission) {
	m.update(func(e *engine) {
		m.workReceived += seconds
		if m.random.Float64() < math.Max(m.failureRate, e.model.ErrorRate) {
			result = failedImmediately
			return
		}
		if e.model.CacheSaving > 0 {
			if at, ok := m.cachedKeys[key]; ok && e.now-at < e.model.CacheTTL {
				seconds *= 1 - e.model.CacheSaving
			}
			m.cacheKey(key, e.now)
		}
		j = &job{remaining: seconds, dependencyWait: dependencyWait, done: make(chan struct{})}
		if !e.submit(j) {
			j = nil
			result = rejectedFull
		}
	})
	return j, result
}

// cacheKey records the use of a key. If the cache is full, it evicts the least recently used key. The caller must hold
// m.mu.
func (m *machine) cacheKey(key uint64, now time.Duration) {
	if _, ok := m.cachedKeys[key]; !ok && len(m.cachedKeys) >= m.engine.model.CacheSize {
		oldest, oldestUse := key, now
		for k, used := range m.cachedKeys {
			if used < oldestUse {
				oldest, oldestUse = k, used
			}
		}
		delete(m.cachedKeys, oldest)
	}
	m.cachedKeys[key] = now
}

// addBackgroundWork adds work that no request waits for, such as that of handshakes and health checks.
func (m *machine) addBackgroundWork(seconds float64) {
	m.update(func(e *engine) { e.submit(&job{remaining: seconds, done: make(chan struct{})}) })
}

// cancel stops and removes a job.
func (m *machine) cancel(j *job) { m.update(func(e *engine) { e.cancel(j) }) }

// setFault replaces the current fault.
func (m *machine) setFault(fault ServerFault) {
	m.update(func(e *engine) {
		e.slowFactor = fault.SlowFactor
		m.failureRate = fault.FailureRate
	})
}

// recordArrival records a request that reaches a server in slow start. It returns overloaded if more than N + 3 sqrt(N)
// + 3 requests of mean work have arrived within the contract's overload window. N is the number that
// Contract.SlowStartLimit allows in this window. The formula is the definition of overload in the operators' acceptance
// test. byNotified reports whether more than two thirds of the work in the window came from agents that had been
// notified of the start. Both results are false if the server is not in slow start.
func (m *machine) recordArrival(seconds float64, notified bool) (overloaded, byNotified bool) {
	contract := &m.emulator.config.Contract
	mean := m.emulator.meanWorkSeconds
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.emulator.Now()
	age := m.engine.age(now)
	if m.engine.started < 0 || age > contract.SlowStartFor {
		return false, false
	}
	m.slowStartArrivals = append(m.slowStartArrivals, arrival{now, seconds / mean, notified})
	for now-m.slowStartArrivals[0].at > contract.OverloadWindow {
		m.slowStartArrivals = m.slowStartArrivals[1:]
	}
	total, fromNotified := m.sumArrivals()
	expected := contract.SlowStartLimit(m.engine.model, max(0, age-contract.OverloadWindow), age, mean)
	limit := expected + overloadDeviations*math.Sqrt(expected) + overloadSpareRequests
	m.peakSlowStartLoad = math.Max(m.peakSlowStartLoad, total/limit)
	return total > limit, fromNotified > total*notifiedNumerator/notifiedDenominator
}

// sumArrivals returns the load within the contract's overload window, in requests of mean work, and the part of it that
// came from notified agents. The caller must hold m.mu.
func (m *machine) sumArrivals() (total, fromNotified float64) {
	for _, a := range m.slowStartArrivals {
		total += a.requests
		if a.notified {
			fromNotified += a.requests
		}
	}
	return total, fromNotified
}
