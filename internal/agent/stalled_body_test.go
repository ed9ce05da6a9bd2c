package agent

import (
	"fmt"
	"io"
	"net"
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
	for name, test := range map[string]struct{ sent, length int }{
		"kept body":                   {message.MaxBufferedBody / 2, message.MaxBufferedBody},
		"start of a long body":        {2 * message.MaxBufferedBody, 40 * message.MaxBufferedBody},
		"middle of a long body":       {20 * message.MaxBufferedBody, 40 * message.MaxBufferedBody},
		"shortly before the long end": {2 * message.MaxBufferedBody, 3 * message.MaxBufferedBody},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			agent, server := startWithServer(t, hashResponder)
			client := agent.dialKept()
			text := timedRequest(60_000, strings.Repeat("x", test.length))
			if _, err := io.WriteString(client, text[:len(text)-(test.length-test.sent)]); err != nil {
				t.Fatal(err)
			}
			stopped := time.Now()
			if status := agenttest.FinalStatus(t, client); status < 400 {
				t.Errorf("answered %d, want an error", status)
			}
			if _, err := io.Copy(io.Discard, client.Br); err != nil {
				t.Errorf("after the answer: %v", err)
			}
			// A second more than what is owed: a busy machine is not what is tested.
			if took := time.Since(stopped); took > 4*time.Second {
				t.Errorf("ended %v after it stopped", took)
			}
			if server.Count() != 0 {
				t.Errorf("%d arrivals of a request that never came whole", server.Count())
			}
		})
	}
}

// unacceptingServer accepts connections and reads no more than the first byte of each.
func unacceptingServer(t *testing.T) net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			_ = conn.(*net.TCPConn).SetReadBuffer(4096)
			_, _ = conn.Read(make([]byte, 1))
			t.Cleanup(func() { conn.Close() })
		}
	}()
	return ln
}

// A server that stops reading in the middle of a streamed body costs no client its response: the client may
// have sent its last byte, and its time runs.
func TestServerThatStopsReadingAStreamedBody(t *testing.T) {
	t.Parallel()
	const timeout = 800 * time.Millisecond
	ln := unacceptingServer(t)
	agent := startAgent(t, agenttest.NewDiscovery(t, agenttest.Endpoint("s-1", ln.Addr().String())), nil)
	client := agent.dialKept()
	_ = client.Conn.(*net.TCPConn).SetWriteBuffer(64 * message.MaxBufferedBody)
	fmt.Fprint(client, timedRequest(int(timeout.Milliseconds()), strings.Repeat("x", 100*message.MaxBufferedBody)))
	sent := time.Now()
	agenttest.WantStatus(t, agenttest.FinalStatus(t, client), 503)
	// What is lost is what is answered half a second after its time or later.
	if took := time.Since(sent); took > 2*timeout+time.Second {
		t.Errorf("answered %v after its last byte, of %v", took, timeout)
	}
}
