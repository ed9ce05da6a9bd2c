package agent

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/config"
)

// blockedServer starts a server that responds to no request until release is called.
func blockedServer(t *testing.T, respond agenttest.Responder) (server *agenttest.Server, release func()) {
	t.Helper()
	released := make(chan struct{})
	server = agenttest.NewServer(t, func(conn net.Conn, req *http.Request, n int) bool {
		<-released
		return respond(conn, req, n)
	})
	release = sync.OnceFunc(func() { close(released) })
	t.Cleanup(release)
	return server, release
}

// blockedConn is a connection to a server. Once armed, its next write blocks until the test closes proceed, and then
// fails.
type blockedConn struct {
	net.Conn
	armed   atomic.Bool
	writing chan struct{} // closed when the write begins
	proceed chan struct{} // closed by the test
}

func (conn *blockedConn) Write(data []byte) (int, error) {
	if !conn.armed.Load() {
		return conn.Conn.Write(data)
	}
	close(conn.writing)
	<-conn.proceed
	return 0, syscall.EPIPE
}

// startWithBlockedConn starts an agent with one idle connection to a server. The next write on that connection blocks.
// The request that opened the connection is not included in the counts of the server.
func startWithBlockedConn(t *testing.T, server *agenttest.Server) (*testAgent, *blockedConn) {
	t.Helper()
	blocked := &blockedConn{
		writing: make(chan struct{}),
		proceed: make(chan struct{}),
	}
	var dials atomic.Int64
	dial := func(ctx context.Context, addr string, until time.Time) (net.Conn, error) {
		conn, err := config.DialTCP(ctx, addr, until)
		if err != nil || dials.Add(1) > 1 {
			return conn, err
		}
		blocked.Conn = conn
		return blocked, nil
	}
	agent := startAgent(t, discoveryWith(t, server.Addr), func(cfg *config.Config) { cfg.Dial = dial })
	agent.wantOrderStatus(http.StatusOK)
	time.Sleep(longReuseDelay)
	blocked.armed.Store(true)
	server.ResetCounts()
	return agent, blocked
}

// longReuseDelay is well above reuseDelay.
const longReuseDelay = 100 * time.Millisecond

// withLongConnectTimeout sets a connect timeout that is longer than any of these tests takes.
func withLongConnectTimeout(cfg *config.Config) {
	cfg.Settings.Limits.ConnectTimeoutMs = longConnectTimeoutMs
}

// fullListener returns a listener whose accept queue is full: no connection is established until the test accepts one.
func fullListener(t *testing.T) net.Listener {
	t.Helper()
	listener := agenttest.Listen(t)
	raw, err := listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if err := raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) }); err != nil {
		t.Fatal(err)
	}
	dialer := net.Dialer{Timeout: 100 * time.Millisecond}
	for range 4 {
		conn, err := dialer.DialContext(t.Context(), "tcp", listener.Addr().String())
		if err != nil {
			return listener
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
	t.Fatal("accept queue is not full after 4 connections")
	return nil
}
