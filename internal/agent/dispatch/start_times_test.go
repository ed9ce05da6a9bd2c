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
	t              *testing.T
	clock          *clocktest.Manual
	starts         *startTimeTable
	lastResponseAt time.Duration // of discovery, on the monotonic clock
}

// trueMs is the time of day by accurate clocks, at the start of a fixture.
const trueMs = 1_800_000_000_000.0

func newStartTimesFixture(t *testing.T, ahead time.Duration) *startTimesFixture {
	t.Helper()
	manual := clocktest.NewManual(time.UnixMilli(trueMs).Add(ahead))
	return &startTimesFixture{t: t, clock: manual, starts: newStartTimeTable(newEventClock(manual))}
}

// resolve has discovery list a server with a start time, and returns the age that its process is taken to have.
func (f *startTimesFixture) resolve(startedMs float64, origin listOrigin) time.Duration {
	at := f.starts.resolve(&endpoint.Endpoint{ID: "s-1", StartedMs: startedMs}, origin)
	f.lastResponseAt = f.clock.Monotonic()
	return clock.FromMilliseconds(f.starts.clock.nowMs() - at).Round(time.Millisecond)
}

func (f *startTimesFixture) want(got, want time.Duration) {
	f.t.Helper()
	if got != want {
		f.t.Errorf("the age is taken as %v, want %v", got, want)
	}
}

// A server that restarts after a step of the wall clock has its true age, whether the step was of all
// machines or of the agent's alone; a process that is listed again keeps its age.
func TestRestartAfterAClockStepIsInSlowStart(t *testing.T) {
	for _, step := range clocktest.Steps {
		for _, listStep := range []time.Duration{step, 0} {
			t.Run(fmt.Sprintf("agent %v, list %v", step, listStep), func(t *testing.T) {
				fixture := newStartTimesFixture(t, 0)
				first := trueMs - 1_800_000
				fixture.want(fixture.resolve(first, listOrigin{}), 30*time.Minute)
				fixture.clock.Advance(time.Minute)
				fixture.want(fixture.resolve(first, listOrigin{lastResponseAt: fixture.lastResponseAt}), 31*time.Minute)
				fixture.clock.Step(step)
				fixture.want(fixture.resolve(first, listOrigin{lastResponseAt: fixture.lastResponseAt}), 31*time.Minute)
				fixture.clock.Advance(time.Minute)
				second := trueMs + 120_000 - 500 + float64(listStep.Milliseconds())
				got := fixture.resolve(second, listOrigin{lastResponseAt: fixture.lastResponseAt})
				if got < 0 || got > 500*time.Millisecond {
					t.Errorf("a server started 0.5 s ago, its age is taken as %v", got)
				}
				fixture.clock.Step(-step)
				fixture.clock.Advance(time.Second)
				fixture.want(fixture.resolve(second, listOrigin{lastResponseAt: fixture.lastResponseAt}), got+time.Second)
			})
		}
	}
}

// New servers are in slow start at an agent whose clock was an hour wrong when it started, from its first
// list on where the clock was behind, and from then on where it was ahead.
func TestNewServerIsInSlowStartAtAnAgentWithAWrongClock(t *testing.T) {
	for _, ahead := range []time.Duration{-time.Hour, time.Hour} {
		fixture := newStartTimesFixture(t, ahead)
		if ahead < 0 {
			fixture.want(fixture.resolve(trueMs-500, listOrigin{}), 0)
		}
		fixture.lastResponseAt = fixture.clock.Monotonic()
		fixture.clock.Advance(time.Second)
		fixture.want(fixture.resolve(trueMs+900, listOrigin{lastResponseAt: fixture.lastResponseAt}), 0)
	}
}

// Where clocks are accurate a start time is what the list says, however late the list.
func TestAccurateClocksKeepListedStartTimes(t *testing.T) {
	for _, late := range []time.Duration{0, 3 * time.Second, time.Minute} {
		fixture := newStartTimesFixture(t, 0)
		fixture.resolve(0, listOrigin{})
		fixture.clock.Advance(late) // discovery is silent meanwhile
		startedMs := trueMs + 17
		want := max(late-17*time.Millisecond, 0)
		fixture.want(fixture.resolve(startedMs, listOrigin{lastResponseAt: fixture.lastResponseAt}), want)
		if at := fixture.starts.known["s-1"].eventMs; late > 0 && at != startedMs {
			t.Errorf("started at %v, want %v", at, startedMs)
		}
	}
}

// A list of a lower version, from a discovery that was moved or restored, restores no earlier process; one
// that lists a later process is accepted.
func TestOlderListRestoresNoProcess(t *testing.T) {
	fixture := newStartTimesFixture(t, 0)
	fixture.want(fixture.resolve(trueMs-5000, listOrigin{}), 5*time.Second)
	fixture.want(fixture.resolve(trueMs-60_000, listOrigin{older: true}), 5*time.Second)
	fixture.want(fixture.resolve(trueMs-1000, listOrigin{older: true}), time.Second)
}
