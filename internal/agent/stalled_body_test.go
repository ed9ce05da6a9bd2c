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

// If a client stops sending in the middle of its body and stays connected, it gets an error and its connection is
// closed within 3 s, however much of the body it has sent.
func TestConnectionWithAStalledBodyIsClosedInTime(t *testing.T) {
	t.Parallel()
	const tolerance = time.Second // for a busy machine
	for name, test := range map[string]struct {
		sent   int // bytes of the body that are sent
		length int // announced Content-Length
	}{
		"buffered body":         {message.MaxBufferedBody / 2, message.MaxBufferedBody},
		"start of a long body":  {2 * message.MaxBufferedBody, 40 * message.MaxBufferedBody},
		"middle of a long body": {20 * message.MaxBufferedBody, 40 * message.MaxBufferedBody},
		"last third of a body":  {2 * message.MaxBufferedBody, 3 * message.MaxBufferedBody},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			agent, server := startWithServer(t, hashResponder)
			client := agent.dial()
			text := orderRequest(60_000, strings.Repeat("x", test.length))
			if _, err := io.WriteString(client, text[:len(text)-(test.length-test.sent)]); err != nil {
				t.Fatal(err)
			}
			stalled := time.Now()
			if status := agenttest.FinalStatus(t, client); status < http.StatusBadRequest {
				t.Errorf("response status %d, want an error", status)
			}
			if _, err := io.Copy(io.Discard, client.Reader); err != nil {
				t.Errorf("read after the response: %v", err)
			}
			if took := time.Since(stalled); took > 3*time.Second+tolerance {
				t.Errorf("connection closed %v after the body stalled, want at most 3 s", took)
			}
			if server.Count() != 0 {
				t.Errorf("server received %d complete requests, want none", server.Count())
			}
		})
	}
}

// unreadingServer starts a server that accepts connections and reads only the first byte of each. It returns its
// listener.
func unreadingServer(t *testing.T) net.Listener {
	t.Helper()
	listener := agenttest.Listen(t)
	go agenttest.AcceptAll(listener, func(conn net.Conn) {
		_ = conn.(*net.TCPConn).SetReadBuffer(4096)
		_, _ = conn.Read(make([]byte, 1))
		<-t.Context().Done()
	})
	return listener
}

// If a server stops reading in the middle of a streamed body the client gets a response in time. The client may have
// sent its last byte, and then the request timeout has started.
func TestServerThatStopsReadingAStreamedBody(t *testing.T) {
	t.Parallel()
	const (
		timeout   = 800 * time.Millisecond
		slack     = time.Second / 2 // a later response counts as lost
		tolerance = time.Second / 2 // for a busy machine
	)
	listener := unreadingServer(t)
	agent := startAgent(t, discoveryWith(t, listener.Addr().String()), nil)
	client := agent.dial()
	_ = client.Conn.(*net.TCPConn).SetWriteBuffer(64 * message.MaxBufferedBody)
	send(client, orderRequest(int(timeout.Milliseconds()), strings.Repeat("x", 100*message.MaxBufferedBody)))
	sent := time.Now()
	agenttest.WantStatus(t, agenttest.FinalStatus(t, client), http.StatusServiceUnavailable)
	if took := time.Since(sent); took > 2*timeout+slack+tolerance {
		t.Errorf("response %v after the last byte of a request with a timeout of %v", took, timeout)
	}
}
