package agent

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/message"
	"fernbeam.example/fernbeam/internal/balancer"
)

// sendPartOfStreamedBody sends the head of a request and part of its body, which is long enough to be streamed.
func sendPartOfStreamedBody(client *agenttest.ClientConn) {
	send(client, orderHead(timeoutMs, 20*message.MaxBufferedBody))
	send(client, string(variedBytes(3*message.MaxBufferedBody)))
}

// slowReader reads a body in pieces, with a delay before each piece except for the first.
type slowReader struct {
	body   []byte
	piece  int // length of a piece
	delay  time.Duration
	offset int // offset of the next piece
}

func (reader *slowReader) Read(buffer []byte) (int, error) {
	if reader.offset == len(reader.body) {
		return 0, io.EOF
	}
	if reader.offset > 0 {
		time.Sleep(reader.delay)
	}
	end := min(reader.offset+reader.piece, len(reader.body))
	read := copy(buffer, reader.body[reader.offset:end])
	reader.offset += read
	return read, nil
}

func TestStreamedBodyIsForwardedOnce(t *testing.T) {
	agent, server := startWithServer(t, hashResponder)
	const longest = 5 << 20
	lengths := []int{message.MaxBufferedBody - 1, message.MaxBufferedBody, message.MaxBufferedBody + 1, longest}
	for _, length := range lengths {
		for _, announced := range []bool{true, false} {
			body := variedBytes(length)
			req := agenttest.NewRequest(agent.addr, "order", "")
			req.Body = io.NopCloser(bytes.NewReader(body))
			req.ContentLength = -1
			if announced {
				req.ContentLength = int64(length)
			}
			if length == longest {
				req.Header.Set("Expect", "100-continue")
			}
			response := agent.do(req)
			agenttest.WantStatus(t, response.Status, http.StatusOK)
			got := response.Body
			if got != digest(body) {
				t.Errorf("body of %d bytes, length announced: %v: server received %s", length, announced, got)
			}
		}
	}
	if server.Count() != 8 {
		t.Errorf("server received %d requests, want 8", server.Count())
	}
	if metrics := agent.metricsNow(); metrics.Served != 8 || metrics.Violations+metrics.Backstops > 0 {
		t.Errorf("metrics %+v, want 8 served requests, no violation and no backstop", metrics)
	}
}

// The timeout of a request starts with its last byte, and a client that sends slowly does not count against the server.
func TestSlowStreamedBodyHasItsFullTimeout(t *testing.T) {
	t.Parallel()
	agent, server := startWithServer(t, hashResponder)
	body := variedBytes(6 * message.MaxBufferedBody)
	req := agenttest.NewRequest(agent.addr, "order", "")
	req.Header.Set("Request-Timeout-Ms", "700")
	req.ContentLength = int64(len(body))
	req.Body = io.NopCloser(&slowReader{
		body:  body,
		piece: message.MaxBufferedBody / 2,
		delay: 100 * time.Millisecond,
	})
	response := agent.do(req)
	agenttest.WantStatus(t, response.Status, http.StatusOK)
	got := response.Body
	if got != digest(body) || server.Count() != 1 {
		t.Errorf("server received %s in %d requests, want the whole body in 1", got, server.Count())
	}
	if metrics := agent.metricsNow(); metrics.Attempts[balancer.StatusOK] != 1 {
		t.Errorf("metrics %+v, want 1 successful attempt", metrics)
	}
	agent.wantNoViolationsOrBackstops()
}

// If a server responds before the end of a streamed body, its response ends the attempt. The body is not sent again.
// The client gets a rejection, because the server did not execute the request.
func TestStreamedBodyRejectedHalfway(t *testing.T) {
	listener := agenttest.Listen(t)
	defer func() { _ = listener.Close() }()
	heads := make(chan struct{}, 10)
	go agenttest.AcceptAll(listener, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		heads <- struct{}{}
		_, _ = io.CopyN(io.Discard, reader, 2*message.MaxBufferedBody)
		respondOverloaded(conn, req, 0)
		_, _ = io.Copy(io.Discard, reader)
	})
	agent := startAgent(t, discoveryWith(t, listener.Addr().String()), nil)
	client := agent.dial()
	sendPartOfStreamedBody(client)
	wantRejectionAndClose(t, client)
	if len(heads) != 1 {
		t.Errorf("%d attempts, want 1", len(heads))
	}
	if metrics := agent.metricsNow(); metrics.Attempts[balancer.StatusOverloaded] != 1 || metrics.Violations > 0 {
		t.Errorf("metrics %+v, want 1 overloaded attempt and no violation", metrics)
	}
}

// wantRejectionAndClose reads a response, checks that it is a rejection with Retry-After which announces the close of
// the connection, and closes the connection.
func wantRejectionAndClose(t *testing.T, conn *agenttest.ClientConn) {
	t.Helper()
	resp, err := http.ReadResponse(conn.Reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" || !resp.Close {
		t.Errorf("response status %d, header %v; want a rejection and a close", resp.StatusCode, resp.Header)
	}
	_ = conn.Close()
}

// If a client closes in the middle of a streamed body, the server does not receive a complete request.
func TestStreamedBodyAborted(t *testing.T) {
	agent, server := startWithServer(t, hashResponder)
	lines := agent.logLines()
	client := agent.dial()
	sendPartOfStreamedBody(client)
	_ = client.Close()
	agenttest.WaitLine(t, lines, " id=1 ") // logged as cancelled or as failed, whichever is noticed first
	<-server.ConnsClosed
	if server.Count() != 0 {
		t.Errorf("server received %d complete requests, want none", server.Count())
	}
	endedAttempts := func() int {
		attempts := agent.metricsNow().Attempts
		return attempts[balancer.StatusCancelled] + attempts[balancer.StatusUnsent]
	}
	agenttest.WaitUntil(t, "the event loop has counted the end of the attempt", func() bool { return endedAttempts() > 0 })
	agent.wantOrderStatus(http.StatusOK) // it has the same id
	if metrics := agent.metricsNow(); endedAttempts() != 1 || metrics.Violations+metrics.Backstops > 0 {
		t.Errorf("metrics %+v, want 1 ended attempt, no violation and no backstop", metrics)
	}
}

// A streamed request that is still arriving when the agent shuts down is rejected, so that the client can send it to
// another agent. No server receives all of it.
func TestStreamedBodyIsRejectedAtShutdown(t *testing.T) {
	t.Parallel()
	agent, server := startWithServer(t, hashResponder)
	client := agent.dial()
	sendPartOfStreamedBody(client)
	agenttest.WaitUntil(t, "the body is streamed", func() bool { return server.StartedCount() == 1 })
	late := agent.dial() // the second part of its head arrives after the shutdown has begun
	send(late, "GET /api/a HTTP/1.1\r\nHost: x\r\nRequest-Id: 2\r\nRequest-Class: read\r\n")
	agent.stop()
	wantRejectionAndClose(t, client)
	send(late, "Request-Timeout-Ms: 4000\r\n\r\n")
	wantRejectionAndClose(t, late)
	<-server.ConnsClosed
	if server.Count() != 0 {
		t.Errorf("server received %d complete requests, want none", server.Count())
	}
}
