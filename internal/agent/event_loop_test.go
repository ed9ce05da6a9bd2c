package agent

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

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
		req := newRequest(a.addr, "order", "x")
		req.Header.Set("Request-Timeout-Ms", "60000") // longer than the test waits for the withdrawal
		_, err := testClient.Do(req.WithContext(ctx))
		failed <- err
	}()
	<-arrived
	leave()
	<-failed
	select {
	case <-b.ended:
	case <-time.After(testTimeout):
		t.Fatal("the attempt goes on")
	}
	if f := a.metricsNow(); f.clientsGone != 1 || f.backstops != 0 {
		t.Errorf("figures %+v", f)
	}
}

// The log has all attempts of a request that failed, by its id.
func TestFailedRequestIsLoggedWithItsAttempts(t *testing.T) {
	a, b := startWithServer(t, func(c net.Conn, _ *http.Request, _ int) bool { return sendResponse(c, 500, "", "") })
	lines := a.logLines()
	req := newRequest(a.addr, "order", "x")
	req.Header.Set("Request-Id", "c0ffee")
	status, _, _ := a.do(req)
	wantStatus(t, status, 502)
	text := waitLine(t, lines, "c0ffee")
	for _, want := range []string{"request failed", "class=order", "[s-1 at ", "ended 301 after "} {
		if !strings.Contains(text, want) {
			t.Errorf("line %q lacks %q", text, want)
		}
	}
	req = newRequest(a.addr, "order", "x")
	req.Header.Set("Request-Id", "decaf")
	req.Header.Set("Request-Class", "nobody's")
	status, _, _ = a.do(req)
	wantStatus(t, status, 400)
	if text := waitLine(t, lines, "decaf"); !strings.Contains(text, "unknown Request-Class") {
		t.Errorf("line %q does not say why", text)
	}
	if f := a.metricsNow(); f.invalid != 1 || f.failed != 1 || f.attempts[balancer.StatusError] != 1 {
		t.Errorf("figures %+v", f)
	}
	if b.count() != 1 {
		t.Errorf("%d arrivals, want 1", b.count())
	}
}
