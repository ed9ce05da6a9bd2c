package downstream

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
)

// lateCloseListener makes connections that the agent closes stay readable, so that they bring a request that
// crosses the close.
type lateCloseListener struct{ net.Listener }

// lateCloseConn closes at the second call of Close.
type lateCloseConn struct {
	net.Conn
	closeCalled atomic.Bool
}

func (l lateCloseListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lateCloseConn{Conn: accepted}, nil
}

// Close takes effect at the second call, the one that ends the serving of a connection.
func (c *lateCloseConn) Close() error {
	if !c.closeCalled.Swap(true) {
		return nil
	}
	return c.Conn.Close()
}

// sendRequest writes a request to a server.
func sendRequest(t *testing.T, client *agenttest.ClientConn, request string) {
	t.Helper()
	if _, err := io.WriteString(client, request); err != nil {
		t.Fatal(err)
	}
}

// A request that crosses the close of its idle connection is sent again by its client, on another: if the
// agent forwarded it as well, two copies would execute.
func TestRequestThatCrossesACloseIsNotForwarded(t *testing.T) {
	server, dispatcher := startServer(t, lateCloseListener{agenttest.Listen(t)})
	client := agenttest.DialClient(t, server.listener.Addr().String())
	sendRequest(t, client, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
	if status := client.Status(); status != http.StatusOK {
		t.Fatalf("readiness has the status %d, want %d", status, http.StatusOK)
	}
	conns := server.conns
	agenttest.WaitUntil(t, "the connection is idle", func() bool {
		conns.mu.Lock()
		defer conns.mu.Unlock()
		return conns.order.Len() == 1
	})
	conns.mu.Lock()
	_ = conns.order.Front().Value.(net.Conn).Close()
	conns.mu.Unlock()
	sendRequest(t, client, "POST /api/a1 HTTP/1.1\r\nHost: x\r\nRequest-Id: 1\r\nRequest-Class: order\r\n"+
		"Request-Timeout-Ms: 4000\r\nContent-Length: 0\r\n\r\n")
	if status := client.Status(); status != 0 {
		t.Errorf("response %d on a connection that was closed", status)
	}
	if got := dispatcher.requests.Load(); got != 0 {
		t.Errorf("%d requests dispatched, want none", got)
	}
}

// A request that is read once the process admits no more is rejected, on its connection, and not forwarded.
func TestRequestReadAfterShutdownIsRejected(t *testing.T) {
	server, dispatcher := startServer(t, agenttest.Listen(t))
	client := agenttest.DialClient(t, server.listener.Addr().String())
	sendRequest(t, client, agenttest.RequestText(1, 4000))
	if status := agenttest.FinalStatus(t, client); status != http.StatusOK {
		t.Fatalf("status %d before the shutdown, want %d", status, http.StatusOK)
	}
	server.rejectNew()
	sendRequest(t, client, agenttest.RequestText(1, 4000))
	agenttest.WantStatus(t, agenttest.FinalStatus(t, client), http.StatusServiceUnavailable)
	if got := dispatcher.requests.Load(); got != 1 {
		t.Errorf("%d requests dispatched, want 1", got)
	}
}
