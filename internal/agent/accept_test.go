package agent

import (
	"errors"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
)

// acceptErrnos are errors that accept(2) may return temporarily and that net/http takes for the listener's
// end.
var acceptErrnos = []syscall.Errno{
	syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.EPERM, syscall.EHOSTUNREACH,
	syscall.ENETUNREACH, syscall.ENETDOWN, syscall.ENFILE, syscall.EMFILE, syscall.ECONNABORTED,
}

// flakyListener fails each accept once with every one of acceptErrnos before it accepts.
type flakyListener struct {
	net.Listener
	mu   sync.Mutex
	next int
}

func newFlakyListener(t *testing.T) *flakyListener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return &flakyListener{Listener: ln}
}

func (l *flakyListener) Accept() (net.Conn, error) {
	l.mu.Lock()
	i := l.next
	l.next = (i + 1) % (len(acceptErrnos) + 1)
	l.mu.Unlock()
	if i < len(acceptErrnos) {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", acceptErrnos[i])}
	}
	return l.Listener.Accept()
}

// Clients are served whatever accepts fail, and the failures are counted.
func TestFailedAcceptsDoNotEndTheAgent(t *testing.T) {
	b := newFakeServer(t, respondOK)
	a := startAgentOn(t, newDiscoveryServer(t, target("s-1", b.addr)), newFlakyListener(t), nil)
	for range 3 {
		status, _, _ := a.do(newRequest(a.addr, "order", "x"))
		wantStatus(t, status, http.StatusOK)
	}
	if got, least := a.metricsNow().acceptFailures, 3*len(acceptErrnos); got < least {
		t.Errorf("%d failed accepts counted, want at least %d", got, least)
	}
}

// Operators are answered whatever accepts fail.
func TestFailedAcceptsDoNotEndTheAdminListener(t *testing.T) {
	m := newAdminServer(&downstreamServer{}, nil, maxAdminConns, slog.Default())
	ln := newFlakyListener(t)
	served := make(chan error, 1)
	go func() { served <- m.serve(ln) }()
	for range 3 {
		resp, err := testClient.Get("http://" + ln.Addr().String() + "/ops/readiness")
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		wantStatus(t, resp.StatusCode, http.StatusServiceUnavailable)
	}
	m.close()
	if err := <-served; err != nil {
		t.Errorf("after close: %v", err)
	}
}

// A listener that is closed under the admin server still ends it, with its reason.
func TestClosedAdminListenerEndsWithItsReason(t *testing.T) {
	m := newAdminServer(&downstreamServer{}, nil, maxAdminConns, slog.Default())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln.Close()
	if err := m.serve(ln); !errors.Is(err, net.ErrClosed) {
		t.Errorf("ended with %v, want %v", err, net.ErrClosed)
	}
}
