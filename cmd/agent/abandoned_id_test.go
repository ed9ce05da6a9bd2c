package main

import (
	"bufio"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/processtest"
)

// exchangeOrder sends a non-idempotent request with the given id on a new connection, and returns the status of its
// response.
func exchangeOrder(t *testing.T, addr, id string) (status int) {
	t.Helper()
	conn := sendOrder(t, addr, id)
	received, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	got, err := readAll(received)
	if err != nil {
		t.Fatal(err)
	}
	return got.status
}

// sendOrder sends a non-idempotent request with the given id on a new connection, which is closed when the test ends.
func sendOrder(t *testing.T, addr, id string) net.Conn {
	t.Helper()
	dialer := net.Dialer{Timeout: testTimeout}
	conn, err := dialer.DialContext(t.Context(), "tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(testTimeout)) // a failure shows when the connection is used
	writeBody(conn, crowdRequestHead(orderPath, id, trafficTimeout, "Content-Length: 1\r\n")+"x")
	return conn
}

// A non-idempotent request that its client has abandoned at one process of an upgrade is not sent again by the other,
// whichever of them its id comes to.
func TestIDOfAnAbandonedRequestExecutesOnceInAnUpgrade(t *testing.T) {
	var executed atomic.Int64
	release := make(chan struct{})
	server := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		if executed.Add(1) == 1 {
			<-release
		}
		writeBody(w, "done")
	})
	listener := newSharedListener(t)
	config := newConfig(silentDiscovery(t), listedServer("s-1", server))
	config.Listen = listener.addr
	config.Management = anyAddress
	before := listener.startProgram(t, config)
	client := sendOrder(t, listener.addr, "abandoned")
	isExecuting := func() bool { return executed.Load() == 1 }
	if err := processtest.Await(testTimeout, "the request is at the server", isExecuting); err != nil {
		t.Fatal(err)
	}
	if err := client.Close(); err != nil {
		t.Fatal(err)
	}
	after := listener.startProgram(t, config)
	for range 20 { // some of them reach each process
		if status := exchangeOrder(t, listener.addr, "abandoned"); status != http.StatusBadGateway {
			t.Errorf("response status %d while both run, want %d", status, http.StatusBadGateway)
		}
	}
	before.signal(t, syscall.SIGTERM)
	before.expectCleanEnd(t)
	if status := exchangeOrder(t, listener.addr, "abandoned"); status != http.StatusBadGateway {
		t.Errorf("response status %d of the new process, want %d", status, http.StatusBadGateway)
	}
	close(release)
	if status := exchangeOrder(t, listener.addr, "other"); status != http.StatusOK {
		t.Errorf("response status %d to another id, want %d", status, http.StatusOK)
	}
	if got := executed.Load(); got != 2 {
		t.Errorf("%d requests executed, want 2", got)
	}
	after.signal(t, syscall.SIGTERM)
	after.expectCleanEnd(t)
}
