package agent

import (
	"errors"
	"log/slog"
	"net"
	"net/http"
	"testing"
)

// idleDrainer serves no clients.
type idleDrainer struct{}

func (idleDrainer) isServing() bool   { return false }
func (idleDrainer) startDrain() error { return nil }
func (idleDrainer) stopDrain() error  { return nil }

// Operators are answered whatever accepts fail.
func TestFailedAcceptsDoNotEndTheAdminListener(t *testing.T) {
	m := newAdminServer(idleDrainer{}, nil, maxAdminConns, slog.Default())
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
	m := newAdminServer(idleDrainer{}, nil, maxAdminConns, slog.Default())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln.Close()
	if err := m.serve(ln); !errors.Is(err, net.ErrClosed) {
		t.Errorf("ended with %v, want %v", err, net.ErrClosed)
	}
}
