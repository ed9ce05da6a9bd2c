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

// firstServerIn is the entry of the server s-1 in a state.
func firstServerIn(state endpoint.State, addr string) endpoint.Endpoint {
	entry := agenttest.Endpoint("s-1", addr)
	entry.State = state
	return entry
}

func TestDrain(t *testing.T) {
	old, other := agenttest.NewServer(t, agenttest.RespondOK), agenttest.NewServer(t, agenttest.RespondOK)
	discovery := listing(t, old.Addr)
	agent := startAgent(t, discovery, nil)
	agent.wantOrderStatus(http.StatusOK)
	discovery.Set(agenttest.Endpoint("s-2", other.Addr))
	discovery.WaitNotified(t, firstServerIn(endpoint.StateDraining, old.Addr))
	before := old.Count()
	for range 8 {
		agent.wantOrderStatus(http.StatusOK)
	}
	if old.Count() != before || other.Count() < 8 {
		t.Errorf("%d arrivals after the notification, %d elsewhere", old.Count()-before, other.Count())
	}
	waitConnEnded(t, old) // the idle one
}

func TestAddressChange(t *testing.T) {
	old, moved := agenttest.NewServer(t, agenttest.RespondOK), agenttest.NewServer(t, agenttest.RespondOK)
	discovery := listing(t, old.Addr)
	agent := startAgent(t, discovery, nil)
	agent.wantOrderStatus(http.StatusOK)
	discovery.WaitNotified(t, agenttest.Endpoint("s-1", moved.Addr))
	agent.wantOrderStatus(http.StatusOK)
	if old.Count() != 1 || moved.Count() != 1 {
		t.Errorf("%d arrivals at the old address, %d at the new", old.Count(), moved.Count())
	}
}

// While discovery is down the known list stays in force and the calls are few; when it is back the agent gets
// what has changed.
func TestDiscoveryOutage(t *testing.T) {
	const requestInterval = 5 * time.Millisecond // requests have to be served all the time, not as fast as possible
	first, second := agenttest.NewServer(t, agenttest.RespondOK), agenttest.NewServer(t, agenttest.RespondOK)
	discovery := listing(t, first.Addr)
	agent := startAgent(t, discovery, nil)
	discovery.WaitVersion(t, 1)
	discovery.SetDown(true)
	before := discovery.CallCount()
	for discovery.CallCount() == before { // until the policy polls again, after a time of its choice
		agent.wantOrderStatus(http.StatusOK)
		time.Sleep(requestInterval)
	}
	if calls := discovery.CallCount() - before; calls > 4 {
		t.Errorf("%d calls at once to a discovery that is down", calls)
	}
	discovery.SetDown(false)
	discovery.Set(agenttest.Endpoint("s-2", second.Addr))
	discovery.WaitNotified(t, firstServerIn(endpoint.StateRemoved, first.Addr))
	agent.wantOrderStatus(http.StatusOK)
	if second.Count() == 0 {
		t.Error("the new server is not used")
	}
}

// Where changes of the list are pushed the policy does not poll: the agent keeps a watch by itself from
// its start, and reopens it after failures.
func TestPushedChangesAreWatchedFor(t *testing.T) {
	first, second := agenttest.NewServer(t, agenttest.RespondOK), agenttest.NewServer(t, agenttest.RespondOK)
	discovery := listing(t, first.Addr)
	agent := startAgent(t, discovery, func(cfg *config.Config) { cfg.Settings.DiscoveryMode = balancer.DiscoveryPushed })
	discovery.WaitNotified(t, agenttest.Endpoint("s-2", second.Addr))
	discovery.SetDown(true)
	outage := discovery.CallCount()
	agenttest.WaitUntil(t, "two more calls", func() bool { return discovery.CallCount() >= outage+2 })
	discovery.SetDown(false)
	discovery.WaitNotified(t, firstServerIn(endpoint.StateRemoved, first.Addr))
	before := first.Count()
	for range 4 {
		agent.wantOrderStatus(http.StatusOK)
	}
	if first.Count() != before || second.Count() < 4 {
		t.Errorf("%d arrivals at the removed server, %d at the other", first.Count()-before, second.Count())
	}
}

// After a reload the list is watched at the new address, whichever side begins the watch, and the old one
// gets no more calls.
func TestReloadMovesDiscovery(t *testing.T) {
	for _, mode := range []balancer.DiscoveryMode{balancer.DiscoveryPushed, balancer.DiscoveryOnRequest} {
		t.Run(string(mode), func(t *testing.T) {
			first, second := agenttest.NewServer(t, agenttest.RespondOK), agenttest.NewServer(t, agenttest.RespondOK)
			old := listing(t, first.Addr)
			agent := startAgent(t, old, func(cfg *config.Config) { cfg.Settings.DiscoveryMode = mode })
			old.WaitVersion(t, 1)
			moved := listing(t, first.Addr, second.Addr)
			moved.List.Version = 7
			cfg := *agent.cfg
			cfg.Discovery = moved.Listener.Addr().String()
			agent.reloads <- &cfg
			moved.WaitVersion(t, 7)
			before := old.CallCount()
			moved.WaitNotified(t, firstServerIn(endpoint.StateRemoved, first.Addr))
			for range 4 {
				agent.wantOrderStatus(http.StatusOK)
			}
			if first.Count() != 0 || second.Count() < 4 {
				t.Errorf("%d arrivals at the removed server, %d at the other", first.Count(), second.Count())
			}
			if calls := old.CallCount() - before; calls != 0 {
				t.Errorf("%d calls at the old address", calls)
			}
		})
	}
}

// A process that knows no server, of a discovery that is silent, is ready in time all the same: its requests
// are rejected within their timeouts, and served once there is a list. The admin endpoint says that it serves
// only then.
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
		t.Errorf("ready after %v", took)
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
	agenttest.WaitUntil(t, "the admin endpoint says that it serves", func() bool {
		return agent.adminCall("GET", "/ops/readiness") == http.StatusOK
	})
}
