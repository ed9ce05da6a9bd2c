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

// sendPartOfStreamedBody sends a request with a long body up to the middle of the body, which is streamed by then.
func sendPartOfStreamedBody(client *agenttest.ClientConn) {
	send(client, orderHead(timeoutMs, 20*message.MaxBufferedBody))
	send(client, string(variedBytes(3*message.MaxBufferedBody)))
}

// slowReader returns a body in pieces, with a delay before each but the first.
type slowReader struct {
	body   []byte
	piece  int // length
	delay  time.Duration
	offset int // of the next piece
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
				t.Errorf("length %d, announced: %v: arrived as %s", length, announced, got)
			}
		}
	}
	if server.Count() != 8 {
		t.Errorf("%d arrivals, want 8", server.Count())
	}
	if metrics := agent.metricsNow(); metrics.Served != 8 || metrics.Violations+metrics.Backstops > 0 {
		t.Errorf("metrics %+v", metrics)
	}
}

// The time of a request counts from its last byte, and its server is not to blame for a client that sends
// slowly.
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
		t.Errorf("arrived as %s, %d times", got, server.Count())
	}
	if metrics := agent.metricsNow(); metrics.Attempts[balancer.StatusOK] != 1 {
		t.Errorf("metrics %+v", metrics)
	}
	agent.wantNoViolationsOrBackstops()
}

// A server that reads no more of a streamed body ends the attempt with its response. What was sent is not
// sent again, and what did not execute is rejected.
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
		t.Errorf("metrics %+v", metrics)
	}
}

// wantRejectionAndClose reads a response on a connection: a rejection that may be retried elsewhere, and announces
// that the connection closes.
func wantRejectionAndClose(t *testing.T, conn *agenttest.ClientConn) {
	t.Helper()
	resp, err := http.ReadResponse(conn.Reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" || !resp.Close {
		t.Errorf("response %d, %v", resp.StatusCode, resp.Header)
	}
	_ = conn.Close()
}

// If a client closes in the middle of its body, its server has received no complete request.
func TestStreamedBodyAborted(t *testing.T) {
	agent, server := startWithServer(t, hashResponder)
	lines := agent.logLines()
	client := agent.dial()
	sendPartOfStreamedBody(client)
	_ = client.Close()
	agenttest.WaitLine(t, lines, " id=1 ") // as cancelled or as failed, whichever is seen first
	<-server.ConnsClosed
	if server.Count() != 0 {
		t.Errorf("%d arrivals, want none", server.Count())
	}
	agent.wantOrderStatus(http.StatusOK)
	endedAttempts := func() int {
		attempts := agent.metricsNow().Attempts
		return attempts[balancer.StatusCancelled] + attempts[balancer.StatusUnsent]
	}
	agenttest.WaitUntil(t, "the event loop counts the end of the attempt", func() bool { return endedAttempts() > 0 })
	if metrics := agent.metricsNow(); endedAttempts() != 1 || metrics.Violations+metrics.Backstops > 0 {
		t.Errorf("metrics %+v", metrics)
	}
}

// A streamed request that is still arriving when the process shuts down is rejected and can go to another
// one; no server has all of it.
func TestStreamedBodyIsRejectedAtShutdown(t *testing.T) {
	t.Parallel()
	agent, server := startWithServer(t, hashResponder)
	client := agent.dial()
	sendPartOfStreamedBody(client)
	agenttest.WaitUntil(t, "the body is streamed", func() bool { return server.StartedCount() == 1 })
	late := agent.dial() // its head arrives in two parts, the second of them after the shutdown has begun
	send(late, "GET /api/a HTTP/1.1\r\nHost: x\r\nRequest-Id: 2\r\nRequest-Class: read\r\n")
	agent.stop()
	wantRejectionAndClose(t, client)
	send(late, "Request-Timeout-Ms: 4000\r\n\r\n")
	wantRejectionAndClose(t, late)
	<-server.ConnsClosed
	if server.Count() != 0 {
		t.Errorf("%d arrivals, want none", server.Count())
	}
}
