package upstream

import (
	"bufio"
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/message"
	"fernbeam.example/fernbeam/internal/balancer"
)

// A connection that breaks before the last byte is written proves that the attempt did not execute; only the
// count of bytes written distinguishes it from a reset.
func TestBreakBeforeLastByteDidNotExecute(t *testing.T) {
	small := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
	}}
	ln, err := small.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		c.Read(make([]byte, 1)) // the request has begun, and does not fit the buffers
		agenttest.ResetConn(c)
		c.Close()
	}()
	nc, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	nc.(*net.TCPConn).SetWriteBuffer(4096)
	addr := ln.Addr().String()
	p := &Pool{budget: message.NewBodyBudget(64), dial: DialTCP, connectTimeout: time.Second, keepalive: time.Minute, maxConns: 8, openConns: 1, idle: map[string][]*serverConn{
		addr: {{Conn: nc, reader: bufio.NewReader(nc), addr: addr, idleSince: time.Now().Add(-time.Second)}}}}
	req := agenttest.NewRequest(addr, "order", "")
	c := &message.Request{Method: req.Method, URL: req.URL, Header: req.Header, Body: make([]byte, message.MaxBufferedBody)}
	if res := attemptNow(context.Background(), p, &Server{}, addr, c); res.Status != balancer.StatusConnectFailed {
		t.Errorf("ended as %d, want %d", res.Status, balancer.StatusConnectFailed)
	}
	if p.openConns != 0 {
		t.Errorf("%d connections counted as open", p.openConns)
	}
}

// A server that began to drain while the attempt was connecting gets no request, and an attempt that was
// cancelled meanwhile does not count against its server.
func TestNothingIsSentOnceDrainingOrCancelled(t *testing.T) {
	b := agenttest.NewServer(t, agenttest.RespondOK)
	p := newTestPool(agenttest.Timeout, 8)
	req := agenttest.NewRequest(b.Addr, "order", "")
	c := &message.Request{Method: req.Method, URL: req.URL, Header: req.Header, Body: []byte("x")}
	drained := &Server{}
	drained.SetAvailable(false)
	if res := attemptNow(t.Context(), p, drained, b.Addr, c); res.Status != balancer.StatusConnectFailed {
		t.Errorf("drained: ended as %d, want %d", res.Status, balancer.StatusConnectFailed)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if res := attemptNow(ctx, p, &Server{}, b.Addr, c); res.Status != balancer.StatusCancelled {
		t.Errorf("withdrawn: ended as %d, want %d", res.Status, balancer.StatusCancelled)
	}
	// One more goes through, after which an earlier one would have arrived as well.
	if res := attemptNow(t.Context(), p, &Server{}, b.Addr, c); res.Status != balancer.StatusOK {
		t.Errorf("ended as %d, want %d", res.Status, balancer.StatusOK)
	}
	if b.Count() != 1 {
		t.Errorf("%d arrivals, want 1", b.Count())
	}
}
