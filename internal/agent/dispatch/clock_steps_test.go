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

// warmAge is the age of a server whose slow start is over.
const warmAge = 30 * time.Minute

// startSteppedLoop starts a loop with a clock that the test steps, and to which changes of the list are pushed.
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

// unixNowMs is the time of day by an accurate clock, in the form of start times in a list.
func unixNowMs() float64 { return float64(time.Now().UnixMilli()) }

// A step of the wall clock disturbs nothing, at whichever moment it comes: the start, an open watch, a server's
// restart and drain, a request in flight, and the shutdown.
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
			loop, stepped := startSteppedLoop(t, discovery, step) // its clock is wrong at its start

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
				t.Error("a draining server may still be sent requests")
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

// An agent whose clock is ahead from its start on recognizes a new server by the time of discovery's last response,
// from the second response on.
func TestNewServerAgeIsBoundedByLastResponse(t *testing.T) {
	discovery := agenttest.NewDiscovery(t, agenttest.Endpoint("s-1", "127.0.0.1:1"))
	loop, _ := startSteppedLoop(t, discovery, time.Hour)
	discovery.WaitNotified(t, agenttest.Endpoint("s-1", "127.0.0.1:1"))
	started := agenttest.Endpoint("s-2", "127.0.0.1:2")
	started.StartedMs = unixNowMs()
	discovery.WaitNotified(t, started)
	wantSlowStart(t, loop, "s-2")
}

// wantSlowStart checks that a server that has just started is no older than the test.
func wantSlowStart(t *testing.T, loop *testLoop, id string) {
	t.Helper()
	age := runInLoop(loop, func() time.Duration {
		return clock.FromMilliseconds(loop.clock.nowMs() - loop.startTimes.known[id].eventMs)
	})
	if age < 0 || age > agenttest.Timeout {
		t.Errorf("server %s has just started, its age is taken as %v", id, age)
	}
}
