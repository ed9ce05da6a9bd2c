package dispatch

import (
	"fmt"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/clock"
	"fernbeam.example/fernbeam/internal/clock/clocktest"
	"fernbeam.example/fernbeam/internal/endpoint"
)

// startTimesFixture is a startTimeTable on a machine whose wall clock may be wrong.
type startTimesFixture struct {
	t              *testing.T
	clock          *clocktest.Manual
	starts         *startTimeTable
	lastResponseAt time.Duration // time of discovery's last response, on the monotonic clock
}

// trueMs is the accurate Unix time at the start of a fixture, in milliseconds.
const trueMs = 1_800_000_000_000.0

func newStartTimesFixture(t *testing.T, ahead time.Duration) *startTimesFixture {
	t.Helper()
	manual := clocktest.NewManual(time.UnixMilli(trueMs).Add(ahead))
	return &startTimesFixture{t: t, clock: manual, starts: newStartTimeTable(newEventClock(manual))}
}

// resolve resolves the start time of a listed server, and returns the resulting age of its process.
func (f *startTimesFixture) resolve(startedMs float64, origin listOrigin) time.Duration {
	at := f.starts.resolve(&endpoint.Endpoint{ID: "s-1", StartedMs: startedMs}, origin)
	f.lastResponseAt = f.clock.Monotonic()
	return clock.FromMilliseconds(f.starts.clock.nowMs() - at).Round(time.Millisecond)
}

func (f *startTimesFixture) want(got, want time.Duration) {
	f.t.Helper()
	if got != want {
		f.t.Errorf("age is %v, want %v", got, want)
	}
}

// A server that restarts after a step of the wall clock gets its true age, whether all machines or only the agent's
// were stepped. A process that is listed again keeps its age.
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
					t.Errorf("age of a server that started 0.5 s ago is %v", got)
				}
				fixture.clock.Step(-step)
				fixture.clock.Advance(time.Second)
				fixture.want(fixture.resolve(second, listOrigin{lastResponseAt: fixture.lastResponseAt}), got+time.Second)
			})
		}
	}
}

// New servers are in slow start at an agent whose clock was wrong by an hour at its start: from the first list on if
// the clock was behind, and from the second on if it was ahead.
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

// With accurate clocks the start times of the list are used, however late the list arrives.
func TestAccurateClocksKeepListedStartTimes(t *testing.T) {
	for _, late := range []time.Duration{0, 3 * time.Second, time.Minute} {
		fixture := newStartTimesFixture(t, 0)
		fixture.resolve(0, listOrigin{})
		fixture.clock.Advance(late) // discovery does not respond meanwhile
		startedMs := trueMs + 17
		want := max(late-17*time.Millisecond, 0)
		fixture.want(fixture.resolve(startedMs, listOrigin{lastResponseAt: fixture.lastResponseAt}), want)
		if at := fixture.starts.known["s-1"].eventMs; late > 0 && at != startedMs {
			t.Errorf("start time is %v, want %v", at, startedMs)
		}
	}
}

// A list with a lower version, as after a move or restore of discovery, does not restore an earlier process. A later
// process in such a list is accepted.
func TestOlderListRestoresNoProcess(t *testing.T) {
	fixture := newStartTimesFixture(t, 0)
	fixture.want(fixture.resolve(trueMs-5000, listOrigin{}), 5*time.Second)
	fixture.want(fixture.resolve(trueMs-60_000, listOrigin{older: true}), 5*time.Second)
	fixture.want(fixture.resolve(trueMs-1000, listOrigin{older: true}), time.Second)
}
