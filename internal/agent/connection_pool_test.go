package agent

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/balancer"
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
	most := a.agent.loop.cfg.clientConns()
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

	p := newTestPool(testTimeout, 2)
	end := time.Now().Add(testTimeout)
	x, err := p.acquire(t.Context(), b.addr, end)
	if err != nil {
		t.Fatal(err)
	}
	y, err := p.acquire(t.Context(), b.addr, end)
	if err != nil {
		t.Fatal(err)
	}
	defer y.Close()
	if _, err := p.acquire(t.Context(), b.addr, end); err != errNoDescriptor {
		t.Errorf("a third connection of two: %v", err)
	}
	p.release(x, &upstreamServer{})
	z, err := p.acquire(t.Context(), newFakeServer(t, respondOK).addr, end) // the idle one gives way
	if err != nil {
		t.Fatal(err)
	}
	z.Close()
	if p.openConns != 2 {
		t.Errorf("%d connections counted, want 2", p.openConns)
	}
}

// brokenConn looks open until it is written to.
type brokenConn struct{ net.Conn }

func (brokenConn) Write([]byte) (int, error) { return 0, syscall.EPIPE }

// A kept connection that breaks before the last byte is written does not count against its server, and the
// request goes out on another connection; nor does a lack of descriptors.
func TestBrokenKeptConnectionAndLocalShortageDemoteNoServer(t *testing.T) {
	b := newFakeServer(t, respondOK)
	p := newTestPool(testTimeout, 2)
	for range 2 {
		x, y := net.Pipe()
		defer y.Close()
		p.idle[b.addr] = append(p.idle[b.addr], &serverConn{Conn: brokenConn{x}, reader: bufio.NewReader(x), addr: b.addr,
			uses: 1, idleSince: time.Now().Add(-time.Second)})
		p.openConns++
	}
	req := newRequest(b.addr, "order", "x")
	c := &clientRequest{method: req.Method, url: req.URL, header: req.Header, body: []byte("x")}
	if res := attemptNow(t.Context(), p, &upstreamServer{}, b.addr, c); res.status != balancer.StatusOK {
		t.Errorf("ended as %d (%s), want %d", res.status, res.reason, balancer.StatusOK)
	}
	if b.count() != 1 || p.size() != 1 {
		t.Errorf("%d arrivals and %d connections, want 1 and 1", b.count(), p.size())
	}
	p.closeIdle(b.addr)
	p.maxConns = 0
	if res := attemptNow(t.Context(), p, &upstreamServer{}, b.addr, c); res.status != balancer.StatusOverloaded {
		t.Errorf("no descriptor: ended as %d, want %d", res.status, balancer.StatusOverloaded)
	}
}

// A server that drops idle connections without a sign costs a request now and then, not each one that follows
// a pause.
func TestConnectionsThatIdleTooLongAreNotUsed(t *testing.T) {
	p := newTestPool(testTimeout, 8)
	b := newFakeServer(t, respondOK)
	req := newRequest(b.addr, "order", "x")
	c := &clientRequest{method: req.Method, url: req.URL, header: req.Header, body: []byte("x")}
	p.idleTimes.feed(100, 0, 0)
	p.idleTimes.feed(100, 200*time.Millisecond, 2)
	for _, idled := range []time.Duration{50 * time.Millisecond, 300 * time.Millisecond} {
		if res := attemptNow(t.Context(), p, &upstreamServer{}, b.addr, c); res.status != balancer.StatusOK {
			t.Fatalf("ended as %d (%s)", res.status, res.reason)
		}
		p.idle[b.addr][0].idleSince = time.Now().Add(-idled)
	}
	attemptNow(t.Context(), p, &upstreamServer{}, b.addr, c)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.arrivals != 3 {
		t.Errorf("%d arrivals, want 3", b.arrivals)
	}
	if got := p.size(); got != 1 {
		t.Errorf("%d connections, want the new one alone", got)
	}
	if uses := p.idle[b.addr][0].uses; uses != 1 {
		t.Errorf("the third request was number %d on its connection", uses)
	}
}
