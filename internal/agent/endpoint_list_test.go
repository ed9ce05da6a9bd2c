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
	discovery := agenttest.NewDiscovery(t, agenttest.Endpoint("s-1", old.Addr))
	agent := startAgent(t, discovery, nil)
	status, _, _ := agent.do(agenttest.NewRequest(agent.addr, "order", "x"))
	agenttest.WantStatus(t, status, 200)
	discovery.Set(agenttest.Endpoint("s-2", other.Addr))
	drains := agenttest.Endpoint("s-1", old.Addr)
	drains.State = "draining"
	discovery.WaitNotified(t, drains)
	before := old.Count()
	for range 8 {
		status, _, _ := agent.do(agenttest.NewRequest(agent.addr, "order", "x"))
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
	discovery := agenttest.NewDiscovery(t, agenttest.Endpoint("s-1", old.Addr))
	agent := startAgent(t, discovery, nil)
	status, _, _ := agent.do(agenttest.NewRequest(agent.addr, "order", "x"))
	agenttest.WantStatus(t, status, 200)
	discovery.WaitNotified(t, agenttest.Endpoint("s-1", moved.Addr))
	status, _, _ = agent.do(agenttest.NewRequest(agent.addr, "order", "x"))
	agenttest.WantStatus(t, status, 200)
	if old.Count() != 1 || moved.Count() != 1 {
		t.Errorf("%d arrivals at the old address, %d at the new", old.Count(), moved.Count())
	}
}

// While discovery is down the known list stays in force and the calls are few; when it is back the agent gets
// what has changed.
func TestDiscoveryOutage(t *testing.T) {
	first, second := agenttest.NewServer(t, agenttest.RespondOK), agenttest.NewServer(t, agenttest.RespondOK)
	discovery := agenttest.NewDiscovery(t, agenttest.Endpoint("s-1", first.Addr))
	agent := startAgent(t, discovery, nil)
	discovery.WaitVersion(t, 1)
	discovery.SetDown(true)
	before := discovery.CallCount()
	for discovery.CallCount() == before { // the policy asks for the list again, after a time of its choice
		status, _, _ := agent.do(agenttest.NewRequest(agent.addr, "order", "x"))
		agenttest.WantStatus(t, status, 200)
		time.Sleep(5 * time.Millisecond)
	}
	if n := discovery.CallCount() - before; n > 4 {
		t.Errorf("%d calls at once to a discovery that is down", n)
	}
	discovery.SetDown(false)
	gone := agenttest.Endpoint("s-1", first.Addr)
	gone.State = "removed"
	discovery.Set(agenttest.Endpoint("s-2", second.Addr))
	discovery.WaitNotified(t, gone)
	status, _, _ := agent.do(agenttest.NewRequest(agent.addr, "order", "x"))
	agenttest.WantStatus(t, status, 200)
	if second.Count() == 0 {
		t.Error("the new backend is not used")
	}
}

// Where changes of the list are pushed the policy asks for nothing: the agent keeps a watch by itself from
// its start, and reopens it after failures.
func TestPushedChangesAreWatchedFor(t *testing.T) {
	first, second := agenttest.NewServer(t, agenttest.RespondOK), agenttest.NewServer(t, agenttest.RespondOK)
	discovery := agenttest.NewDiscovery(t, agenttest.Endpoint("s-1", first.Addr))
	agent := startAgent(t, discovery, func(cfg *config.Config) { cfg.Settings.DiscoveryMode = "pushed" })
	discovery.WaitNotified(t, agenttest.Endpoint("s-2", second.Addr))
	discovery.SetDown(true)
	for before := discovery.CallCount(); discovery.CallCount() < before+2; time.Sleep(time.Millisecond) {
	}
	discovery.SetDown(false)
	gone := agenttest.Endpoint("s-1", first.Addr)
	gone.State = "removed"
	discovery.WaitNotified(t, gone)
	before := first.Count()
	for range 4 {
		status, _, _ := agent.do(agenttest.NewRequest(agent.addr, "order", "x"))
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
			agent := startAgent(t, old, func(cfg *config.Config) { cfg.Settings.DiscoveryMode = mode })
			old.WaitVersion(t, 1)
			moved := agenttest.NewDiscovery(t, agenttest.Endpoint("s-1", first.Addr), agenttest.Endpoint("s-2", second.Addr))
			moved.List.Version = 7
			cfg := *agent.cfg
			cfg.Discovery = moved.Listener.Addr().String()
			agent.reloads <- &cfg
			moved.WaitVersion(t, 7)
			before := old.CallCount()
			gone := agenttest.Endpoint("s-1", first.Addr)
			gone.State = "removed"
			moved.WaitNotified(t, gone)
			for range 4 {
				status, _, _ := agent.do(agenttest.NewRequest(agent.addr, "order", "x"))
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
