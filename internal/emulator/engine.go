package emulator

import (
	"math"
	"slices"
	"time"
)

// job is a request in a machine. It first needs processor time, then waits for a dependency.
type job struct {
	remaining      float64       // seconds of a standard core
	dependencyWait time.Duration // starts after the processor time
	waitEnds       time.Duration // set when the wait starts
	done           chan struct{} // closed when the job is complete
	state          jobState
}

// jobState is the stage that a job has reached in a machine.
type jobState int

const (
	jobInactive jobState = iota // not submitted yet, complete, cancelled or rejected
	jobQueued
	jobRunning
	jobWaiting
	jobStates
)

const (
	// unset is the value of a time that is not set.
	unset time.Duration = -1
	// rateStep is the longest time for which a continuously changing rate is treated as constant.
	rateStep = 50 * time.Millisecond
	// minRemainingWork is the remaining work, in seconds, at or below which a job needs no more processor time.
	minRemainingWork = 1e-9
)

// engine simulates a server's machine. Running jobs share the cores evenly (processor sharing with at most one core per
// job); jobs without a slot wait in a first-come, first-served queue. The engine has no clock and no goroutine: the
// caller passes the time since the emulator's start.
type engine struct {
	model      Model
	now        time.Duration
	started    time.Duration // start of the process; longAgo if it has no slow start
	slowFactor float64       // of an injected fault, at least 1; no job makes progress if infinite
	jobs       [jobStates][]*job

	overloadedSince time.Duration
	recoveringSince time.Duration
	congestedSince  time.Duration
	busyCoreSeconds float64
}

// newEngine returns an idle machine of the given model.
func newEngine(m Model, now, started time.Duration) *engine {
	return &engine{
		model:           m,
		now:             now,
		started:         started,
		slowFactor:      1,
		overloadedSince: unset,
		recoveringSince: unset,
		congestedSince:  unset,
	}
}

// age returns the time since the start of the process.
func (e *engine) age(now time.Duration) time.Duration {
	if e.started < 0 {
		return math.MaxInt64
	}
	return now - e.started
}

// jobCount returns the number of jobs in the machine.
func (e *engine) jobCount() int {
	return len(e.jobs[jobQueued]) + len(e.jobs[jobRunning]) + len(e.jobs[jobWaiting])
}

// usedSlots returns the number of occupied slots.
func (e *engine) usedSlots() int { return len(e.jobs[jobRunning]) + len(e.jobs[jobWaiting]) }

// load returns the number of jobs per core.
func (e *engine) load() float64 { return float64(e.jobCount()) / float64(e.model.Cores) }

// rate returns the current speed of each running job, in standard cores.
func (e *engine) rate() float64 {
	n := len(e.jobs[jobRunning])
	if n == 0 || math.IsInf(e.slowFactor, 1) {
		return 0
	}
	capacity := e.model.Speed * e.model.capacityFraction(e.age(e.now)) / e.slowFactor
	rate := capacity * math.Min(1, float64(e.model.Cores)/float64(n))
	if load := e.load(); e.model.ThrashAt > 0 && load > e.model.ThrashAt {
		rate *= 1 - e.model.ThrashLoss*math.Min(1, load/e.model.ThrashAt-1)
	}
	if e.congestedSince >= 0 {
		rate /= e.model.Congestion.Factor
	}
	return rate
}

// nextEvent returns the time of the next state change that needs no call from outside, or false if there is none.
func (e *engine) nextEvent() (at time.Duration, ok bool) {
	at = math.MaxInt64
	if rate := e.rate(); rate > 0 {
		for _, j := range e.jobs[jobRunning] {
			at = min(at, e.now+time.Duration(math.Ceil(j.remaining/rate*float64(time.Second))))
		}
		if e.model.SlowStartFor > 0 && e.age(e.now) < e.model.SlowStartFor {
			at = min(at, e.now+rateStep)
		}
	}
	for _, j := range e.jobs[jobWaiting] {
		at = min(at, j.waitEnds)
	}
	if e.model.Congestion.Factor > 0 && (e.jobCount() > 0 || e.congestedSince >= 0) {
		at = min(at, e.now+rateStep)
	}
	return at, at < math.MaxInt64
}

// advance simulates the machine up to a time.
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

// computeUntil advances the running jobs up to a time before which no event is due.
func (e *engine) computeUntil(to time.Duration) {
	rate := e.rate()
	seconds := (to - e.now).Seconds()
	for _, j := range e.jobs[jobRunning] {
		j.remaining -= rate * seconds
	}
	if rate > 0 && e.model.Speed > 0 {
		e.busyCoreSeconds += seconds * math.Min(float64(e.model.Cores), float64(len(e.jobs[jobRunning])))
	}
	e.now = to
}

// completeDue moves the jobs whose processor time or wait has ended to their next state.
func (e *engine) completeDue() {
	for _, j := range slices.Clone(e.jobs[jobRunning]) {
		if j.remaining <= minRemainingWork {
			e.setState(j, jobWaiting)
			j.waitEnds = e.now + j.dependencyWait
		}
	}
	for _, j := range slices.Clone(e.jobs[jobWaiting]) {
		if j.waitEnds <= e.now {
			e.setState(j, jobInactive)
			close(j.done)
		}
	}
	e.startQueued()
	e.updateCongestion()
}

// startQueued starts queued jobs in the free slots.
func (e *engine) startQueued() {
	for len(e.jobs[jobQueued]) > 0 && e.usedSlots() < e.model.Slots {
		e.setState(e.jobs[jobQueued][0], jobRunning)
	}
}

// updateCongestion starts or ends congestion as the model describes.
func (e *engine) updateCongestion() {
	congestion := &e.model.Congestion
	if congestion.Factor <= 0 {
		return
	}
	load := e.load()
	overloaded := e.conditionDuration(&e.overloadedSince, load > congestion.OnsetLoad)
	if e.congestedSince < 0 && overloaded >= congestion.OnsetTime {
		e.congestedSince = e.now
	}
	recovering := e.conditionDuration(&e.recoveringSince, load < congestion.RecoveryLoad)
	if e.congestedSince < 0 {
		return
	}
	if recovering >= congestion.RecoveryTime || e.now-e.congestedSince >= congestion.MaxTime {
		e.congestedSince = unset
		e.overloadedSince = unset
	}
}

// conditionDuration returns how long a condition has held without interruption, or a negative duration if the condition
// does not hold. It stores the time since which the condition holds in *since.
func (e *engine) conditionDuration(since *time.Duration, holds bool) time.Duration {
	if !holds {
		*since = unset
		return unset
	}
	if *since < 0 {
		*since = e.now
	}
	return e.now - *since
}

// setState moves a job to the list of another state.
func (e *engine) setState(j *job, to jobState) {
	from := e.jobs[j.state]
	if i := slices.Index(from, j); i >= 0 {
		e.jobs[j.state] = slices.Delete(from, i, i+1)
	}
	j.state = to
	if to != jobInactive {
		e.jobs[to] = append(e.jobs[to], j)
	}
}

// submit adds a job to the machine. It returns false if the slots and the queue are full.
func (e *engine) submit(j *job) bool {
	if e.usedSlots() >= e.model.Slots && len(e.jobs[jobQueued]) >= e.model.Queue {
		return false
	}
	e.setState(j, jobQueued)
	e.startQueued()
	e.updateCongestion()
	return true
}

// cancel stops and removes a job.
func (e *engine) cancel(j *job) {
	if j.state != jobInactive {
		e.setState(j, jobInactive)
		e.startQueued()
	}
}
