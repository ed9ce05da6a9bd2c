package agent

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/message"
	"fernbeam.example/fernbeam/internal/agent/upstream"
	"fernbeam.example/fernbeam/internal/balancer"
)

// variedBytes is that many bytes that differ.
func variedBytes(count int) []byte {
	body := make([]byte, count)
	for i := range body {
		body[i] = byte(i * 31 >> (i % 5))
	}
	return body
}

// digest identifies a body by its length and its hash.
func digest(body []byte) string { return fmt.Sprintf("%d %x", len(body), sha256.Sum256(body)) }

// sendOrderHead sends the head of a request with a body of that length, and timeoutMs.
func sendOrderHead(client *agenttest.KeptConn, length int) {
	send(client, orderHead(timeoutMs, length))
}

// sendPartOfStreamedBody sends a request with a long body up to the middle of the body, which is streamed by then.
func sendPartOfStreamedBody(client *agenttest.KeptConn) {
	sendOrderHead(client, 20*message.MaxBufferedBody)
	send(client, string(variedBytes(3*message.MaxBufferedBody)))
}

// hashResponder responds with the digest of the request's body.
func hashResponder(conn net.Conn, req *http.Request, _ int) bool {
	body, _ := io.ReadAll(req.Body)
	return agenttest.SendResponse(conn, http.StatusOK, "", digest(body))
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
			status, _, got := agent.do(req)
			agenttest.WantStatus(t, status, http.StatusOK)
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
func TestSlowStreamedBodyHasItsFullTime(t *testing.T) {
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
	status, _, got := agent.do(req)
	agenttest.WantStatus(t, status, http.StatusOK)
	if got != digest(body) || server.Count() != 1 {
		t.Errorf("arrived as %s, %d times", got, server.Count())
	}
	if metrics := agent.metricsNow(); metrics.Attempts[balancer.StatusOK] != 1 {
		t.Errorf("metrics %+v", metrics)
	}
	agent.wantNoGuardActed()
}

// A server that reads no more of a streamed body ends the attempt with its response. What was sent is not
// sent again, and what did not execute is rejected.
func TestStreamedBodyRejectedHalfway(t *testing.T) {
	listener := newListener(t)
	defer func() { _ = listener.Close() }()
	heads := make(chan struct{}, 10)
	go acceptAll(listener, func(conn net.Conn) {
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
	agent := startAgent(t, listing(t, listener.Addr().String()), nil)
	client := agent.dialKept()
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
func wantRejectionAndClose(t *testing.T, conn *agenttest.KeptConn) {
	t.Helper()
	resp, err := http.ReadResponse(conn.Br, nil)
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
	client := agent.dialKept()
	sendPartOfStreamedBody(client)
	_ = client.Close()
	agenttest.WaitLine(t, lines, " id=1 ") // as cancelled or as failed, whichever is seen first
	<-server.Ended
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

// The first bytes of a long response are passed on before the rest has arrived.
func TestLongResponseIsStreamed(t *testing.T) {
	proceed := make(chan struct{})
	long := variedBytes(3 * message.MaxBufferedBody)
	agent, server := startWithServer(t, func(conn net.Conn, req *http.Request, _ int) bool {
		switch req.URL.RawQuery {
		case "length":
			sendf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(long))
			send(conn, string(long[:100]))
			<-proceed
			send(conn, string(long[100:]))
		case "chunks":
			sendf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-End\r\n\r\n64;a=b\r\n%s\r\n", long[:100])
			<-proceed
			sendf(conn, "%x\r\n%s\r\n0\r\nX-End: 1\r\n\r\n", len(long)-100, long[100:])
		case "close":
			send(conn, "HTTP/1.1 200 OK\r\n\r\n")
			send(conn, string(long[:100]))
			<-proceed
			send(conn, string(long[100:]))
			return false
		}
		return true
	})
	for _, form := range []string{"length", "chunks", "close"} {
		req := agenttest.NewRequest(agent.addr, "order", "x")
		req.URL.RawQuery = form
		resp, err := agenttest.HTTPClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		first := make([]byte, 100)
		if _, err := io.ReadFull(resp.Body, first); err != nil {
			t.Fatalf("%s: %v", form, err)
		}
		proceed <- struct{}{}
		rest, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil || resp.StatusCode != http.StatusOK || !bytes.Equal(append(first, rest...), long) {
			t.Errorf("%s: response %d, %d bytes, %v", form, resp.StatusCode, 100+len(rest), err)
		}
		time.Sleep(2 * upstream.SettleTime) // until the connection may be reused
	}
	server.Mu.Lock()
	defer server.Mu.Unlock()
	if server.Arrivals != 3 || server.Most > 1 {
		t.Errorf("%d arrivals, %d connections at once, want 3 and 1", server.Arrivals, server.Most)
	}
}

// A response that breaks halfway can't be taken for complete, and its request is sent once.
func TestLongResponseAborted(t *testing.T) {
	long := variedBytes(3 * message.MaxBufferedBody)
	agent, server := startWithServer(t, func(conn net.Conn, req *http.Request, _ int) bool {
		switch req.URL.RawQuery {
		case "length":
			sendf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(long)+1)
		case "chunks":
			sendf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", len(long)+1)
		}
		send(conn, string(long))
		return false
	})
	for i, form := range []string{"length", "chunks"} {
		lines := agent.logLines()
		req := agenttest.NewRequest(agent.addr, "read", "")
		req.URL.RawQuery = form
		resp, err := agenttest.HTTPClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if !errors.Is(err, io.ErrUnexpectedEOF) || len(got) > len(long) {
			t.Errorf("%s: %d bytes, %v", form, len(got), err)
		}
		agenttest.WaitLine(t, lines, "response aborted")
		if server.Count() != i+1 {
			t.Errorf("%s: %d arrivals, want %d", form, server.Count(), i+1)
		}
	}
}

// A client that closes in the middle of a long response frees its server's connection.
func TestClientClosesDuringALongResponse(t *testing.T) {
	writeFailed := make(chan error, 1)
	agent, _ := startWithServer(t, func(conn net.Conn, _ *http.Request, _ int) bool {
		send(conn, "HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n")
		var err error
		for piece := variedBytes(message.MaxBufferedBody); err == nil; {
			_, err = conn.Write(piece)
		}
		writeFailed <- err
		return false
	})
	client := agent.dialKept()
	send(client, agenttest.RequestText(1, 4000))
	if _, err := client.Br.Peek(4096); err != nil {
		t.Fatal(err)
	}
	_ = client.Close()
	select {
	case <-writeFailed:
	case <-time.After(agenttest.Timeout):
		t.Error("the server's connection stays open")
	}
}

// exhaust takes all of a budget, to within a kilobyte.
func exhaust(budget message.Quota) {
	const piece = 1 << 10
	for taken := true; taken; {
		taken = budget.TryAcquire(piece)
	}
}

// A body that exceeds the budget is not buffered, but it is forwarded.
func TestBodiesBeyondTheBudgetAreStreamed(t *testing.T) {
	agent, server := startWithServer(t, hashResponder)
	for _, budget := range agent.bodyBudgets() {
		exhaust(budget)
	}
	body := variedBytes(100)
	status, _, got := agent.do(agenttest.NewRequest(agent.addr, "order", string(body)))
	agenttest.WantStatus(t, status, http.StatusOK)
	if got != digest(body) || server.Count() != 1 {
		t.Errorf("arrived as %s, %d times", got, server.Count())
	}
}

// Bytes of the budget that bodies reserved are free again once they are through.
func TestBodyBudgetIsReleased(t *testing.T) {
	agent, _ := startWithServer(t, func(conn net.Conn, _ *http.Request, n int) bool {
		if n%2 == 0 {
			return agenttest.SendResponse(conn, http.StatusOK, "", strings.Repeat("x", 100*(n+1)))
		}
		_, err := fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n")
		return err == nil
	})
	for range 10 {
		status, _, _ := agent.do(agenttest.NewRequest(agent.addr, "order", "some body"))
		agenttest.WantStatus(t, status, http.StatusOK)
	}
	const budget = int64(192) << 20 / 6
	// A handler releases its bytes after it has sent the last byte of the response.
	agenttest.WaitUntil(t, "all of the budgets is free", func() bool {
		requests, responses := agent.bodyBudgets()[0], agent.bodyBudgets()[1]
		return requests.TryAcquire(budget) && responses.TryAcquire(budget)
	})
}

// A streamed request that is still arriving when the process shuts down is rejected and can go to another
// one; no server has all of it.
func TestStreamedBodyIsRejectedAtShutdown(t *testing.T) {
	t.Parallel()
	agent, server := startWithServer(t, hashResponder)
	client := agent.dialKept()
	sendPartOfStreamedBody(client)
	agenttest.WaitUntil(t, "the body is streamed", func() bool { return server.StartedCount() == 1 })
	late := agent.dialKept() // its head arrives in two parts, the second of them after the shutdown has begun
	send(late, "GET /api/a HTTP/1.1\r\nHost: x\r\nRequest-Id: 2\r\nRequest-Class: read\r\n")
	agent.stop()
	wantRejectionAndClose(t, client)
	send(late, "Request-Timeout-Ms: 4000\r\n\r\n")
	wantRejectionAndClose(t, late)
	<-server.Ended
	if server.Count() != 0 {
		t.Errorf("%d arrivals, want none", server.Count())
	}
}
