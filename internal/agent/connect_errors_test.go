package agent

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/balancer"
)

// While connects fail because this machine lacks a resource, requests are rejected or served by retries, and
// no server is demoted.
func TestLocalShortageDemotesNoServer(t *testing.T) {
	b, c, d := newFakeServer(t, respondOK), newFakeServer(t, respondOK), newFakeServer(t, respondOK)
	var connects atomic.Int64
	dial := func(ctx context.Context, addr string, until time.Time) (net.Conn, error) {
		n := int(connects.Add(1)) - 1
		if n < 2*len(localErrnos) {
			return nil, connectError(localErrnos[n%len(localErrnos)])
		}
		return dialTCP(ctx, addr, until)
	}
	discovery := newDiscoveryServer(t, target("s-1", b.addr), target("s-2", c.addr), target("s-3", d.addr))
	a := startAgent(t, discovery, func(cfg *Config) { cfg.Dial = dial })
	waitUntil(t, "an answer once the lack is over", func() bool {
		status, _, _ := a.do(newRequest(a.addr, "order", "x"))
		if status != http.StatusOK && status != http.StatusServiceUnavailable {
			t.Fatalf("answered %d, want 200 or a refusal", status)
		}
		return status == http.StatusOK
	})
	states := a.statsNow().policy.States
	if demoted := states[balancer.UnhealthyPending] + states[balancer.Unhealthy]; demoted != 0 {
		t.Errorf("%d servers demoted of %v", demoted, states)
	}
}
