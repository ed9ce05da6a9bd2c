package agent

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/clock/clocktest"
)

// startsRig is a machine whose wall clock may be wrong, and the starts that an agent on it is told.
type startsRig struct {
	t      *testing.T
	clock  *clocktest.Manual
	starts *startTimes
	asOf   time.Duration // of the last answer of discovery
}

// trueMs is the time of day in a world whose clocks run true, at the start of a rig.
const trueMs = 1_800_000_000_000.0

func newStartsRig(t *testing.T, ahead time.Duration) *startsRig {
	c := clocktest.NewManual(time.UnixMilli(trueMs).Add(ahead))
	return &startsRig{t: t, clock: c, starts: newStartTimes(newLoopClock(c))}
}

// tell has discovery tell a start, and returns the age that the process is taken for.
func (r *startsRig) tell(startedMs float64, told listing) time.Duration {
	at := r.starts.resolve(&Target{ID: "s-1", StartedMs: startedMs}, told)
	r.asOf = r.clock.Monotonic()
	return ms(r.starts.clock.now() - at).Round(time.Millisecond)
}

func (r *startsRig) want(got, want time.Duration) {
	r.t.Helper()
	if got != want {
		r.t.Errorf("taken for %v old, want %v", got, want)
	}
}

// A backend that restarts after a step of the wall clock is as cold as it is, whether the step was of
// all machines or of the agent's alone; what is told again keeps its age.
func TestRestartToldAfterAStepIsCold(t *testing.T) {
	for _, step := range clocktest.Steps {
		for _, listStep := range []time.Duration{step, 0} {
			t.Run(fmt.Sprintf("agent %v, list %v", step, listStep), func(t *testing.T) {
				r := newStartsRig(t, 0)
				first := trueMs - 1_800_000
				r.want(r.tell(first, listing{}), 30*time.Minute)
				r.clock.Advance(time.Minute)
				r.want(r.tell(first, listing{after: r.asOf}), 31*time.Minute)
				r.clock.Step(step)
				r.want(r.tell(first, listing{after: r.asOf}), 31*time.Minute)
				r.clock.Advance(time.Minute)
				second := trueMs + 120_000 - 500 + float64(listStep.Milliseconds())
				got := r.tell(second, listing{after: r.asOf})
				if got < 0 || got > 500*time.Millisecond {
					t.Errorf("a backend that started 0.5 s ago is taken for %v old", got)
				}
				r.clock.Step(-step)
				r.clock.Advance(time.Second)
				r.want(r.tell(second, listing{after: r.asOf}), got+time.Second)
			})
		}
	}
}

// New backends are cold at an agent whose clock was an hour wrong when it started, from its first
// list on where the clock was behind, and from then on where it was ahead.
func TestNewBackendIsColdAtAnAgentWithAWrongClock(t *testing.T) {
	for _, ahead := range []time.Duration{-time.Hour, time.Hour} {
		r := newStartsRig(t, ahead)
		if ahead < 0 {
			r.want(r.tell(trueMs-500, listing{}), 0)
		}
		r.asOf = r.clock.Monotonic()
		r.clock.Advance(time.Second)
		r.want(r.tell(trueMs+900, listing{after: r.asOf}), 0)
	}
}

// Where clocks run true a start is what the list says, however late the list.
func TestTrueClocksKeepStartsAsTold(t *testing.T) {
	for _, late := range []time.Duration{0, 3 * time.Second, time.Minute} {
		r := newStartsRig(t, 0)
		r.tell(0, listing{})
		r.clock.Advance(late) // discovery is silent meanwhile
		startedMs := trueMs + 17
		want := max(late-17*time.Millisecond, 0)
		r.want(r.tell(startedMs, listing{after: r.asOf}), want)
		if at := r.starts.known["s-1"].at; late > 0 && at != startedMs {
			t.Errorf("started at %v, want %v", at, startedMs)
		}
	}
}

// A list of a lower version, from a discovery that was moved or restored, brings back no earlier
// process; one that tells a later one is believed.
func TestOlderListBringsBackNoProcess(t *testing.T) {
	r := newStartsRig(t, 0)
	r.want(r.tell(trueMs-5000, listing{}), 5*time.Second)
	r.want(r.tell(trueMs-60_000, listing{older: true}), 5*time.Second)
	r.want(r.tell(trueMs-1000, listing{older: true}), time.Second)
}

// steppedAgent is an agent of one backend, with a clock that a test steps.
func steppedAgent(t *testing.T, d *fakeDiscovery, ahead time.Duration) (*testAgent, *clocktest.Stepped) {
	stepped := clocktest.NewStepped(ahead)
	return startAgent(t, d, func(c *Config) { c.Clock, c.Settings.DiscoveryMode = stepped, "pushed" }), stepped
}

// unixNowMs is the time of day by a true clock, as lists tell it.
func unixNowMs() float64 { return float64(time.Now().UnixMilli()) }

// Each hard moment of an agent's life is lived through with a step of its wall clock in it: the start,
// a watch that is open, a backend's restart and drain, a request in flight, and the shutdown.
func TestStepsOfTheWallClockAtHardMoments(t *testing.T) {
	for _, step := range clocktest.Steps {
		t.Run(step.String(), func(t *testing.T) {
			t.Parallel()
			arrived, release := make(chan bool, 1), make(chan bool)
			b := newBackend(t, func(c net.Conn, req *http.Request, n int) bool {
				arrived <- true
				<-release
				return serving(c, req, n)
			})
			up := target("s-1", b.addr)
			up.StartedMs = unixNowMs() - 1_800_000
			d := newDiscoveryServer(t, up)
			a, clk := steppedAgent(t, d, step) // its clock is wrong at its start

			clk.Step(-step) // and put right while a watch is open
			restarted := up
			restarted.StartedMs = unixNowMs()
			d.told(t, restarted)
			wantCold(t, a, "s-1")

			clk.Step(step)
			answers := make(chan int, 1)
			request := func() {
				status, _, _ := a.ask(newRequest(a.addr, "read", ""))
				answers <- status
			}
			go request()
			<-arrived
			clk.Step(-step) // with the request in flight
			release <- true
			wantStatus(t, <-answers, 200)

			other := target("s-2", b.addr)
			other.StartedMs = unixNowMs()
			d.told(t, other)
			wantCold(t, a, "s-2")
			drains := up
			drains.State = "draining"
			clk.Step(step)
			d.told(t, drains)
			if inLoop(a, func(l *loop) bool { return !l.table.byID["s-1"].closed.Load() }) {
				t.Error("a backend that drains is still sent to")
			}

			go request()
			<-arrived
			a.stop()
			clk.Step(-step) // while the shutdown holds a request
			release <- true
			wantStatus(t, <-answers, 200)
		})
	}
}

// An agent whose clock is ahead from its start on has nothing but the time of discovery's last answer to
// know a new backend by, from its second answer on.
func TestNewBackendIsBoundedByTheLastAnswer(t *testing.T) {
	d := newDiscoveryServer(t, target("s-1", "127.0.0.1:1"))
	a, _ := steppedAgent(t, d, time.Hour)
	d.told(t, target("s-1", "127.0.0.1:1"))
	started := target("s-2", "127.0.0.1:2")
	started.StartedMs = unixNowMs()
	d.told(t, started)
	wantCold(t, a, "s-2")
}

// wantCold holds a backend that has just started to an age of no more than the test has taken.
func wantCold(t *testing.T, a *testAgent, id string) {
	t.Helper()
	age := inLoop(a, func(l *loop) time.Duration { return ms(l.clock.now() - l.starts.known[id].at) })
	if age < 0 || age > patience {
		t.Errorf("backend %s is taken for %v old, which has just started", id, age)
	}
}
