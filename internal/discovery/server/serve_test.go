package server

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
)

// flakyListener is a listener whose every other Accept fails with ENOBUFS.
type flakyListener struct {
	net.Listener
	calls atomic.Uint64
}

// Accept alternately returns an error and accepts a connection.
func (l *flakyListener) Accept() (net.Conn, error) {
	if l.calls.Add(1)%2 == 1 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.ENOBUFS)}
	}
	return l.Listener.Accept()
}

// listenLoopback returns a listener on a free loopback port.
func listenLoopback(t *testing.T) net.Listener {
	t.Helper()
	var config net.ListenConfig
	ln, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

// startServer serves HTTP on a listener with Node.serve, and returns the Node.
func startServer(t *testing.T, ln net.Listener) *Node {
	t.Helper()
	n := &Node{log: slog.New(slog.NewTextHandler(io.Discard, nil)), failed: make(chan error, 1)}
	server := &http.Server{Handler: http.NotFoundHandler()}
	t.Cleanup(func() {
		if err := server.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			t.Error(err)
		}
	})
	go n.serve(server, ln, &n.readTraffic)
	return n
}

// TestFailedAcceptsDoNotStopInstance checks that an instance continues after temporary accept errors.
func TestFailedAcceptsDoNotStopInstance(t *testing.T) {
	ln := listenLoopback(t)
	n := startServer(t, &flakyListener{Listener: ln})
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for range 3 {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+ln.Addr().String(), http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		response, err := client.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		if err := response.Body.Close(); err != nil {
			t.Error(err)
		}
	}
	select {
	case err := <-n.Failed():
		t.Errorf("the instance failed: %v", err)
	default:
	}
}

// TestClosedListenerFailsInstance checks that an instance whose listener is closed fails with the
// listener's error.
func TestClosedListenerFailsInstance(t *testing.T) {
	ln := listenLoopback(t)
	if err := ln.Close(); err != nil {
		t.Fatal(err)
	}
	if err := <-startServer(t, ln).Failed(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("failed with %v, want %v", err, net.ErrClosed)
	}
}
