package dispatch

import (
	"net"
	"net/http"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/config"
	"fernbeam.example/fernbeam/internal/balancer"
	"fernbeam.example/fernbeam/internal/clock"
	"fernbeam.example/fernbeam/internal/clock/clocktest"
)

// startSteppedLoop starts a loop with a clock that the test steps.
func startSteppedLoop(t *testing.T, d *agenttest.Discovery, ahead time.Duration) (*testLoop, *clocktest.Stepped) {
	t.Helper()
	stepped := clocktest.NewStepped(ahead)
	loop := startLoop(t, d, func(cfg *config.Config) {
		cfg.Clock = stepped
		cfg.Settings.DiscoveryMode = balancer.DiscoveryPushed
	})
	return loop, stepped
}

// unixNowMs is the time of day by a true clock, as lists tell it.
func unixNowMs() float64 { return float64(time.Now().UnixMilli()) }

// Each hard moment of an agent's life is lived through with a step of its wall clock in it: the start,
// a watch that is open, a server's restart and drain, a request in flight, and the shutdown.
func TestWallClockSteps(t *testing.T) {
	for _, step := range clocktest.Steps {
		t.Run(step.String(), func(t *testing.T) {
			t.Parallel()
			arrived, release := make(chan bool, 1), make(chan bool)
			b := agenttest.NewServer(t, func(c net.Conn, req *http.Request, n int) bool {
				arrived <- true
				<-release
				return agenttest.RespondOK(c, req, n)
			})
			up := agenttest.Endpoint("s-1", b.Addr)
			up.StartedMs = unixNowMs() - 1_800_000
			d := agenttest.NewDiscovery(t, up)
			l, clk := startSteppedLoop(t, d, step) // its clock is wrong at its start

			clk.Step(-step) // and put right while a watch is open
			restarted := up
			restarted.StartedMs = unixNowMs()
			d.WaitNotified(t, restarted)
			wantSlowStart(t, l, "s-1")

			clk.Step(step)
			answers := make(chan int, 1)
			request := func() {
				status, _, _ := agenttest.Do(t, agenttest.NewRequest(l.addr, "read", ""))
				answers <- status
			}
			go request()
			<-arrived
			clk.Step(-step) // with the request in flight
			release <- true
			agenttest.WantStatus(t, <-answers, 200)

			other := agenttest.Endpoint("s-2", b.Addr)
			other.StartedMs = unixNowMs()
			d.WaitNotified(t, other)
			wantSlowStart(t, l, "s-2")
			drains := up
			drains.State = "draining"
			clk.Step(step)
			d.WaitNotified(t, drains)
			if inLoop(l, func() bool { return l.endpoints.byID["s-1"].IsAvailable() }) {
				t.Error("a backend that drains is still sent to")
			}

			go request()
			<-arrived
			l.stop()
			clk.Step(-step) // while the shutdown holds a request
			release <- true
			agenttest.WantStatus(t, <-answers, 200)
		})
	}
}

// An agent whose clock is ahead from its start on has nothing but the time of discovery's last answer to
// know a new server by, from its second response on.
func TestNewServerIsBoundedByTheLastResponse(t *testing.T) {
	d := agenttest.NewDiscovery(t, agenttest.Endpoint("s-1", "127.0.0.1:1"))
	l, _ := startSteppedLoop(t, d, time.Hour)
	d.WaitNotified(t, agenttest.Endpoint("s-1", "127.0.0.1:1"))
	started := agenttest.Endpoint("s-2", "127.0.0.1:2")
	started.StartedMs = unixNowMs()
	d.WaitNotified(t, started)
	wantSlowStart(t, l, "s-2")
}

// wantSlowStart checks that a server that has just started is no older than the test.
func wantSlowStart(t *testing.T, l *testLoop, id string) {
	t.Helper()
	age := inLoop(l, func() time.Duration { return clock.FromMilliseconds(l.clock.nowMs() - l.startTimes.known[id].atMs) })
	if age < 0 || age > agenttest.Timeout {
		t.Errorf("backend %s is taken for %v old, which has just started", id, age)
	}
}
