package downstream

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
)

// lateCloseListener makes connections that the agent closes stay readable, so that they bring a request that
// crosses the close.
type lateCloseListener struct{ net.Listener }

type lateClose struct {
	net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l lateCloseListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lateClose{Conn: c, closed: make(chan struct{})}, nil
}

// Close takes effect at the second call, the one that ends the serving of a connection.
func (c *lateClose) Close() error {
	first := false
	c.once.Do(func() { first = true; close(c.closed) })
	if first {
		return nil
	}
	return c.Conn.Close()
}

// A request that crosses the close of its idle connection is sent again by its client, on another: if the
// agent forwarded it as well, two copies would execute.
func TestRequestThatCrossesACloseIsNotForwarded(t *testing.T) {
	server, requests := startServer(t, lateCloseListener{listen(t)})
	client := agenttest.DialKept(t, server.listener.Addr().String())
	fmt.Fprint(client, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
	if resp, err := http.ReadResponse(client.Br, nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("%v, %v", resp, err)
	}
	conns := server.conns
	agenttest.WaitUntil(t, "the connection idles", func() bool {
		conns.mu.Lock()
		defer conns.mu.Unlock()
		return conns.order.Len() == 1
	})
	conns.mu.Lock()
	_ = conns.order.Front().Value.(net.Conn).Close()
	conns.mu.Unlock()
	fmt.Fprint(client, "POST /api/a1 HTTP/1.1\r\nHost: x\r\nRequest-Id: 1\r\nRequest-Class: order\r\n"+
		"Request-Timeout-Ms: 4000\r\nContent-Length: 0\r\n\r\n")
	if resp, err := http.ReadResponse(client.Br, nil); err == nil {
		t.Errorf("answered %d on a connection that was closed", resp.StatusCode)
	}
	if got := requests.requests.Load(); got != 0 {
		t.Errorf("%d requests dispatched, want none", got)
	}
}

// A request that is read once the process admits none any more is rejected, on its connection, and not
// forwarded.
func TestRequestReadAfterShutdownIsRejected(t *testing.T) {
	server, requests := startServer(t, listen(t))
	c := agenttest.DialKept(t, server.listener.Addr().String())
	if c.Request(t).StatusCode != 200 {
		t.Fatal("not served")
	}
	server.rejectNew()
	if resp := c.Request(t); resp.StatusCode != 503 {
		t.Errorf("answered %d, want a rejection", resp.StatusCode)
	}
	if got := requests.requests.Load(); got != 1 {
		t.Errorf("%d requests dispatched, want 1", got)
	}
}
