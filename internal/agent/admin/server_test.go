package admin

import (
	"errors"
	"log/slog"
	"net"
	"net/http"
	"testing"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/config"
)

// idleDrainer serves no clients.
type idleDrainer struct{}

func (idleDrainer) IsServing() bool   { return false }
func (idleDrainer) StartDrain() error { return nil }
func (idleDrainer) StopDrain() error  { return nil }

// Admin are answered whatever accepts fail.
func TestFailedAcceptsDoNotEndTheAdminListener(t *testing.T) {
	m := New(idleDrainer{}, nil, config.MaxAdminConns, slog.Default())
	ln := agenttest.NewFlakyListener(t)
	served := make(chan error, 1)
	go func() { served <- m.Serve(ln) }()
	for range 3 {
		resp, err := agenttest.HTTPClient.Get("http://" + ln.Addr().String() + "/ops/readiness")
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		agenttest.WantStatus(t, resp.StatusCode, http.StatusServiceUnavailable)
	}
	m.Close()
	if err := <-served; err != nil {
		t.Errorf("after close: %v", err)
	}
}

// A listener that is closed under the admin server still ends it, with its reason.
func TestClosedAdminListenerEndsWithItsReason(t *testing.T) {
	m := New(idleDrainer{}, nil, config.MaxAdminConns, slog.Default())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln.Close()
	if err := m.Serve(ln); !errors.Is(err, net.ErrClosed) {
		t.Errorf("ended with %v, want %v", err, net.ErrClosed)
	}
}
