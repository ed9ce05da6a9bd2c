package agent

import (
	"bufio"
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

// A connection on which a response was streamed before the end of its request is counted once. Guards against a count
// of connections that falls below their number, so that the agent opens more than it may.
func TestConnectionOfAnEarlyStreamedResponseIsCountedOnce(t *testing.T) {
	t.Parallel()
	listener := agenttest.Listen(t)
	go agenttest.AcceptAll(listener, func(conn net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			send(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
			<-t.Context().Done()
		}
	})
	agent := startAgent(t, discoveryWith(t, listener.Addr().String()), nil)
	client := agent.dial()
	send(client, orderHead(timeoutMs, 4*message.MaxBufferedBody)+strings.Repeat("x", 2*message.MaxBufferedBody))
	agenttest.FinalStatus(t, client)
	agenttest.WaitUntil(t, "no connection to the server is open", func() bool { return agent.pool.Size() <= 0 })
	if size := agent.pool.Size(); size != 0 {
		t.Errorf("%d connections counted, want none", size)
	}
}
