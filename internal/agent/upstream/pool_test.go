package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/message"
	"fernbeam.example/fernbeam/internal/balancer"
)

// brokenConn looks open until it is written to.
type brokenConn struct{ net.Conn }

func (brokenConn) Write([]byte) (int, error) { return 0, syscall.EPIPE }

// A kept connection that breaks before the last byte is written does not count against its server, and the
// request goes out on another connection; nor does a lack of descriptors.
func TestBrokenKeptConnectionAndLocalShortageDemoteNoServer(t *testing.T) {
	b := agenttest.NewServer(t, agenttest.RespondOK)
	p := newTestPool(agenttest.Timeout, 2)
	for range 2 {
		x, y := net.Pipe()
		defer y.Close()
		p.idle[b.Addr] = append(p.idle[b.Addr], &serverConn{Conn: brokenConn{x}, reader: bufio.NewReader(x), addr: b.Addr,
			uses: 1, idleSince: time.Now().Add(-time.Second)})
		p.openConns++
	}
	req := agenttest.NewRequest(b.Addr, "order", "x")
	c := &message.Request{Method: req.Method, URL: req.URL, Header: req.Header, Body: []byte("x")}
	if res := attemptNow(t.Context(), p, &Server{}, b.Addr, c); res.Status != balancer.StatusOK {
		t.Errorf("ended as %d (%s), want %d", res.Status, res.Reason, balancer.StatusOK)
	}
	if b.Count() != 1 || p.Size() != 1 {
		t.Errorf("%d arrivals and %d connections, want 1 and 1", b.Count(), p.Size())
	}
	p.CloseIdle(b.Addr)
	p.maxConns = 0
	if res := attemptNow(t.Context(), p, &Server{}, b.Addr, c); res.Status != balancer.StatusOverloaded {
		t.Errorf("no descriptor: ended as %d, want %d", res.Status, balancer.StatusOverloaded)
	}
}

// A server that drops idle connections without a sign costs a request now and then, not each one that follows
// a pause.
func TestConnectionsThatIdleTooLongAreNotUsed(t *testing.T) {
	p := newTestPool(agenttest.Timeout, 8)
	b := agenttest.NewServer(t, agenttest.RespondOK)
	req := agenttest.NewRequest(b.Addr, "order", "x")
	c := &message.Request{Method: req.Method, URL: req.URL, Header: req.Header, Body: []byte("x")}
	p.idleTimes.feed(100, 0, 0)
	p.idleTimes.feed(100, 200*time.Millisecond, 2)
	for _, idled := range []time.Duration{50 * time.Millisecond, 300 * time.Millisecond} {
		if res := attemptNow(t.Context(), p, &Server{}, b.Addr, c); res.Status != balancer.StatusOK {
			t.Fatalf("ended as %d (%s)", res.Status, res.Reason)
		}
		p.idle[b.Addr][0].idleSince = time.Now().Add(-idled)
	}
	attemptNow(t.Context(), p, &Server{}, b.Addr, c)
	b.Mu.Lock()
	defer b.Mu.Unlock()
	if b.Arrivals != 3 {
		t.Errorf("%d arrivals, want 3", b.Arrivals)
	}
	if got := p.Size(); got != 1 {
		t.Errorf("%d connections, want the new one alone", got)
	}
	if uses := p.idle[b.Addr][0].uses; uses != 1 {
		t.Errorf("the third request was number %d on its connection", uses)
	}
}

// newTestPool is a connection pool without an agent.
func newTestPool(connectTimeout time.Duration, maxConns int) *Pool {
	return &Pool{
		budget:         message.NewBodyBudget(64),
		dial:           DialTCP,
		connectTimeout: connectTimeout,
		keepalive:      time.Minute,
		maxConns:       maxConns,
		idle:           map[string][]*serverConn{},
	}
}

// attemptNow makes an attempt for a client's request, with Timeout as its deadline.
func attemptNow(
	ctx context.Context, p *Pool, server *Server, addr string, c *message.Request,
) Result {
	now := time.Now()
	message := &Message{NewRequest: func(left time.Duration) *http.Request { return NewRequest(c, left) }}
	return p.Attempt(ctx, server, addr, message, now, now.Add(agenttest.Timeout))
}

func TestSmallWritesToServersAreNotDelayed(t *testing.T) {
	pool := newTestPool(agenttest.Timeout, 8)
	server := agenttest.NewServer(t, agenttest.RespondOK)
	conn, err := pool.acquire(t.Context(), server.Addr, time.Now().Add(agenttest.Timeout))
	if err != nil {
		t.Fatal(err)
	}
	defer pool.discard(conn)
	if !agenttest.HasNoDelay(t, conn.Conn) {
		t.Error("small writes to servers are held back")
	}
}

// At its limit the pool opens no further connection, except in place of an idle one.
func TestPoolKeepsItsLimit(t *testing.T) {
	server := agenttest.NewServer(t, agenttest.RespondOK)
	pool := newTestPool(agenttest.Timeout, 2)
	end := time.Now().Add(agenttest.Timeout)
	first, err := pool.acquire(t.Context(), server.Addr, end)
	if err != nil {
		t.Fatal(err)
	}
	second, err := pool.acquire(t.Context(), server.Addr, end)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = second.Close() }()
	if _, err := pool.acquire(t.Context(), server.Addr, end); !errors.Is(err, errNoDescriptor) {
		t.Errorf("a third connection of two: %v", err)
	}
	pool.release(first, &Server{})
	third, err := pool.acquire(t.Context(), agenttest.NewServer(t, agenttest.RespondOK).Addr, end) // the idle one gives way
	if err != nil {
		t.Fatal(err)
	}
	_ = third.Close()
	if pool.openConns != 2 {
		t.Errorf("%d connections counted, want 2", pool.openConns)
	}
}
