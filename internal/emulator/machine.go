package emulator

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// machineStream selects a machine's random numbers from its seed.
	machineStream = 7
	// Arrivals vary, so a server in slow start bears overloadDeviations standard deviations of a Poisson count and
	// overloadSpareRequests more than the contract's limit.
	overloadDeviations    = 3
	overloadSpareRequests = 3
	// notifiedNumerator and notifiedDenominator make the part of the load above which an overload counts as that of
	// the notified agents.
	notifiedNumerator, notifiedDenominator = 2, 3
)

// machine drives an engine in real time. It adds what a server has besides its cores: the cache of keys and the
// overload of a server in slow start. Its methods are safe for concurrent use.
type machine struct {
	emulator *Emulator

	mu                sync.Mutex
	engine            *engine
	timer             *time.Timer
	random            *rand.Rand
	cachedKeys        map[uint64]time.Duration // when each key was last requested
	failureRate       float64                  // of an injected fault: the fraction of requests that fail at once
	slowStartArrivals []arrival                // within the contract's overload window
	workReceived      float64                  // seconds of a standard core
	peakSlowStartLoad float64                  // highest load in slow start, as a fraction of the overload limit
}

// arrival is one request that reached a server in slow start.
type arrival struct {
	at       time.Duration
	requests float64 // its work, in requests of mean work
	notified bool    // its agent had been notified of the server's start
}

// newMachine returns a machine that runs until stop.
func newMachine(e *Emulator, model Model, started time.Duration, seed uint64) *machine {
	m := &machine{
		emulator:   e,
		engine:     newEngine(model, e.Now(), started),
		random:     rand.New(rand.NewPCG(seed, machineStream)),
		cachedKeys: map[uint64]time.Duration{},
	}
	m.timer = time.AfterFunc(time.Hour, m.tick) // do sets it to the first event
	return m
}

// tick handles the engine's next event.
func (m *machine) tick() { m.do(func(*engine) {}) }

// do advances the engine to now, calls a function with it, and sets the timer to the next event.
func (m *machine) do(action func(*engine)) {
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

// admission is what a machine does with a request on arrival.
type admission int

const (
	admitted admission = iota
	rejectedFull
	failedImmediately // answered with an error at once
)

// submit gives the machine a request with a key, its work (seconds of a standard core) and its wait on a dependency.
// The job is nil unless the request was admitted.
func (m *machine) submit(key uint64, seconds float64, dependencyWait time.Duration) (j *job, result admission) {
	m.do(func(e *engine) {
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

// cacheKey notes the use of a key; the least recently used one is evicted from a full cache. The caller holds mu.
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

// addBackgroundWork adds work that no request waits for, such as handshakes and health checks.
func (m *machine) addBackgroundWork(seconds float64) {
	m.do(func(e *engine) { e.submit(&job{remaining: seconds, done: make(chan struct{})}) })
}

// cancel removes a job; its work stops.
func (m *machine) cancel(j *job) { m.do(func(e *engine) { e.cancel(j) }) }

// setFault puts a fault in the place of the present one.
func (m *machine) setFault(fault ServerFault) {
	m.do(func(e *engine) {
		e.slowFactor = fault.SlowFactor
		m.failureRate = fault.FailureRate
	})
}

// recordArrival notes a request that reaches a server in slow start. The server is overloaded once more than
// N + 3 sqrt(N) + 3 requests of mean work arrive within the contract's window, where N is Contract.SlowStartLimit
// (the definition of the operators' acceptance test). byNotified tells whether more than two thirds of them came from
// agents that had been notified of the start.
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

// sumArrivals returns the load within the contract's window, in requests of mean work, and the part of it that came
// from notified agents. The caller holds mu.
func (m *machine) sumArrivals() (total, fromNotified float64) {
	for _, a := range m.slowStartArrivals {
		total += a.requests
		if a.notified {
			fromNotified += a.requests
		}
	}
	return total, fromNotified
}
