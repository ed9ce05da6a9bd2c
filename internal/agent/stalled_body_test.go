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

// A client that stops in the middle of its body and stays connected gets an error and its connection is
// closed within the time for improper peers, however much it has sent.
func TestStalledRequestBodyIsClosedInTime(t *testing.T) {
	t.Parallel()
	const tolerance = time.Second // for a busy machine
	for name, test := range map[string]struct {
		sent   int
		length int // announced
	}{
		"buffered body":               {message.MaxBufferedBody / 2, message.MaxBufferedBody},
		"start of a long body":        {2 * message.MaxBufferedBody, 40 * message.MaxBufferedBody},
		"middle of a long body":       {20 * message.MaxBufferedBody, 40 * message.MaxBufferedBody},
		"shortly before the long end": {2 * message.MaxBufferedBody, 3 * message.MaxBufferedBody},
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
				t.Errorf("response %d, want an error", status)
			}
			if _, err := io.Copy(io.Discard, client.Reader); err != nil {
				t.Errorf("after the response: %v", err)
			}
			if took := time.Since(stalled); took > 3*time.Second+tolerance {
				t.Errorf("closed %v after the body stalled", took)
			}
			if server.Count() != 0 {
				t.Errorf("%d arrivals of an incomplete request", server.Count())
			}
		})
	}
}

// unreadingServer accepts connections and reads no more than the first byte of each.
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

// A server that stops reading in the middle of a streamed body costs no client its response: the client may
// have sent its last byte, and its time runs.
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
		t.Errorf("response %v after the last byte of the request, whose timeout is %v", took, timeout)
	}
}
