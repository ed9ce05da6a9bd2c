package agent

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/balancer"
)

// A client that closes its connection has its attempt cancelled.
func TestClientGone(t *testing.T) {
	arrived := make(chan struct{}, 10)
	a, b := startWithServer(t, func(net.Conn, *http.Request, int) bool {
		arrived <- struct{}{}
		return true
	})
	ctx, leave := context.WithCancel(t.Context())
	failed := make(chan error, 1)
	go func() {
		req := agenttest.NewRequest(a.addr, "order", "x")
		req.Header.Set("Request-Timeout-Ms", "60000") // longer than the test waits for the withdrawal
		_, err := agenttest.HTTPClient.Do(req.WithContext(ctx))
		failed <- err
	}()
	<-arrived
	leave()
	<-failed
	select {
	case <-b.Ended:
	case <-time.After(agenttest.Timeout):
		t.Fatal("the attempt goes on")
	}
	if f := a.metricsNow(); f.ClientsGone != 1 || f.Backstops != 0 {
		t.Errorf("figures %+v", f)
	}
}

// The log has all attempts of a request that failed, by its id.
func TestFailedRequestIsLoggedWithItsAttempts(t *testing.T) {
	a, b := startWithServer(t, func(c net.Conn, _ *http.Request, _ int) bool { return agenttest.SendResponse(c, 500, "", "") })
	lines := a.logLines()
	req := agenttest.NewRequest(a.addr, "order", "x")
	req.Header.Set("Request-Id", "c0ffee")
	status, _, _ := a.do(req)
	agenttest.WantStatus(t, status, 502)
	text := agenttest.WaitLine(t, lines, "c0ffee")
	for _, want := range []string{"request failed", "class=order", "[s-1 at ", "ended 301 after "} {
		if !strings.Contains(text, want) {
			t.Errorf("line %q lacks %q", text, want)
		}
	}
	req = agenttest.NewRequest(a.addr, "order", "x")
	req.Header.Set("Request-Id", "decaf")
	req.Header.Set("Request-Class", "nobody's")
	status, _, _ = a.do(req)
	agenttest.WantStatus(t, status, 400)
	if text := agenttest.WaitLine(t, lines, "decaf"); !strings.Contains(text, "unknown Request-Class") {
		t.Errorf("line %q does not say why", text)
	}
	if f := a.metricsNow(); f.Invalid != 1 || f.Failed != 1 || f.Attempts[balancer.StatusError] != 1 {
		t.Errorf("figures %+v", f)
	}
	if b.Count() != 1 {
		t.Errorf("%d arrivals, want 1", b.Count())
	}
}
