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

// flakyListener fails every other accept with ENOBUFS.
type flakyListener struct {
	net.Listener
	calls atomic.Uint64
}

// Accept fails or accepts a connection, in turn.
func (l *flakyListener) Accept() (net.Conn, error) {
	if l.calls.Add(1)%2 == 1 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.ENOBUFS)}
	}
	return l.Listener.Accept()
}

// startServer starts an HTTP server on a listener, and returns the instance that it belongs to.
func startServer(t *testing.T, ln net.Listener) *Node {
	t.Helper()
	n := &Node{log: slog.New(slog.NewTextHandler(io.Discard, nil)), failed: make(chan error, 1)}
	server := &http.Server{Handler: http.NotFoundHandler()}
	t.Cleanup(func() { server.Close() })
	go n.serve(server, ln, &n.readTraffic)
	return n
}

// TestFailedAcceptsDoNotStopInstance: temporary errors of accept do not stop an instance.
func TestFailedAcceptsDoNotStopInstance(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := startServer(t, &flakyListener{Listener: ln})
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for range 3 {
		resp, err := client.Get("http://" + ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
	}
	select {
	case err := <-n.Failed():
		t.Errorf("the instance failed: %v", err)
	default:
	}
}

// TestBrokenListenerFailsTheInstance: an instance that no longer accepts connections reports why.
func TestBrokenListenerFailsTheInstance(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln.Close()
	if err := <-startServer(t, ln).Failed(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("failed with %v, want %v", err, net.ErrClosed)
	}
}
