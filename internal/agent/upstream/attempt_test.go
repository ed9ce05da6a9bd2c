package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/config"
	"fernbeam.example/fernbeam/internal/agent/message"
	"fernbeam.example/fernbeam/internal/balancer"
)

// socketBufferSize is the size of the socket buffers in bytes, too small for a long request.
const socketBufferSize = 4096

// listenWithSmallBuffers returns a listener whose connections have a small receive buffer.
func listenWithSmallBuffers(t *testing.T) net.Listener {
	t.Helper()
	smallBuffers := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, socketBufferSize)
		})
		return errors.Join(err, optionErr)
	}}
	ln, err := smallBuffers.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return ln
}

// dialWithSmallBuffer opens a connection with a small send buffer.
func dialWithSmallBuffer(t *testing.T, addr string) net.Conn {
	t.Helper()
	conn, err := config.DialTCP(t.Context(), addr, time.Now().Add(agenttest.Timeout))
	if err != nil {
		t.Fatal(err)
	}
	if err := conn.(*net.TCPConn).SetWriteBuffer(socketBufferSize); err != nil {
		t.Fatal(err)
	}
	return conn
}

// If a connection breaks before the last byte is written, the attempt can't have executed. Only the count of bytes
// written distinguishes this case from a reset.
func TestBreakBeforeLastByteDidNotExecute(t *testing.T) {
	ln := listenWithSmallBuffers(t)
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 1)) // the request has started, and does not fit into the buffers
		agenttest.ResetConn(conn)
		_ = conn.Close()
	}()
	addr := ln.Addr().String()
	conn := dialWithSmallBuffer(t, addr)
	pool := newTestPool(time.Second, 8)
	pool.openConns = 1
	pool.idle[addr] = []*serverConn{{
		Conn:      conn,
		reader:    bufio.NewReader(conn),
		addr:      addr,
		idleSince: time.Now().Add(-time.Second),
	}}
	request := orderRequest(addr, make([]byte, message.MaxBufferedBody))
	result := attemptNow(t.Context(), pool, readyTarget(addr), request)
	wantStatus(t, "broken", result, balancer.StatusConnectFailed)
	if pool.openConns != 0 {
		t.Errorf("%d connections counted as open", pool.openConns)
	}
}

// A server that started draining while the attempt was connecting gets no request, and an attempt that was cancelled in
// that time does not count against its server.
func TestNothingIsSentAfterDrainOrCancellation(t *testing.T) {
	server := agenttest.NewServer(t, agenttest.RespondOK)
	pool := newTestPool(agenttest.Timeout, 8)
	request := orderRequest(server.Addr, []byte("x"))
	draining := &Server{}
	draining.SetAvailable(false)
	result := attemptNow(t.Context(), pool, Target{Server: draining, Addr: server.Addr}, request)
	wantStatus(t, "draining", result, balancer.StatusConnectFailed)
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	result = attemptNow(cancelled, pool, readyTarget(server.Addr), request)
	wantStatus(t, "cancelled", result, balancer.StatusCancelled)
	// A request of an earlier attempt would have arrived before this one.
	result = attemptNow(t.Context(), pool, readyTarget(server.Addr), request)
	wantStatus(t, "available", result, balancer.StatusOK)
	if server.Count() != 1 {
		t.Errorf("%d arrivals, want 1", server.Count())
	}
}
