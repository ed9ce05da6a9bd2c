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
	"fernbeam.example/fernbeam/internal/agent/upstream"
	"fernbeam.example/fernbeam/internal/balancer"
)

// While connects fail because this machine lacks a resource, requests are rejected or served by retries, and
// no server is demoted.
func TestLocalShortageDemotesNoServer(t *testing.T) {
	server, c, d := agenttest.NewServer(t, agenttest.RespondOK), agenttest.NewServer(t, agenttest.RespondOK), agenttest.NewServer(t, agenttest.RespondOK)
	var connects atomic.Int64
	dial := func(ctx context.Context, addr string, until time.Time) (net.Conn, error) {
		n := int(connects.Add(1)) - 1
		if n < 2*len(agenttest.LocalErrnos) {
			return nil, agenttest.ConnectError(agenttest.LocalErrnos[n%len(agenttest.LocalErrnos)])
		}
		return upstream.DialTCP(ctx, addr, until)
	}
	discovery := agenttest.NewDiscovery(t, agenttest.Endpoint("s-1", server.Addr), agenttest.Endpoint("s-2", c.Addr), agenttest.Endpoint("s-3", d.Addr))
	agent := startAgent(t, discovery, func(cfg *config.Config) { cfg.Dial = dial })
	agenttest.WaitUntil(t, "an answer once the lack is over", func() bool {
		status, _, _ := agent.do(agenttest.NewRequest(agent.addr, "order", "x"))
		if status != http.StatusOK && status != http.StatusServiceUnavailable {
			t.Fatalf("answered %d, want 200 or a refusal", status)
		}
		return status == http.StatusOK
	})
	states := agent.statsNow().Policy.States
	if demoted := states[balancer.UnhealthyPending] + states[balancer.Unhealthy]; demoted != 0 {
		t.Errorf("%d servers demoted of %v", demoted, states)
	}
}
