package emulator

import (
	"math"
	"time"
)

// Model is what a price node's machine is; a zero field is a thing that it does not have.
type Model struct {
	Kind      string        `toml:"kind"`
	Cores     int           `toml:"cores"`
	Speed     float64       `toml:"speed"`     // of a core, in standard cores
	Slots     int           `toml:"slots"`     // requests served at a time, those that wait on others included
	Queue     int           `toml:"queue"`     // requests that wait for a slot; more are turned away
	ColdFrom  float64       `toml:"cold_from"` // part of its capacity right after a start
	ColdFor   time.Duration `toml:"cold_for"`  // until it has all, evenly
	Thrash    float64       `toml:"thrash"`    // part of its capacity lost at twice ThrashAt requests a core
	ThrashAt  float64       `toml:"thrash_at"` // requests held a core from which on it loses any
	Choke     Choke         `toml:"choke"`
	KeyGain   float64       `toml:"key_gain"`   // part of the work that a key met lately spares
	KeyFor    time.Duration `toml:"key_for"`    // how long a key is remembered
	Keys      int           `toml:"keys"`       // how many keys are, at the most
	Conns     int           `toml:"conns"`      // connections; requests on more are turned away
	Handshake time.Duration `toml:"handshake"`  // work of a new connection, on a standard core
	Probe     time.Duration `toml:"probe"`      // work of a probe
	ErrorRate float64       `toml:"error_rate"` // part of the requests that fail at once
}

// Choke is how a node slows down that has held too much for too long: with more than At
// requests a core for Over, it is Slower times slower until it has held less than Below a core
// for Rest, or for Most.
type Choke struct {
	At     float64       `toml:"at"`
	Below  float64       `toml:"below"`
	Over   time.Duration `toml:"over"`
	Rest   time.Duration `toml:"rest"`
	Most   time.Duration `toml:"most"`
	Slower float64       `toml:"slower"`
}

// work is one request in a node: processor time first, then a wait on others.
type work struct {
	left  float64       // seconds of a standard core
	wait  time.Duration // on others, after that
	until time.Duration // the end of the wait, once it has begun
	done  chan struct{} // closed when it is served
	place place
}

type place int

const (
	nowhere place = iota // served, called off or turned away
	queued
	running
	waiting
)

// engine is a node's machine in a time that it is told: cores shared evenly by the requests
// that compute (processor sharing, one core for each at the most), a first-come queue for the
// slots. It has no clock and no goroutine. Times count from the world's start.
type engine struct {
	m       Model
	now     time.Duration
	started time.Duration // of the process; below zero: long ago
	slow    float64       // a trouble's factor, from 1 on; infinite: it stands still
	held    [4][]*work    // by place

	overSince, restSince, chokedSince time.Duration // below zero: not
	busy                              float64       // core seconds given so far
}

func newEngine(m Model, now, started time.Duration) *engine {
	return &engine{m: m, now: now, started: started, slow: 1, overSince: -1, restSince: -1, chokedSince: -1}
}

// capacity is the part of the machine that is there at a time, by its age.
func (m *Model) capacity(age time.Duration) float64 {
	if m.ColdFor <= 0 || age >= m.ColdFor {
		return 1
	}
	return m.ColdFrom + (1-m.ColdFrom)*float64(max(0, age))/float64(m.ColdFor)
}

func (e *engine) age(now time.Duration) time.Duration {
	if e.started < 0 {
		return math.MaxInt64
	}
	return now - e.started
}

func (e *engine) size() int { return len(e.held[queued]) + len(e.held[running]) + len(e.held[waiting]) }

// rate is how fast each running request computes now, in standard cores.
func (e *engine) rate() float64 {
	n := len(e.held[running])
	if n == 0 || math.IsInf(e.slow, 1) {
		return 0
	}
	r := e.m.Speed * e.m.capacity(e.age(e.now)) / e.slow * math.Min(1, float64(e.m.Cores)/float64(n))
	if load := float64(e.size()) / float64(e.m.Cores); e.m.ThrashAt > 0 && load > e.m.ThrashAt {
		r *= 1 - e.m.Thrash*math.Min(1, load/e.m.ThrashAt-1)
	}
	if e.chokedSince >= 0 {
		r /= e.m.Choke.Slower
	}
	return r
}

// step bounds how long a rate that moves by itself is taken for constant.
const step = 50 * time.Millisecond

// next is when something happens by itself.
func (e *engine) next() (at time.Duration, ok bool) {
	at = math.MaxInt64
	if r := e.rate(); r > 0 {
		for _, w := range e.held[running] {
			at = min(at, e.now+time.Duration(math.Ceil(w.left/r*1e9)))
		}
		if e.m.ColdFor > 0 && e.age(e.now) < e.m.ColdFor {
			at = min(at, e.now+step)
		}
	}
	for _, w := range e.held[waiting] {
		at = min(at, w.until)
	}
	if e.m.Choke.Slower > 0 && (e.size() > 0 || e.chokedSince >= 0) {
		at = min(at, e.now+step)
	}
	return at, at < math.MaxInt64
}

// advance lets time pass up to now.
func (e *engine) advance(now time.Duration) {
	for {
		at, ok := e.next()
		if !ok || at > now {
			break
		}
		e.run(max(at, e.now))
		e.settle()
	}
	e.run(now)
}

// run computes up to a time at which nothing else happens.
func (e *engine) run(to time.Duration) {
	r, d := e.rate(), (to - e.now).Seconds()
	for _, w := range e.held[running] {
		w.left -= r * d
	}
	if r > 0 && e.m.Speed > 0 {
		e.busy += d * math.Min(float64(e.m.Cores), float64(len(e.held[running])))
	}
	e.now = to
}

// settle moves on what is at the end of something.
func (e *engine) settle() {
	const done = 1e-9
	for _, w := range append([]*work(nil), e.held[running]...) {
		if w.left <= done {
			e.move(w, waiting)
			w.until = e.now + w.wait
		}
	}
	for _, w := range append([]*work(nil), e.held[waiting]...) {
		if w.until <= e.now {
			e.move(w, nowhere)
			close(w.done)
		}
	}
	e.fill()
	e.choke()
}

// fill gives free slots to the queue.
func (e *engine) fill() {
	for len(e.held[queued]) > 0 && len(e.held[running])+len(e.held[waiting]) < e.m.Slots {
		e.move(e.held[queued][0], running)
	}
}

func (e *engine) choke() {
	c := &e.m.Choke
	if c.Slower <= 0 {
		return
	}
	load := float64(e.size()) / float64(e.m.Cores)
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
	if over := since(&e.overSince, load > c.At); e.chokedSince < 0 && over >= c.Over {
		e.chokedSince = e.now
	}
	rest := since(&e.restSince, load < c.Below)
	if e.chokedSince >= 0 && (rest >= c.Rest || e.now-e.chokedSince >= c.Most) {
		e.chokedSince, e.overSince = -1, -1
	}
}

// move takes a request from its place to another.
func (e *engine) move(w *work, to place) {
	from := e.held[w.place]
	for i, o := range from {
		if o == w {
			e.held[w.place] = append(from[:i], from[i+1:]...)
			break
		}
	}
	w.place = to
	if to != nowhere {
		e.held[to] = append(e.held[to], w)
	}
}

// take gives the machine one more request at its time; false: it is full.
func (e *engine) take(w *work) bool {
	if len(e.held[running])+len(e.held[waiting]) >= e.m.Slots && len(e.held[queued]) >= e.m.Queue {
		return false
	}
	e.move(w, queued)
	e.fill()
	e.choke()
	return true
}

// drop calls a request off; its work stops.
func (e *engine) drop(w *work) {
	if w.place != nowhere {
		e.move(w, nowhere)
		e.fill()
	}
}
