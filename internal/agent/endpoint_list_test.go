package agent

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/config"
	"fernbeam.example/fernbeam/internal/balancer"
	"fernbeam.example/fernbeam/internal/endpoint"
)

// endpointInState returns the endpoint of the server s-1 in the given state.
func endpointInState(state endpoint.State, addr string) endpoint.Endpoint {
	entry := agenttest.Endpoint("s-1", addr)
	entry.State = state
	return entry
}

func TestDrainingServerGetsNoRequests(t *testing.T) {
	old, other := agenttest.NewServer(t, agenttest.RespondOK), agenttest.NewServer(t, agenttest.RespondOK)
	discovery := discoveryWith(t, old.Addr)
	agent := startAgent(t, discovery, nil)
	agent.wantOrderStatus(http.StatusOK)
	discovery.Set(agenttest.Endpoint("s-2", other.Addr))
	discovery.WaitNotified(t, endpointInState(endpoint.StateDraining, old.Addr))
	before := old.Count()
	for range 8 {
		agent.wantOrderStatus(http.StatusOK)
	}
	if old.Count() != before || other.Count() < 8 {
		t.Errorf("draining server received %d requests, the other %d; want none, at least 8",
			old.Count()-before, other.Count())
	}
	waitConnEnded(t, old) // its idle connection
}

func TestAddressChange(t *testing.T) {
	old, moved := agenttest.NewServer(t, agenttest.RespondOK), agenttest.NewServer(t, agenttest.RespondOK)
	discovery := discoveryWith(t, old.Addr)
	agent := startAgent(t, discovery, nil)
	agent.wantOrderStatus(http.StatusOK)
	discovery.WaitNotified(t, agenttest.Endpoint("s-1", moved.Addr))
	agent.wantOrderStatus(http.StatusOK)
	if old.Count() != 1 || moved.Count() != 1 {
		t.Errorf("old address received %d requests, new address %d; want 1 each", old.Count(), moved.Count())
	}
}

// During an outage of discovery the list stays in force and the agent makes few calls. After the outage it receives the
// changes.
func TestDiscoveryOutage(t *testing.T) {
	const requestInterval = 5 * time.Millisecond // requests are sent throughout, but not as fast as possible
	first, second := agenttest.NewServer(t, agenttest.RespondOK), agenttest.NewServer(t, agenttest.RespondOK)
	discovery := discoveryWith(t, first.Addr)
	agent := startAgent(t, discovery, nil)
	discovery.WaitVersion(t, 1)
	discovery.SetDown(true)
	before := discovery.CallCount()
	for discovery.CallCount() == before { // until the policy polls again, at an interval that it chooses
		agent.wantOrderStatus(http.StatusOK)
		time.Sleep(requestInterval)
	}
	if calls := discovery.CallCount() - before; calls > 4 {
		t.Errorf("%d calls in quick succession during the outage, want at most 4", calls)
	}
	discovery.SetDown(false)
	discovery.Set(agenttest.Endpoint("s-2", second.Addr))
	discovery.WaitNotified(t, endpointInState(endpoint.StateRemoved, first.Addr))
	agent.wantOrderStatus(http.StatusOK)
	if second.Count() == 0 {
		t.Error("new server received no request")
	}
}

// If changes of the list are pushed the policy does not poll: the agent itself watches the list from its start on, and
// reopens the watch after failures.
func TestAgentWatchesPushedChanges(t *testing.T) {
	first, second := agenttest.NewServer(t, agenttest.RespondOK), agenttest.NewServer(t, agenttest.RespondOK)
	discovery := discoveryWith(t, first.Addr)
	agent := startAgent(t, discovery, func(cfg *config.Config) { cfg.Settings.DiscoveryMode = balancer.DiscoveryPushed })
	discovery.WaitNotified(t, agenttest.Endpoint("s-2", second.Addr))
	discovery.SetDown(true)
	outage := discovery.CallCount()
	agenttest.WaitUntil(t, "two more calls to discovery", func() bool { return discovery.CallCount() >= outage+2 })
	discovery.SetDown(false)
	discovery.WaitNotified(t, endpointInState(endpoint.StateRemoved, first.Addr))
	before := first.Count()
	for range 4 {
		agent.wantOrderStatus(http.StatusOK)
	}
	if first.Count() != before || second.Count() < 4 {
		t.Errorf("removed server received %d requests, the other %d; want none, at least 4",
			first.Count()-before, second.Count())
	}
}

// After a reload with a new discovery address the list is watched there, whether the agent or the policy starts the
// watch, and the old address receives no more calls.
func TestReloadMovesDiscovery(t *testing.T) {
	for _, mode := range []balancer.DiscoveryMode{balancer.DiscoveryPushed, balancer.DiscoveryOnRequest} {
		t.Run(string(mode), func(t *testing.T) {
			first, second := agenttest.NewServer(t, agenttest.RespondOK), agenttest.NewServer(t, agenttest.RespondOK)
			old := discoveryWith(t, first.Addr)
			agent := startAgent(t, old, func(cfg *config.Config) { cfg.Settings.DiscoveryMode = mode })
			old.WaitVersion(t, 1)
			moved := discoveryWith(t, first.Addr, second.Addr)
			moved.List.Version = 7
			cfg := *agent.cfg
			cfg.Discovery = moved.Listener.Addr().String()
			agent.reloads <- &cfg
			moved.WaitVersion(t, 7)
			before := old.CallCount()
			moved.WaitNotified(t, endpointInState(endpoint.StateRemoved, first.Addr))
			for range 4 {
				agent.wantOrderStatus(http.StatusOK)
			}
			if first.Count() != 0 || second.Count() < 4 {
				t.Errorf("removed server received %d requests, the other %d; want none, at least 4", first.Count(), second.Count())
			}
			if calls := old.CallCount() - before; calls != 0 {
				t.Errorf("old address received %d calls after the reload, want none", calls)
			}
		})
	}
}

// An agent without a list, whose discovery does not respond, becomes ready in time nevertheless. It rejects requests
// within their timeouts, and serves them once it has a list. The admin endpoint reports that it serves only then.
func TestReadyWithoutAnEndpointList(t *testing.T) {
	t.Parallel()
	server := agenttest.NewServer(t, agenttest.RespondOK)
	var reachable atomic.Bool
	addr, _ := agenttest.StartScriptedDiscovery(t, func(int, agenttest.WatchCall) string {
		if !reachable.Load() {
			return ""
		}
		return fmt.Sprintf(
			`{"version":3,"full":true,"servers":[{"id":"s-1","addr":%q,"state":"up","weight":1}]}`, server.Addr)
	})
	start := time.Now()
	agent := startAgent(t, agenttest.NewDiscovery(t), func(cfg *config.Config) {
		cfg.Discovery = addr
		cfg.Settings.DiscoveryMode = balancer.DiscoveryPushed
	})
	if took := time.Since(start); took > 10*time.Second {
		t.Errorf("ready after %v, want at most 10 s", took)
	}
	agenttest.WantStatus(t, agent.adminCall("GET", "/ops/readiness"), http.StatusServiceUnavailable)
	req := agenttest.NewRequest(agent.addr, "order", "x")
	req.Header.Set("Request-Timeout-Ms", "500")
	status := agent.do(req).Status
	agenttest.WantStatus(t, status, http.StatusServiceUnavailable)
	reachable.Store(true)
	agenttest.WaitUntil(t, "a request is served", func() bool {
		status := agent.do(agenttest.NewRequest(agent.addr, "order", "x")).Status
		return status == http.StatusOK
	})
	agenttest.WaitUntil(t, "the admin endpoint reports that the agent serves", func() bool {
		return agent.adminCall("GET", "/ops/readiness") == http.StatusOK
	})
}
