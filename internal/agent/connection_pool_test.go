package agent

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

func TestConnectionIsReused(t *testing.T) {
	a, b := startWithServer(t, respondOK)
	for range 3 {
		status, _, _ := a.do(newRequest(a.addr, "order", "x"))
		wantStatus(t, status, 200)
		time.Sleep(2 * settleTime)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.arrivals != 3 || b.most != 1 || len(b.ended) != 0 {
		t.Errorf("%d arrivals, %d connections at once, %d ended", b.arrivals, b.most, len(b.ended))
	}
}

// A kept connection that the server has closed must be noticed before it carries a request: a non-idempotent
// one would end as a reset and fail.
func TestClosedKeptConnectionIsNotUsed(t *testing.T) {
	a, b := startWithServer(t, func(c net.Conn, req *http.Request, n int) bool {
		respondOK(c, req, n)
		return n > 0
	})
	wantServed := func() {
		t.Helper()
		status, _, _ := a.do(newRequest(a.addr, "order", "x"))
		wantStatus(t, status, 200)
	}
	wantServed()
	select {
	case <-b.ended:
	case <-time.After(testTimeout):
		t.Fatal("the backend did not close")
	}
	wantServed()
	if b.count() != 2 {
		t.Errorf("%d arrivals, want 2", b.count())
	}
}

// A kept connection breaks on a request whose last byte was written: the request may have executed and is
// never sent again without the policy, not even with the key or without the body that make http.Transport do
// so.
func TestNoSilentResend(t *testing.T) {
	a, b := startWithServer(t, func(c net.Conn, req *http.Request, n int) bool {
		return n == 0 && respondOK(c, req, n)
	})
	status, _, _ := a.do(newRequest(a.addr, "order", ""))
	wantStatus(t, status, 200)
	time.Sleep(2 * settleTime)
	status, _, _ = a.do(newRequest(a.addr, "order", ""))
	wantStatus(t, status, 502)
	if b.count() != 2 {
		t.Errorf("%d arrivals, want 2", b.count())
	}
}

// Idle clients are closed for new ones, and attempts beyond the limit don't open connections: neither side
// can use up the descriptors.
func TestDescriptorLimit(t *testing.T) {
	release := make(chan struct{})
	b := newFakeServer(t, func(c net.Conn, req *http.Request, n int) bool {
		<-release
		return respondOK(c, req, n)
	})
	a := startAgent(t, newDiscoveryServer(t, target("s-1", b.addr)), func(c *Config) { c.Sockets = minSockets })
	most := a.agent.cfg.clientConns()
	for range 2 * most { // clients that stay connected and idle
		c, err := net.Dial("tcp", a.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(testTimeout))
		fmt.Fprint(c, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
		if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != 200 {
			t.Fatalf("%v, %v", resp, err)
		}
	}
	close(release)
	status, _, _ := a.do(newRequest(a.addr, "order", "x"))
	wantStatus(t, status, 200)
}
