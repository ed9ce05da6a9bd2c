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
	"fernbeam.example/fernbeam/internal/endpoint"
)

// warmAge is the age of a server that has completed its slow start.
const warmAge = 30 * time.Minute

// startSteppedLoop starts a loop with a clock that the test can step, and with pushed list changes.
func startSteppedLoop(
	t *testing.T, discovery *agenttest.Discovery, ahead time.Duration,
) (*testLoop, *clocktest.Stepped) {
	t.Helper()
	stepped := clocktest.NewStepped(ahead)
	loop := startLoop(t, discovery, func(cfg *config.Config) {
		cfg.Clock = stepped
		cfg.Settings.DiscoveryMode = balancer.DiscoveryPushed
	})
	return loop, stepped
}

// unixNowMs returns the accurate wall-clock time in the format of start times in a list.
func unixNowMs() float64 { return float64(time.Now().UnixMilli()) }

// Steps of the wall clock have no effect at any time: at the start, with an open watch, before a server's restart and
// drain, with a request in flight, and during the shutdown.
func TestWallClockSteps(t *testing.T) {
	for _, step := range clocktest.Steps {
		t.Run(step.String(), func(t *testing.T) {
			t.Parallel()
			arrived, release := make(chan bool, 1), make(chan bool)
			server := agenttest.NewServer(t, func(c net.Conn, req *http.Request, n int) bool {
				arrived <- true
				<-release
				return agenttest.RespondOK(c, req, n)
			})
			ready := agenttest.Endpoint("s-1", server.Addr)
			ready.StartedMs = unixNowMs() - float64(warmAge.Milliseconds())
			discovery := agenttest.NewDiscovery(t, ready)
			loop, stepped := startSteppedLoop(t, discovery, step) // the clock is wrong at the start

			stepped.Step(-step) // and corrected while a watch is open
			restarted := ready
			restarted.StartedMs = unixNowMs()
			discovery.WaitNotified(t, restarted)
			wantSlowStart(t, loop, "s-1")

			stepped.Step(step)
			response := agenttest.SendInBackground(t, agenttest.NewRequest(loop.addr, "read", ""))
			<-arrived
			stepped.Step(-step) // with the request in flight
			release <- true
			agenttest.WantStatus(t, (<-response).Status, http.StatusOK)

			other := agenttest.Endpoint("s-2", server.Addr)
			other.StartedMs = unixNowMs()
			discovery.WaitNotified(t, other)
			wantSlowStart(t, loop, "s-2")
			draining := ready
			draining.State = endpoint.StateDraining
			stepped.Step(step)
			discovery.WaitNotified(t, draining)
			if runInLoop(loop, func() bool { return loop.endpoints.byID["s-1"].IsAvailable() }) {
				t.Error("draining server is still available for requests")
			}

			response = agenttest.SendInBackground(t, agenttest.NewRequest(loop.addr, "read", ""))
			<-arrived
			loop.stop()
			stepped.Step(-step) // while the shutdown waits for a request
			release <- true
			agenttest.WantStatus(t, (<-response).Status, http.StatusOK)
		})
	}
}

// An agent whose clock has been ahead since its start recognizes a new server from discovery's second response on, by
// the time of the previous response.
func TestNewServerAgeIsBoundedByLastResponse(t *testing.T) {
	discovery := agenttest.NewDiscovery(t, agenttest.Endpoint("s-1", "127.0.0.1:1"))
	loop, _ := startSteppedLoop(t, discovery, time.Hour)
	discovery.WaitNotified(t, agenttest.Endpoint("s-1", "127.0.0.1:1"))
	started := agenttest.Endpoint("s-2", "127.0.0.1:2")
	started.StartedMs = unixNowMs()
	discovery.WaitNotified(t, started)
	wantSlowStart(t, loop, "s-2")
}

// wantSlowStart checks that the age of a server that has just started is at most the duration of the test.
func wantSlowStart(t *testing.T, loop *testLoop, id string) {
	t.Helper()
	age := runInLoop(loop, func() time.Duration {
		return clock.FromMilliseconds(loop.clock.nowMs() - loop.startTimes.known[id].eventMs)
	})
	if age < 0 || age > agenttest.Timeout {
		t.Errorf("age of server %s, which has just started, is %v", id, age)
	}
}
