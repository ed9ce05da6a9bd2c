package agent

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/message"
)

// lateWriteConn is a connection whose server receives a complete request and then resets the connection. The write of
// the last byte does not return until the connection is closed.
type lateWriteConn struct {
	net.Conn // nil: the other methods are not called
	lastByte byte
	sent     chan struct{} // closed when the last byte has been written
	closed   chan struct{} // closed when the connection is closed
	close    func()        // closes closed, once
}

func newLateWriteConn(lastByte byte) *lateWriteConn {
	conn := &lateWriteConn{
		lastByte: lastByte,
		sent:     make(chan struct{}),
		closed:   make(chan struct{}),
	}
	conn.close = sync.OnceFunc(func() { close(conn.closed) })
	return conn
}

func (conn *lateWriteConn) Write(data []byte) (int, error) {
	if bytes.HasSuffix(data, []byte{conn.lastByte}) {
		close(conn.sent)
		<-conn.closed
	}
	return len(data), nil
}

func (conn *lateWriteConn) Read([]byte) (int, error) {
	<-conn.sent
	return 0, &net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET}
}

func (conn *lateWriteConn) Close() error {
	conn.close()
	return nil
}

func (conn *lateWriteConn) SetDeadline(time.Time) error      { return nil }
func (conn *lateWriteConn) SetReadDeadline(time.Time) error  { return nil }
func (conn *lateWriteConn) SetWriteDeadline(time.Time) error { return nil }

// If a connection is reset after the last byte of a streamed body, but before the write of that byte returns, the
// request may have executed. A non-idempotent one must fail and must not be rejected, as the client could then retry
// it.
func TestStreamedBodySentBeforeTheResetMayHaveExecuted(t *testing.T) {
	t.Parallel()
	const lastByte = 'Z'
	listener := agenttest.Listen(t)
	dial := func(context.Context, string, time.Time) (net.Conn, error) {
		return newLateWriteConn(lastByte), nil
	}
	agent, err := newFaultEnvironment(t, 1).agent(listener, dial)
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- agent.Run(context.Background(), nil) }()
	defer func() {
		agent.Kill()
		<-ended
	}()
	body := strings.Repeat("x", 2*message.MaxBufferedBody) + string(lastByte)
	req := agenttest.NewRequest(listener.Addr().String(), "order", body)
	req.Header.Set("Request-Timeout-Ms", "2000")
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusBadGateway {
		t.Errorf("response status %d, want %d: the request may have executed", resp.StatusCode, http.StatusBadGateway)
	}
}
