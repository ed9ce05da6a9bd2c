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

// While connects fail because this machine lacks a resource, requests are rejected or served by retries, and
// no server is demoted.
func TestLocalResourceErrorsDemoteNoServer(t *testing.T) {
	var addrs []string
	for range 3 {
		addrs = append(addrs, agenttest.NewServer(t, agenttest.RespondOK).Addr)
	}
	var connects atomic.Int64
	dial := func(ctx context.Context, addr string, until time.Time) (net.Conn, error) {
		errnos := agenttest.LocalErrnos
		earlier := int(connects.Add(1)) - 1
		if earlier < 2*len(errnos) { // each of the errors twice
			return nil, agenttest.ConnectError(errnos[earlier%len(errnos)])
		}
		return config.DialTCP(ctx, addr, until)
	}
	agent := startAgent(t, discoveryWith(t, addrs...), func(cfg *config.Config) { cfg.Dial = dial })
	agenttest.WaitUntil(t, "a request is served once the shortage is over", func() bool {
		status := agent.do(agenttest.NewRequest(agent.addr, "order", "x")).Status
		if status != http.StatusOK && status != http.StatusServiceUnavailable {
			t.Fatalf("response %d, want 200 or a rejection", status)
		}
		return status == http.StatusOK
	})
	states := agent.statsNow().Policy.States
	if demoted := states[balancer.UnhealthyPending] + states[balancer.Unhealthy]; demoted != 0 {
		t.Errorf("%d servers demoted of %v", demoted, states)
	}
}
