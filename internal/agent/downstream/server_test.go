package downstream

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
)

// lateCloseListener keeps connections readable after the agent has closed them, so that a request can still arrive on
// them.
type lateCloseListener struct{ net.Listener }

// lateCloseConn is closed by the second call of Close.
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

// Close has no effect at the first call. The second call is made by the HTTP server when it has finished with the
// connection.
func (c *lateCloseConn) Close() error {
	if !c.closeCalled.Swap(true) {
		return nil
	}
	return c.Conn.Close()
}

func sendRequest(t *testing.T, client *agenttest.ClientConn, request string) {
	t.Helper()
	if _, err := io.WriteString(client, request); err != nil {
		t.Fatal(err)
	}
}

// A request sent while its idle connection is being closed is sent again by its client on another connection. If the
// agent also forwarded the first copy, the request would execute twice.
func TestRequestOnClosedConnectionIsNotForwarded(t *testing.T) {
	server, dispatcher := startServer(t, lateCloseListener{agenttest.Listen(t)})
	client := agenttest.DialClient(t, server.listener.Addr().String())
	sendRequest(t, client, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
	if status := client.Status(); status != http.StatusOK {
		t.Fatalf("readiness status %d, want %d", status, http.StatusOK)
	}
	conns := server.conns
	agenttest.WaitUntil(t, "the connection is idle", func() bool {
		conns.mu.Lock()
		defer conns.mu.Unlock()
		return conns.idleOrder.Len() == 1
	})
	conns.mu.Lock()
	_ = conns.idleOrder.Front().Value.(net.Conn).Close()
	conns.mu.Unlock()
	sendRequest(t, client, "POST /api/a1 HTTP/1.1\r\nHost: x\r\nRequest-Id: 1\r\nRequest-Class: order\r\n"+
		"Request-Timeout-Ms: 4000\r\nContent-Length: 0\r\n\r\n")
	if status := client.Status(); status != 0 {
		t.Errorf("status %d on a closed connection, want no response", status)
	}
	if got := dispatcher.requests.Load(); got != 0 {
		t.Errorf("%d requests dispatched, want none", got)
	}
}

// A request read after the process has stopped admitting requests is rejected on its connection and not forwarded.
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
