package emulator

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// TestEngineMatchesQueueingTheory serves Poisson arrivals in simulated time and compares the mean wait with queueing
// theory: Erlang C for M/M/k, Pollaczek-Khinchine for M/D/1, and MeanWait's approximation for M/G/2.
func TestEngineMatchesQueueingTheory(t *testing.T) {
	logNormal := func(r *rand.Rand) float64 { // mean 1, coefficient of variation 0.5
		variance := math.Log(1.25)
		return math.Exp(r.NormFloat64()*math.Sqrt(variance) - variance/2)
	}
	fixed := func(*rand.Rand) float64 { return 1 }
	exponential := (*rand.Rand).ExpFloat64
	for _, test := range []struct {
		name    string
		cores   int
		load    float64
		service func(*rand.Rand) float64 // service time in seconds, with mean 1
		want    float64                  // mean wait in seconds
	}{
		{"M/M/1", 1, 0.7, exponential, 0.7 / 0.3},
		{"M/M/3", 3, 0.8, exponential, ErlangC(3, 0.8*3) / (3 * 0.2)},
		{"M/G/2", 2, 0.6, logNormal, MeanWait(2, 0.6, 1, 0.5)},
		{"M/D/1", 1, 0.7, fixed, 0.7 / 0.3 / 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := meanWait(t, test.cores, test.load, test.service)
			if math.Abs(got-test.want) > 0.06*test.want {
				t.Errorf("mean wait %.3f s, theory %.3f s", got, test.want)
			}
		})
	}
}

// meanWait returns the mean wait, in seconds, in an engine with the given load per core.
func meanWait(t *testing.T, cores int, load float64, service func(*rand.Rand) float64) float64 {
	t.Helper()
	const jobs = 60_000
	random := rand.New(rand.NewPCG(1, 1))
	e := newEngine(Model{Cores: cores, Speed: 1, Slots: cores, Queue: math.MaxInt}, 0, longAgo)
	var at time.Duration
	var waits float64
	for range jobs {
		at += time.Duration(random.ExpFloat64() / (load * float64(cores)) * 1e9)
		e.advance(at)
		waits += secondsUntilFreeCore(e)
		if !e.submit(&job{remaining: service(random), done: make(chan struct{})}) {
			t.Fatal("the engine rejected a job although its queue is unbounded")
		}
	}
	return waits / jobs
}

// secondsUntilFreeCore returns how long a job that is submitted now waits for a core (first come, first served).
func secondsUntilFreeCore(e *engine) float64 {
	if len(e.jobs[jobRunning]) < e.model.Cores {
		return 0
	}
	var free []float64
	for _, j := range e.jobs[jobRunning] {
		free = append(free, j.remaining)
	}
	for _, j := range e.jobs[jobQueued] {
		first := slices.Index(free, slices.Min(free))
		free[first] += j.remaining
	}
	return slices.Min(free)
}

// rejected is the result of serviceTime if the engine rejects a job.
const rejected time.Duration = -1

// serviceTime submits jobs with one second of work and one second of dependency wait at the same time, and returns when
// the last one is done.
func serviceTime(m Model, started time.Duration, slowFactor float64, jobs int) time.Duration {
	e := newEngine(m, 0, started)
	e.slowFactor = slowFactor
	var last *job
	for range jobs {
		last = &job{remaining: 1, dependencyWait: time.Second, done: make(chan struct{})}
		if !e.submit(last) {
			return rejected
		}
	}
	for at := time.Duration(0); ; at += time.Second / 100 {
		e.advance(at)
		select {
		case <-last.done:
			return at
		default:
		}
	}
}

// TestEngineServiceTimes checks service times in slow start, under load, with congestion and with a fault that slows
// the machine down, and the rejection of a job when the machine is full.
func TestEngineServiceTimes(t *testing.T) {
	const tolerance = time.Second / 20
	base := Model{Cores: 2, Speed: 1, Slots: 8, Queue: 2}
	slowStart := base
	slowStart.SlowStartFrom = 0.5
	slowStart.SlowStartFor = time.Hour
	thrashing := base
	thrashing.ThrashLoss = 0.5
	thrashing.ThrashAt = 2
	for _, test := range []struct {
		name       string
		model      Model
		started    time.Duration
		slowFactor float64
		jobs       int
		want       time.Duration
	}{
		{"two jobs on two cores", base, longAgo, 1, 2, 2 * time.Second},
		{"eight jobs share two cores", base, longAgo, 1, 8, 5 * time.Second},
		{"at half speed", base, longAgo, 2, 2, 3 * time.Second},
		{"slow start with half the capacity", slowStart, 0, 1, 2, 3 * time.Second},
		{"thrashing at twice the load", thrashing, longAgo, 1, 8, 9 * time.Second},
		{"more jobs than slots and queue", base, longAgo, 1, 11, rejected},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := serviceTime(test.model, test.started, test.slowFactor, test.jobs)
			if difference := got - test.want; difference < -tolerance || difference > tolerance {
				t.Errorf("done after %v, want %v", got, test.want)
			}
		})
	}
	t.Run("congested", func(t *testing.T) {
		congested := base
		congested.Congestion = Congestion{
			OnsetLoad:    3,
			RecoveryLoad: 0.4,
			OnsetTime:    0,
			RecoveryTime: time.Second,
			MaxTime:      10 * time.Second,
			Factor:       4,
		}
		if got := serviceTime(congested, longAgo, 1, 8); got < 10*time.Second {
			t.Errorf("done after %v, want at least 10 s", got)
		}
	})
}
