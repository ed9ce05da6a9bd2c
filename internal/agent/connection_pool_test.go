package agent

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/config"
	"fernbeam.example/fernbeam/internal/agent/upstream"
)

func TestConnectionIsReused(t *testing.T) {
	a, b := startWithServer(t, agenttest.RespondOK)
	for range 3 {
		status, _, _ := a.do(agenttest.NewRequest(a.addr, "order", "x"))
		agenttest.WantStatus(t, status, 200)
		time.Sleep(2 * upstream.SettleTime)
	}
	b.Mu.Lock()
	defer b.Mu.Unlock()
	if b.Arrivals != 3 || b.Most != 1 || len(b.Ended) != 0 {
		t.Errorf("%d arrivals, %d connections at once, %d ended", b.Arrivals, b.Most, len(b.Ended))
	}
}

// A kept connection that the server has closed must be noticed before it carries a request: a non-idempotent
// one would end as a reset and fail.
func TestClosedKeptConnectionIsNotUsed(t *testing.T) {
	a, b := startWithServer(t, func(c net.Conn, req *http.Request, n int) bool {
		agenttest.RespondOK(c, req, n)
		return n > 0
	})
	wantServed := func() {
		t.Helper()
		status, _, _ := a.do(agenttest.NewRequest(a.addr, "order", "x"))
		agenttest.WantStatus(t, status, 200)
	}
	wantServed()
	select {
	case <-b.Ended:
	case <-time.After(agenttest.Timeout):
		t.Fatal("the backend did not close")
	}
	wantServed()
	if b.Count() != 2 {
		t.Errorf("%d arrivals, want 2", b.Count())
	}
}

// A kept connection breaks on a request whose last byte was written: the request may have executed and is
// never sent again without the policy, not even with the key or without the body that make http.Transport do
// so.
func TestNoSilentResend(t *testing.T) {
	a, b := startWithServer(t, func(c net.Conn, req *http.Request, n int) bool {
		return n == 0 && agenttest.RespondOK(c, req, n)
	})
	status, _, _ := a.do(agenttest.NewRequest(a.addr, "order", ""))
	agenttest.WantStatus(t, status, 200)
	time.Sleep(2 * upstream.SettleTime)
	status, _, _ = a.do(agenttest.NewRequest(a.addr, "order", ""))
	agenttest.WantStatus(t, status, 502)
	if b.Count() != 2 {
		t.Errorf("%d arrivals, want 2", b.Count())
	}
}

// Idle clients are closed for new ones, and attempts beyond the limit don't open connections: neither side
// can use up the descriptors.
func TestDescriptorLimit(t *testing.T) {
	release := make(chan struct{})
	b := agenttest.NewServer(t, func(c net.Conn, req *http.Request, n int) bool {
		<-release
		return agenttest.RespondOK(c, req, n)
	})
	a := startAgent(t, agenttest.NewDiscovery(t, agenttest.Endpoint("s-1", b.Addr)), func(c *config.Config) { c.Sockets = config.MinSockets })
	most := a.agent.cfg.ClientConns()
	for range 2 * most { // clients that stay connected and idle
		c, err := net.Dial("tcp", a.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(agenttest.Timeout))
		fmt.Fprint(c, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
		if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != 200 {
			t.Fatalf("%v, %v", resp, err)
		}
	}
	close(release)
	status, _, _ := a.do(agenttest.NewRequest(a.addr, "order", "x"))
	agenttest.WantStatus(t, status, 200)
}
