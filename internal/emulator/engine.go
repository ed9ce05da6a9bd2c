package emulator

import (
	"math"
	"time"
)

// Model is what a price node's machine is; a zero field is a thing that it does not have.
type Model struct {
	Kind            string        `toml:"kind"`
	Cores           int           `toml:"cores"`
	Speed           float64       `toml:"speed"`     // of a core, in standard cores
	Slots           int           `toml:"slots"`     // requests served at a time, those that wait on others included
	Queue           int           `toml:"queue"`     // requests that wait for a slot; more are turned away
	SlowStartFrom   float64       `toml:"cold_from"` // part of its capacity right after a start
	SlowStartFor    time.Duration `toml:"cold_for"`  // until it has all, evenly
	ThrashLoss      float64       `toml:"thrash"`    // part of its capacity lost at twice ThrashAt requests a core
	ThrashAt        float64       `toml:"thrash_at"` // requests held a core from which on it loses any
	Congestion      Congestion    `toml:"choke"`
	CacheSaving     float64       `toml:"key_gain"`   // part of the work that a key met lately spares
	CacheTTL        time.Duration `toml:"key_for"`    // how long a key is remembered
	CacheSize       int           `toml:"keys"`       // how many keys are, at the most
	MaxConnections  int           `toml:"conns"`      // connections; requests on more are turned away
	HandshakeWork   time.Duration `toml:"handshake"`  // work of a new connection, on a standard core
	HealthCheckWork time.Duration `toml:"probe"`      // work of a probe
	ErrorRate       float64       `toml:"error_rate"` // part of the requests that fail at once
}

// Choke is how a node slows down that has held too much for too long: with more than At
// requests a core for Over, it is Slower times slower until it has held less than Below a core
// for Rest, or for Most.
type Congestion struct {
	OnsetLoad    float64       `toml:"at"`
	RecoveryLoad float64       `toml:"below"`
	OnsetTime    time.Duration `toml:"over"`
	RecoveryTime time.Duration `toml:"rest"`
	MaxTime      time.Duration `toml:"most"`
	Factor       float64       `toml:"slower"`
}

// work is one request in a node: processor time first, then a wait on others.
type job struct {
	remaining      float64       // seconds of a standard core
	dependencyWait time.Duration // on others, after that
	waitEnds       time.Duration // the end of the wait, once it has begun
	done           chan struct{} // closed when it is served
	state          jobState
}

type jobState int

const (
	jobInactive jobState = iota // served, called off or turned away
	jobQueued
	jobRunning
	jobWaiting
)

// engine is a node's machine in a time that it is told: cores shared evenly by the requests
// that compute (processor sharing, one core for each at the most), a first-come queue for the
// slots. It has no clock and no goroutine. Times count from the world's start.
type engine struct {
	model      Model
	now        time.Duration
	started    time.Duration // of the process; below zero: long ago
	slowFactor float64       // a trouble's factor, from 1 on; infinite: it stands still
	jobs       [4][]*job     // by place

	overloadedSince, recoveringSince, congestedSince time.Duration // below zero: not
	busyCoreSeconds                                  float64       // core seconds given so far
}

func newEngine(m Model, now, started time.Duration) *engine {
	return &engine{model: m, now: now, started: started, slowFactor: 1, overloadedSince: -1, recoveringSince: -1, congestedSince: -1}
}

// capacity is the part of the machine that is there at a time, by its age.
func (m *Model) capacityFraction(age time.Duration) float64 {
	if m.SlowStartFor <= 0 || age >= m.SlowStartFor {
		return 1
	}
	return m.SlowStartFrom + (1-m.SlowStartFrom)*float64(max(0, age))/float64(m.SlowStartFor)
}

func (e *engine) age(now time.Duration) time.Duration {
	if e.started < 0 {
		return math.MaxInt64
	}
	return now - e.started
}

func (e *engine) jobCount() int {
	return len(e.jobs[jobQueued]) + len(e.jobs[jobRunning]) + len(e.jobs[jobWaiting])
}

// rate is how fast each running request computes now, in standard cores.
func (e *engine) rate() float64 {
	n := len(e.jobs[jobRunning])
	if n == 0 || math.IsInf(e.slowFactor, 1) {
		return 0
	}
	r := e.model.Speed * e.model.capacityFraction(e.age(e.now)) / e.slowFactor * math.Min(1, float64(e.model.Cores)/float64(n))
	if load := float64(e.jobCount()) / float64(e.model.Cores); e.model.ThrashAt > 0 && load > e.model.ThrashAt {
		r *= 1 - e.model.ThrashLoss*math.Min(1, load/e.model.ThrashAt-1)
	}
	if e.congestedSince >= 0 {
		r /= e.model.Congestion.Factor
	}
	return r
}

// step bounds how long a rate that moves by itself is taken for constant.
const rateStep = 50 * time.Millisecond

// next is when something happens by itself.
func (e *engine) nextEvent() (at time.Duration, ok bool) {
	at = math.MaxInt64
	if r := e.rate(); r > 0 {
		for _, w := range e.jobs[jobRunning] {
			at = min(at, e.now+time.Duration(math.Ceil(w.remaining/r*1e9)))
		}
		if e.model.SlowStartFor > 0 && e.age(e.now) < e.model.SlowStartFor {
			at = min(at, e.now+rateStep)
		}
	}
	for _, w := range e.jobs[jobWaiting] {
		at = min(at, w.waitEnds)
	}
	if e.model.Congestion.Factor > 0 && (e.jobCount() > 0 || e.congestedSince >= 0) {
		at = min(at, e.now+rateStep)
	}
	return at, at < math.MaxInt64
}

// advance lets time pass up to now.
func (e *engine) advance(now time.Duration) {
	for {
		at, ok := e.nextEvent()
		if !ok || at > now {
			break
		}
		e.computeUntil(max(at, e.now))
		e.completeDue()
	}
	e.computeUntil(now)
}

// run computes up to a time at which nothing else happens.
func (e *engine) computeUntil(to time.Duration) {
	r, d := e.rate(), (to - e.now).Seconds()
	for _, w := range e.jobs[jobRunning] {
		w.remaining -= r * d
	}
	if r > 0 && e.model.Speed > 0 {
		e.busyCoreSeconds += d * math.Min(float64(e.model.Cores), float64(len(e.jobs[jobRunning])))
	}
	e.now = to
}

// settle moves on what is at the end of something.
func (e *engine) completeDue() {
	const done = 1e-9
	for _, w := range append([]*job(nil), e.jobs[jobRunning]...) {
		if w.remaining <= done {
			e.setState(w, jobWaiting)
			w.waitEnds = e.now + w.dependencyWait
		}
	}
	for _, w := range append([]*job(nil), e.jobs[jobWaiting]...) {
		if w.waitEnds <= e.now {
			e.setState(w, jobInactive)
			close(w.done)
		}
	}
	e.startQueued()
	e.updateCongestion()
}

// fill gives free slots to the queue.
func (e *engine) startQueued() {
	for len(e.jobs[jobQueued]) > 0 && len(e.jobs[jobRunning])+len(e.jobs[jobWaiting]) < e.model.Slots {
		e.setState(e.jobs[jobQueued][0], jobRunning)
	}
}

func (e *engine) updateCongestion() {
	c := &e.model.Congestion
	if c.Factor <= 0 {
		return
	}
	load := float64(e.jobCount()) / float64(e.model.Cores)
	since := func(t *time.Duration, on bool) time.Duration {
		if !on {
			*t = -1
			return -1
		}
		if *t < 0 {
			*t = e.now
		}
		return e.now - *t
	}
	if over := since(&e.overloadedSince, load > c.OnsetLoad); e.congestedSince < 0 && over >= c.OnsetTime {
		e.congestedSince = e.now
	}
	rest := since(&e.recoveringSince, load < c.RecoveryLoad)
	if e.congestedSince >= 0 && (rest >= c.RecoveryTime || e.now-e.congestedSince >= c.MaxTime) {
		e.congestedSince, e.overloadedSince = -1, -1
	}
}

// move takes a request from its place to another.
func (e *engine) setState(w *job, to jobState) {
	from := e.jobs[w.state]
	for i, o := range from {
		if o == w {
			e.jobs[w.state] = append(from[:i], from[i+1:]...)
			break
		}
	}
	w.state = to
	if to != jobInactive {
		e.jobs[to] = append(e.jobs[to], w)
	}
}

// take gives the machine one more request at its time; false: it is full.
func (e *engine) submit(w *job) bool {
	if len(e.jobs[jobRunning])+len(e.jobs[jobWaiting]) >= e.model.Slots && len(e.jobs[jobQueued]) >= e.model.Queue {
		return false
	}
	e.setState(w, jobQueued)
	e.startQueued()
	e.updateCongestion()
	return true
}

// drop calls a request off; its work stops.
func (e *engine) cancel(w *job) {
	if w.state != jobInactive {
		e.setState(w, jobInactive)
		e.startQueued()
	}
}
