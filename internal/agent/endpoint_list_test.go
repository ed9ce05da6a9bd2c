package agent

import (
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/config"
	"fernbeam.example/fernbeam/internal/balancer"
)

func TestDrain(t *testing.T) {
	old, other := agenttest.NewServer(t, agenttest.RespondOK), agenttest.NewServer(t, agenttest.RespondOK)
	d := agenttest.NewDiscovery(t, agenttest.Endpoint("s-1", old.Addr))
	a := startAgent(t, d, nil)
	status, _, _ := a.do(agenttest.NewRequest(a.addr, "order", "x"))
	agenttest.WantStatus(t, status, 200)
	d.Set(agenttest.Endpoint("s-2", other.Addr))
	drains := agenttest.Endpoint("s-1", old.Addr)
	drains.State = "draining"
	d.WaitNotified(t, drains)
	before := old.Count()
	for range 8 {
		status, _, _ := a.do(agenttest.NewRequest(a.addr, "order", "x"))
		agenttest.WantStatus(t, status, 200)
	}
	if old.Count() != before || other.Count() < 8 {
		t.Errorf("%d arrivals after the telling, %d elsewhere", old.Count()-before, other.Count())
	}
	select { // its idle connection is closed
	case <-old.Ended:
	case <-time.After(agenttest.Timeout):
		t.Error("the idle connection to the draining backend stays open")
	}
}

func TestAddressChange(t *testing.T) {
	old, moved := agenttest.NewServer(t, agenttest.RespondOK), agenttest.NewServer(t, agenttest.RespondOK)
	d := agenttest.NewDiscovery(t, agenttest.Endpoint("s-1", old.Addr))
	a := startAgent(t, d, nil)
	status, _, _ := a.do(agenttest.NewRequest(a.addr, "order", "x"))
	agenttest.WantStatus(t, status, 200)
	d.WaitNotified(t, agenttest.Endpoint("s-1", moved.Addr))
	status, _, _ = a.do(agenttest.NewRequest(a.addr, "order", "x"))
	agenttest.WantStatus(t, status, 200)
	if old.Count() != 1 || moved.Count() != 1 {
		t.Errorf("%d arrivals at the old address, %d at the new", old.Count(), moved.Count())
	}
}

// While discovery is down the known list stays in force and the calls are few; when it is back the agent gets
// what has changed.
func TestDiscoveryOutage(t *testing.T) {
	first, second := agenttest.NewServer(t, agenttest.RespondOK), agenttest.NewServer(t, agenttest.RespondOK)
	d := agenttest.NewDiscovery(t, agenttest.Endpoint("s-1", first.Addr))
	a := startAgent(t, d, nil)
	d.WaitVersion(t, 1)
	d.SetDown(true)
	before := d.CallCount()
	for d.CallCount() == before { // the policy asks for the list again, after a time of its choice
		status, _, _ := a.do(agenttest.NewRequest(a.addr, "order", "x"))
		agenttest.WantStatus(t, status, 200)
		time.Sleep(5 * time.Millisecond)
	}
	if n := d.CallCount() - before; n > 4 {
		t.Errorf("%d calls at once to a discovery that is down", n)
	}
	d.SetDown(false)
	gone := agenttest.Endpoint("s-1", first.Addr)
	gone.State = "removed"
	d.Set(agenttest.Endpoint("s-2", second.Addr))
	d.WaitNotified(t, gone)
	status, _, _ := a.do(agenttest.NewRequest(a.addr, "order", "x"))
	agenttest.WantStatus(t, status, 200)
	if second.Count() == 0 {
		t.Error("the new backend is not used")
	}
}

// Where changes of the list are pushed the policy asks for nothing: the agent keeps a watch by itself from
// its start, and reopens it after failures.
func TestPushedChangesAreWatchedFor(t *testing.T) {
	first, second := agenttest.NewServer(t, agenttest.RespondOK), agenttest.NewServer(t, agenttest.RespondOK)
	d := agenttest.NewDiscovery(t, agenttest.Endpoint("s-1", first.Addr))
	a := startAgent(t, d, func(c *config.Config) { c.Settings.DiscoveryMode = "pushed" })
	d.WaitNotified(t, agenttest.Endpoint("s-2", second.Addr))
	d.SetDown(true)
	for before := d.CallCount(); d.CallCount() < before+2; time.Sleep(time.Millisecond) {
	}
	d.SetDown(false)
	gone := agenttest.Endpoint("s-1", first.Addr)
	gone.State = "removed"
	d.WaitNotified(t, gone)
	before := first.Count()
	for range 4 {
		status, _, _ := a.do(agenttest.NewRequest(a.addr, "order", "x"))
		agenttest.WantStatus(t, status, 200)
	}
	if first.Count() != before || second.Count() < 4 {
		t.Errorf("%d arrivals at the one that is gone, %d at the other", first.Count()-before, second.Count())
	}
}

// After a reload the list is watched at the new address, whichever side asks for the watch, and the old one
// gets no more calls.
func TestReloadMovesDiscovery(t *testing.T) {
	for _, mode := range []balancer.DiscoveryMode{balancer.DiscoveryPushed, balancer.DiscoveryOnRequest} {
		t.Run(string(mode), func(t *testing.T) {
			first, second := agenttest.NewServer(t, agenttest.RespondOK), agenttest.NewServer(t, agenttest.RespondOK)
			old := agenttest.NewDiscovery(t, agenttest.Endpoint("s-1", first.Addr))
			a := startAgent(t, old, func(c *config.Config) { c.Settings.DiscoveryMode = mode })
			old.WaitVersion(t, 1)
			moved := agenttest.NewDiscovery(t, agenttest.Endpoint("s-1", first.Addr), agenttest.Endpoint("s-2", second.Addr))
			moved.List.Version = 7
			cfg := *a.agent.cfg
			cfg.Discovery = moved.Listener.Addr().String()
			a.reloads <- &cfg
			moved.WaitVersion(t, 7)
			before := old.CallCount()
			gone := agenttest.Endpoint("s-1", first.Addr)
			gone.State = "removed"
			moved.WaitNotified(t, gone)
			for range 4 {
				status, _, _ := a.do(agenttest.NewRequest(a.addr, "order", "x"))
				agenttest.WantStatus(t, status, 200)
			}
			if first.Count() != 0 || second.Count() < 4 {
				t.Errorf("%d arrivals at the one that is gone, %d at the other", first.Count(), second.Count())
			}
			if n := old.CallCount() - before; n != 0 {
				t.Errorf("%d calls at the old address", n)
			}
		})
	}
}
