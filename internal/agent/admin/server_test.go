package admin

import (
	"errors"
	"log/slog"
	"net"
	"net/http"
	"testing"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
)

// testMaxConns is more connections than any test opens.
const testMaxConns = 24

// idleDrainer is a Drainer that serves no clients.
type idleDrainer struct{}

func (idleDrainer) IsServing() bool   { return false }
func (idleDrainer) StartDrain() error { return nil }
func (idleDrainer) StopDrain() error  { return nil }

// Failed accepts must not end the admin listener: operators still get responses.
func TestFailedAcceptsDoNotEndTheAdminListener(t *testing.T) {
	server := New(Options{Drainer: idleDrainer{}, MaxConns: testMaxConns, Log: slog.Default()})
	ln := agenttest.NewFlakyListener(t)
	served := make(chan error, 1)
	go func() { served <- server.Serve(ln) }()
	for range 3 {
		url := "http://" + ln.Addr().String() + "/ops/readiness"
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
		if err != nil {
			t.Fatal(err)
		}
		status := agenttest.Send(t, req).Status
		agenttest.WantStatus(t, status, http.StatusServiceUnavailable)
	}
	server.Close()
	if err := <-served; err != nil {
		t.Errorf("Serve after Close: %v", err)
	}
}

// If the listener is closed by something other than the server, Serve returns the error.
func TestServeReturnsErrorOfClosedListener(t *testing.T) {
	server := New(Options{Drainer: idleDrainer{}, MaxConns: testMaxConns, Log: slog.Default()})
	ln := agenttest.Listen(t)
	if err := ln.Close(); err != nil {
		t.Fatal(err)
	}
	if err := server.Serve(ln); !errors.Is(err, net.ErrClosed) {
		t.Errorf("Serve ended with %v, want %v", err, net.ErrClosed)
	}
}
