package upstream

import (
	"bufio"
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/balancer"
)

// brokenConn is a connection that looks open but fails each write.
type brokenConn struct{ net.Conn }

func (brokenConn) Write([]byte) (int, error) { return 0, syscall.EPIPE }

// brokenIdleConn returns an idle connection that fails at its next use.
func brokenIdleConn(t *testing.T, addr string) *serverConn {
	t.Helper()
	end, other := net.Pipe()
	t.Cleanup(func() { _ = other.Close() })
	return &serverConn{
		Conn:      brokenConn{end},
		reader:    bufio.NewReader(end),
		addr:      addr,
		uses:      1,
		idleSince: time.Now().Add(-time.Second),
	}
}

// A reused connection that breaks before the last byte is written does not count against its server: the request is
// sent on another connection. A lack of descriptors does not count against the server either.
func TestBrokenReusedConnectionAndLocalShortageEjectNoServer(t *testing.T) {
	server := agenttest.NewServer(t, agenttest.RespondOK)
	pool := newTestPool(agenttest.Timeout, 2)
	for range 2 {
		pool.idle[server.Addr] = append(pool.idle[server.Addr], brokenIdleConn(t, server.Addr))
		pool.openConns++
	}
	request := orderRequest(server.Addr, []byte("x"))
	result := attemptNow(t.Context(), pool, readyTarget(server.Addr), request)
	wantStatus(t, "broken connections", result, balancer.StatusOK)
	if server.Count() != 1 || pool.Size() != 1 {
		t.Errorf("%d arrivals and %d connections, want 1 and 1", server.Count(), pool.Size())
	}
	pool.CloseIdle(server.Addr)
	pool.maxConns = 0
	result = attemptNow(t.Context(), pool, readyTarget(server.Addr), request)
	wantStatus(t, "no descriptor", result, balancer.StatusOverloaded)
}

// If a server is known to drop idle connections without notice, those that were idle for too long are not used.
func TestConnectionsIdleForTooLongAreNotUsed(t *testing.T) {
	pool := newTestPool(agenttest.Timeout, 8)
	server := agenttest.NewServer(t, agenttest.RespondOK)
	request := orderRequest(server.Addr, []byte("x"))
	pool.idleTimes.recordUses(100, 0, 0)
	pool.idleTimes.recordUses(100, 200*time.Millisecond, 2)
	for _, idled := range []time.Duration{50 * time.Millisecond, 300 * time.Millisecond} {
		result := attemptNow(t.Context(), pool, readyTarget(server.Addr), request)
		if result.Status != balancer.StatusOK {
			t.Fatalf("status %d (%s), want OK", result.Status, result.Reason)
		}
		pool.idle[server.Addr][0].idleSince = time.Now().Add(-idled)
	}
	attemptNow(t.Context(), pool, readyTarget(server.Addr), request)
	if server.Count() != 3 {
		t.Errorf("%d arrivals, want 3", server.Count())
	}
	if size := pool.Size(); size != 1 {
		t.Errorf("%d connections, want the new one alone", size)
	}
	if uses := pool.idle[server.Addr][0].uses; uses != 1 {
		t.Errorf("the third request was request %d of its connection, want 1", uses)
	}
}

// Nagle's algorithm would delay the end of a request.
func TestSmallWritesToServersAreNotDelayed(t *testing.T) {
	pool := newTestPool(agenttest.Timeout, 8)
	server := agenttest.NewServer(t, agenttest.RespondOK)
	conn, err := pool.acquire(t.Context(), server.Addr, time.Now().Add(agenttest.Timeout))
	if err != nil {
		t.Fatal(err)
	}
	defer pool.discard(conn)
	if !agenttest.HasNoDelay(t, conn.Conn) {
		t.Error("TCP_NODELAY is off on a connection to a server")
	}
}

// At its limit the pool opens a connection only in place of an idle one.
func TestPoolKeepsWithinConnLimit(t *testing.T) {
	server := agenttest.NewServer(t, agenttest.RespondOK)
	pool := newTestPool(agenttest.Timeout, 2)
	deadline := time.Now().Add(agenttest.Timeout)
	first, err := pool.acquire(t.Context(), server.Addr, deadline)
	if err != nil {
		t.Fatal(err)
	}
	second, err := pool.acquire(t.Context(), server.Addr, deadline)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = second.Close() }()
	if _, err := pool.acquire(t.Context(), server.Addr, deadline); !errors.Is(err, errNoDescriptor) {
		t.Errorf("third connection with a limit of 2: %v, want errNoDescriptor", err)
	}
	pool.release(first, &Server{})
	other := agenttest.NewServer(t, agenttest.RespondOK)
	third, err := pool.acquire(t.Context(), other.Addr, deadline) // in place of the idle one
	if err != nil {
		t.Fatal(err)
	}
	_ = third.Close()
	if pool.openConns != 2 {
		t.Errorf("%d connections counted, want 2", pool.openConns)
	}
}
