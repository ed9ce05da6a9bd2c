package agent

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/config"
	"fernbeam.example/fernbeam/internal/balancer"
)

// If connects fail because the agent's machine lacks a resource, requests are rejected or retried, and no server is
// demoted.
func TestLocalResourceErrorsDemoteNoServer(t *testing.T) {
	var addrs []string
	for range 3 {
		addrs = append(addrs, agenttest.NewServer(t, agenttest.RespondOK).Addr)
	}
	var connects atomic.Int64
	dial := func(ctx context.Context, addr string, until time.Time) (net.Conn, error) {
		errnos := agenttest.LocalErrnos
		earlier := int(connects.Add(1)) - 1
		if earlier < 2*len(errnos) { // each error twice
			return nil, agenttest.ConnectError(errnos[earlier%len(errnos)])
		}
		return config.DialTCP(ctx, addr, until)
	}
	agent := startAgent(t, discoveryWith(t, addrs...), func(cfg *config.Config) { cfg.Dial = dial })
	agenttest.WaitUntil(t, "a request is served after the connect errors", func() bool {
		status := agent.do(agenttest.NewRequest(agent.addr, "order", "x")).Status
		if status != http.StatusOK && status != http.StatusServiceUnavailable {
			t.Fatalf("response status %d, want 200 or 503", status)
		}
		return status == http.StatusOK
	})
	states := agent.statsNow().Policy.States
	if demoted := states[balancer.UnhealthyPending] + states[balancer.Unhealthy]; demoted != 0 {
		t.Errorf("%d servers demoted, want none; servers by health state: %v", demoted, states)
	}
}
