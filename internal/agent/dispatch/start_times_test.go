package dispatch

import (
	"fmt"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/clock"
	"fernbeam.example/fernbeam/internal/clock/clocktest"
	"fernbeam.example/fernbeam/internal/endpoint"
)

// startTimesFixture is a machine whose wall clock may be wrong, and the start times that an agent on it gets.
type startTimesFixture struct {
	t      *testing.T
	clock  *clocktest.Manual
	starts *startTimeTable
	asOf   time.Duration // of the last answer of discovery
}

// trueMs is the time of day by accurate clocks, at the start of a fixture.
const trueMs = 1_800_000_000_000.0

func newStartTimesFixture(t *testing.T, ahead time.Duration) *startTimesFixture {
	c := clocktest.NewManual(time.UnixMilli(trueMs).Add(ahead))
	return &startTimesFixture{t: t, clock: c, starts: newStartTimeTable(newEventClock(c))}
}

// tell has discovery tell a start, and returns the age that the process is taken for.
func (r *startTimesFixture) resolve(startedMs float64, told listContext) time.Duration {
	at := r.starts.resolve(&endpoint.Endpoint{ID: "s-1", StartedMs: startedMs}, told)
	r.asOf = r.clock.Monotonic()
	return clock.FromMilliseconds(r.starts.clock.nowMs() - at).Round(time.Millisecond)
}

func (r *startTimesFixture) want(got, want time.Duration) {
	r.t.Helper()
	if got != want {
		r.t.Errorf("taken for %v old, want %v", got, want)
	}
}

// A server that restarts after a step of the wall clock has its true age, whether the step was of all
// machines or of the agent's alone; a process that is listed again keeps its age.
func TestRestartAfterAClockStepIsInSlowStart(t *testing.T) {
	for _, step := range clocktest.Steps {
		for _, listStep := range []time.Duration{step, 0} {
			t.Run(fmt.Sprintf("agent %v, list %v", step, listStep), func(t *testing.T) {
				r := newStartTimesFixture(t, 0)
				first := trueMs - 1_800_000
				r.want(r.resolve(first, listContext{}), 30*time.Minute)
				r.clock.Advance(time.Minute)
				r.want(r.resolve(first, listContext{lastAnswer: r.asOf}), 31*time.Minute)
				r.clock.Step(step)
				r.want(r.resolve(first, listContext{lastAnswer: r.asOf}), 31*time.Minute)
				r.clock.Advance(time.Minute)
				second := trueMs + 120_000 - 500 + float64(listStep.Milliseconds())
				got := r.resolve(second, listContext{lastAnswer: r.asOf})
				if got < 0 || got > 500*time.Millisecond {
					t.Errorf("a backend that started 0.5 s ago is taken for %v old", got)
				}
				r.clock.Step(-step)
				r.clock.Advance(time.Second)
				r.want(r.resolve(second, listContext{lastAnswer: r.asOf}), got+time.Second)
			})
		}
	}
}

// New servers are in slow start at an agent whose clock was an hour wrong when it started, from its first
// list on where the clock was behind, and from then on where it was ahead.
func TestNewServerIsInSlowStartAtAnAgentWithAWrongClock(t *testing.T) {
	for _, ahead := range []time.Duration{-time.Hour, time.Hour} {
		r := newStartTimesFixture(t, ahead)
		if ahead < 0 {
			r.want(r.resolve(trueMs-500, listContext{}), 0)
		}
		r.asOf = r.clock.Monotonic()
		r.clock.Advance(time.Second)
		r.want(r.resolve(trueMs+900, listContext{lastAnswer: r.asOf}), 0)
	}
}

// Where clocks are accurate a start time is what the list says, however late the list.
func TestAccurateClocksKeepListedStartTimes(t *testing.T) {
	for _, late := range []time.Duration{0, 3 * time.Second, time.Minute} {
		r := newStartTimesFixture(t, 0)
		r.resolve(0, listContext{})
		r.clock.Advance(late) // discovery is silent meanwhile
		startedMs := trueMs + 17
		want := max(late-17*time.Millisecond, 0)
		r.want(r.resolve(startedMs, listContext{lastAnswer: r.asOf}), want)
		if at := r.starts.known["s-1"].atMs; late > 0 && at != startedMs {
			t.Errorf("started at %v, want %v", at, startedMs)
		}
	}
}

// A list of a lower version, from a discovery that was moved or restored, restores no earlier process; one
// that lists a later process is believed.
func TestOlderListRestoresNoProcess(t *testing.T) {
	r := newStartTimesFixture(t, 0)
	r.want(r.resolve(trueMs-5000, listContext{}), 5*time.Second)
	r.want(r.resolve(trueMs-60_000, listContext{older: true}), 5*time.Second)
	r.want(r.resolve(trueMs-1000, listContext{older: true}), time.Second)
}
