package agent

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/balancer"
)

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

// newTestPool is a connection pool without an agent.
func newTestPool(connectTimeout time.Duration, maxConns int) *connectionPool {
	return &connectionPool{
		budget:         newBodyBudget(64),
		dial:           dialTCP,
		connectTimeout: connectTimeout,
		keepalive:      time.Minute,
		maxConns:       maxConns,
		idle:           map[string][]*serverConn{},
	}
}

// attemptNow makes an attempt for a client's request, with testTimeout as its deadline.
func attemptNow(
	ctx context.Context, p *connectionPool, server *upstreamServer, addr string, c *clientRequest,
) attemptResult {
	now := time.Now()
	message := &upstreamMessage{newRequest: func(left time.Duration) *http.Request { return newUpstreamRequest(c, left) }}
	return p.attempt(ctx, server, addr, message, now, now.Add(testTimeout))
}

func TestSmallWritesToServersAreNotDelayed(t *testing.T) {
	pool := newTestPool(testTimeout, 8)
	server := newFakeServer(t, respondOK)
	conn, err := pool.acquire(t.Context(), server.addr, time.Now().Add(testTimeout))
	if err != nil {
		t.Fatal(err)
	}
	defer pool.discard(conn)
	if !hasNoDelay(t, conn.Conn) {
		t.Error("small writes to servers are held back")
	}
}

// At its limit the pool opens no further connection, except in place of an idle one.
func TestPoolKeepsItsLimit(t *testing.T) {
	server := newFakeServer(t, respondOK)
	pool := newTestPool(testTimeout, 2)
	end := time.Now().Add(testTimeout)
	first, err := pool.acquire(t.Context(), server.addr, end)
	if err != nil {
		t.Fatal(err)
	}
	second, err := pool.acquire(t.Context(), server.addr, end)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = second.Close() }()
	if _, err := pool.acquire(t.Context(), server.addr, end); !errors.Is(err, errNoDescriptor) {
		t.Errorf("a third connection of two: %v", err)
	}
	pool.release(first, &upstreamServer{})
	third, err := pool.acquire(t.Context(), newFakeServer(t, respondOK).addr, end) // the idle one gives way
	if err != nil {
		t.Fatal(err)
	}
	_ = third.Close()
	if pool.openConns != 2 {
		t.Errorf("%d connections counted, want 2", pool.openConns)
	}
}
