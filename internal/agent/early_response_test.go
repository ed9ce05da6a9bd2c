package agent

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/message"
)

// A server that answers in the middle of a streamed body and stops in the middle of that answer must not hold the
// client: it gets a final response. Guards against an early response that is read without a deadline.
func TestEarlyResponseThatStopsHalfWayEndsInTime(t *testing.T) {
	t.Parallel()
	const (
		timeout   = 800 * time.Millisecond
		slack     = time.Second / 2 // a later response counts as lost
		tolerance = time.Second     // for a busy machine
	)
	for name, response := range map[string]string{
		"error":          "HTTP/1.1 500 X\r\nContent-Length: 10\r\n\r\nhalf",
		"overloaded":     "HTTP/1.1 503 X\r\nNot-Started: 1\r\nContent-Length: 10\r\n\r\nhalf",
		"served":         "HTTP/1.1 200 X\r\nContent-Length: 10\r\n\r\nhalf",
		"served, chunks": "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\na\r\nhalf",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			listener := agenttest.Listen(t)
			go agenttest.AcceptAll(listener, func(conn net.Conn) {
				_, _ = io.ReadFull(conn, make([]byte, message.MaxBufferedBody))
				send(conn, response)
				_, _ = io.Copy(io.Discard, conn)
			})
			agent := startAgent(t, discoveryWith(t, listener.Addr().String()), nil)
			client := agent.dial()
			body := strings.Repeat("x", 4*message.MaxBufferedBody)
			text := orderRequest(int(timeout.Milliseconds()), body)
			send(client, text[:len(text)-message.MaxBufferedBody])
			answered := make(chan int, 1)
			go func() { answered <- client.Status() }()
			select {
			case status := <-answered:
				if status < http.StatusInternalServerError {
					t.Errorf("response status %d, want a failure or a rejection", status)
				}
			case <-time.After(timeout + slack + tolerance):
				t.Error("no response")
			}
		})
	}
}
