package admin

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
)

// A call with a head of many lines is refused before it is parsed, and others are answered, also with a long body.
func TestCallsWithManyHeaderFieldsAreRefused(t *testing.T) {
	server := New(Options{Drainer: idleDrainer{}, MaxConns: testMaxConns, Log: slog.Default()})
	ln := agenttest.Listen(t)
	served := make(chan error, 1)
	go func() { served <- server.Serve(ln) }()
	const requestLines = 3 // the request line, Host and Content-Length
	body := strings.Repeat("\r\n", maxBody/len("\r\n"))
	for fields, want := range map[int]int{
		0:                               http.StatusOK,
		maxHeadLines - requestLines - 1: http.StatusOK,
		maxHeadLines - requestLines:     http.StatusBadRequest,
		10 * maxHeadLines:               http.StatusBadRequest,
	} {
		client := agenttest.DialClient(t, ln.Addr().String())
		head := fmt.Sprintf("PUT /ops/drain/start HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n", len(body))
		// A failed write shows in the status.
		_, _ = io.WriteString(client, head+strings.Repeat("a:\r\n", fields)+"\r\n"+body)
		if status := client.Status(); status != want {
			t.Errorf("%d more fields: status %d, want %d", fields, status, want)
		}
	}
	server.Close()
	if err := <-served; err != nil {
		t.Errorf("Serve after Close: %v", err)
	}
}
