package server_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/discovery/server"
	"fernbeam.example/fernbeam/internal/endpoint"
)

const (
	// stalledClientLimit is the time within which an instance must end a client that stops: the longest
	// of its limits, and a tolerance for a busy machine.
	stalledClientLimit = 15 * time.Second
	// longWatch is longer than each of the limits of a client that stops.
	longWatch = 13 * time.Second
	// longTextBytes is close to the largest size of settings.
	longTextBytes = 60 << 10
)

// dialInstance opens a connection to an instance, which is closed at the end of the test.
func dialInstance(t *testing.T, addr string) *net.TCPConn {
	t.Helper()
	var dialer net.Dialer
	conn, err := dialer.DialContext(t.Context(), "tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn.(*net.TCPConn)
}

// TestClientThatNeverReadsIsDisconnected checks that an instance ends a client that sends requests and
// reads no response. Guards against responses without a write deadline, which hold a descriptor for good.
func TestClientThatNeverReadsIsDisconnected(t *testing.T) {
	t.Parallel()
	httpAddr, adminAddr := startSingleNode(t, t.TempDir())
	// Few responses of this size fill the buffers of a connection.
	const service = "pay"
	text := server.SettingsText(1) + strings.Repeat(" ", longTextBytes)
	settings := putSettings(adminAddr+endpoint.SettingsPath(service), text, "").version()
	longZone := strings.Repeat("z", longTextBytes)
	entry := putEntry(adminAddr,
		endpoint.Endpoint{ID: "s-1", Addr: "127.0.0.1:9", Zone: longZone, State: endpoint.StateUp, Weight: 1})
	if settings == 0 || entry == 0 {
		t.Fatalf("settings written as version %d, entry as %d", settings, entry)
	}
	for target, addr := range map[string]string{
		endpoint.ListPath:              httpAddr,
		endpoint.SettingsPath(service): adminAddr,
	} {
		t.Run(target, func(t *testing.T) {
			t.Parallel()
			conn := dialInstance(t, addr)
			if err := conn.SetReadBuffer(4096); err != nil {
				t.Fatal(err)
			}
			request := []byte("GET " + target + " HTTP/1.1\r\nHost: x\r\n\r\n")
			for {
				if err := conn.SetWriteDeadline(time.Now().Add(stalledClientLimit)); err != nil {
					t.Fatal(err)
				}
				_, err := conn.Write(request)
				if errors.Is(err, os.ErrDeadlineExceeded) {
					t.Fatalf("still connected %v after the last request was accepted", stalledClientLimit)
				}
				if err != nil {
					return
				}
			}
		})
	}
}

// TestClientThatStopsInABodyIsDisconnected checks that an instance ends a client that stops in the middle
// of the body of a write. Guards against a body that is read without a deadline.
func TestClientThatStopsInABodyIsDisconnected(t *testing.T) {
	t.Parallel()
	_, adminAddr := startSingleNode(t, t.TempDir())
	for _, path := range []string{endpoint.ServerPath("s-1"), endpoint.SettingsPath("pay")} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			conn := dialInstance(t, adminAddr)
			if _, err := fmt.Fprintf(conn, "PUT %s HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{", path); err != nil {
				t.Fatal(err)
			}
			if err := conn.SetReadDeadline(time.Now().Add(stalledClientLimit)); err != nil {
				t.Fatal(err)
			}
			if _, err := io.Copy(io.Discard, conn); errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("still connected after %v", stalledClientLimit)
			}
		})
	}
}

// TestWatchOutlivesTheLimitsOfStalledClients checks that a watch that waits for longer than each of those
// limits gets its response, as the second request of its connection too. Guards against limits that count
// from a request's header.
func TestWatchOutlivesTheLimitsOfStalledClients(t *testing.T) {
	t.Parallel()
	httpAddr, adminAddr := startSingleNode(t, t.TempDir())
	version := putServer(adminAddr, "s-1")
	conn := dialInstance(t, httpAddr)
	reader := bufio.NewReader(conn)
	for _, wait := range []time.Duration{0, longWatch} {
		startedAt := time.Now()
		if _, err := fmt.Fprintf(conn, "GET "+endpoint.ListPath+"?index=%d&wait=%d HTTP/1.1\r\nHost: x\r\n\r\n", version,
			wait.Milliseconds()); err != nil {
			t.Fatal(err)
		}
		if err := conn.SetReadDeadline(startedAt.Add(wait + requestTimeout)); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("a watch of %v: %v", wait, err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("a watch of %v ended after %v with status %d, error %v", wait, time.Since(startedAt), resp.StatusCode, err)
		}
		closeBody(resp)
	}
}
