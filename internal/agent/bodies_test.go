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
)

// randomBytes is n bytes that differ.
func randomBytes(n int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(i * 31 >> (i % 5))
	}
	return b
}

// digest is what hashing backends answer.
func digest(b []byte) string { return fmt.Sprintf("%d %x", len(b), sha256.Sum256(b)) }

func hashResponder(conn net.Conn, req *http.Request, _ int) bool {
	body, _ := io.ReadAll(req.Body)
	return agenttest.SendResponse(conn, 200, "", digest(body))
}

// slowReader returns a body in pieces, with a call before each.
type slowReader struct {
	body   []byte
	piece  int
	before func(at int)
	at     int
}

func (reader *slowReader) Read(p []byte) (int, error) {
	if reader.at == len(reader.body) {
		return 0, io.EOF
	}
	reader.before(reader.at)
	n := copy(p, reader.body[reader.at:min(reader.at+reader.piece, len(reader.body))])
	reader.at += n
	return n, nil
}

func TestStreamedBodyIsForwardedOnce(t *testing.T) {
	agent, server := startWithServer(t, hashResponder)
	for i, length := range []int{message.MaxBufferedBody - 1, message.MaxBufferedBody, message.MaxBufferedBody + 1, 5 << 20} {
		for _, told := range []bool{true, false} {
			body := randomBytes(length)
			req := agenttest.NewRequest(agent.addr, "order", "")
			req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(body)), -1
			if told {
				req.ContentLength = int64(length)
			}
			if i == 3 {
				req.Header.Set("Expect", "100-continue")
			}
			status, _, got := agent.do(req)
			agenttest.WantStatus(t, status, 200)
			if got != digest(body) {
				t.Errorf("length %d, told %v: arrived as %s", length, told, got)
			}
		}
	}
	if server.Count() != 8 {
		t.Errorf("%d arrivals, want 8", server.Count())
	}
	if metrics := agent.metricsNow(); metrics.Served != 8 || metrics.Violations+metrics.Backstops > 0 {
		t.Errorf("figures %+v", metrics)
	}
}

// The time of a request counts from its last byte, and its server is not to blame for a client that sends
// slowly.
func TestSlowStreamedBodyHasItsFullTime(t *testing.T) {
	t.Parallel()
	agent, server := startWithServer(t, hashResponder)
	body := randomBytes(6 * message.MaxBufferedBody)
	req := agenttest.NewRequest(agent.addr, "order", "")
	req.Header.Set("Request-Timeout-Ms", "700")
	req.ContentLength = int64(len(body))
	req.Body = io.NopCloser(&slowReader{body: body, piece: message.MaxBufferedBody / 2, before: func(at int) {
		if at > 0 {
			time.Sleep(100 * time.Millisecond)
		}
	}})
	status, _, got := agent.do(req)
	agenttest.WantStatus(t, status, 200)
	if got != digest(body) || server.Count() != 1 {
		t.Errorf("arrived as %s, %d times", got, server.Count())
	}
	if metrics := agent.metricsNow(); metrics.Attempts[100] != 1 || metrics.Violations+metrics.Backstops > 0 {
		t.Errorf("figures %+v", metrics)
	}
}

// A server that reads no more of a streamed body ends the attempt with its response. What was sent is not
// sent again, and what did not execute is rejected.
func TestStreamedBodyRejectedHalfway(t *testing.T) {
	server := agenttest.NewServer(t, nil)
	server.Ln.Close()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	heads := make(chan struct{}, 10)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				br := bufio.NewReader(conn)
				if _, err := http.ReadRequest(br); err != nil {
					return
				}
				heads <- struct{}{}
				io.CopyN(io.Discard, br, 2*message.MaxBufferedBody)
				agenttest.SendResponse(conn, 503, "Not-Started: 1\r\n", "")
				io.Copy(io.Discard, br)
			}()
		}
	}()
	agent := startAgent(t, agenttest.NewDiscovery(t, agenttest.Endpoint("s-1", ln.Addr().String())), nil)
	// A client that brings the rest only once it has its answer.
	client := agent.dialKept()
	body := randomBytes(20 * message.MaxBufferedBody)
	fmt.Fprintf(client, "POST /api/a HTTP/1.1\r\nHost: x\r\nRequest-Id: 1\r\nRequest-Class: order\r\n"+
		"Request-Timeout-Ms: 4000\r\nContent-Length: %d\r\n\r\n", len(body))
	client.Write(body[:3*message.MaxBufferedBody])
	resp, err := http.ReadResponse(client.Br, nil)
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" || !resp.Close {
		t.Errorf("answered %d, %v", resp.StatusCode, resp.Header)
	}
	if len(heads) != 1 {
		t.Errorf("%d attempts, want 1", len(heads))
	}
	if metrics := agent.metricsNow(); metrics.Attempts[302] != 1 || metrics.Violations > 0 {
		t.Errorf("figures %+v", metrics)
	}
}

// A client that breaks off its body leaves nothing at a server that counts as a request.
func TestStreamedBodyAborted(t *testing.T) {
	agent, server := startWithServer(t, hashResponder)
	lines := agent.logLines()
	client := agent.dialKept()
	fmt.Fprintf(client, "POST /api/a HTTP/1.1\r\nHost: x\r\nRequest-Id: 1\r\nRequest-Class: order\r\n"+
		"Request-Timeout-Ms: 4000\r\nContent-Length: %d\r\n\r\n", 20*message.MaxBufferedBody)
	client.Write(randomBytes(3 * message.MaxBufferedBody))
	client.Close()
	agenttest.WaitLine(t, lines, " id=1 ") // as left or as failed, whichever is seen first
	<-server.Ended
	if server.Count() != 0 {
		t.Errorf("%d arrivals, want none", server.Count())
	}
	status, _, _ := agent.do(agenttest.NewRequest(agent.addr, "order", "x"))
	agenttest.WantStatus(t, status, 200)
	metrics := agent.metricsNow()
	for end := time.Now().Add(agenttest.Timeout); metrics.Attempts[306]+metrics.Attempts[307] == 0 && time.Now().Before(end); metrics = agent.metricsNow() {
		time.Sleep(time.Millisecond) // the loop gets the attempt's end by itself
	}
	if metrics.Attempts[306]+metrics.Attempts[307] != 1 || metrics.Violations+metrics.Backstops > 0 {
		t.Errorf("figures %+v", metrics)
	}
}

// The first bytes of a long response, and of one that takes long, are passed on before the rest has arrived.
func TestLongResponseIsStreamed(t *testing.T) {
	more := make(chan struct{})
	long := randomBytes(3 * message.MaxBufferedBody)
	agent, server := startWithServer(t, func(conn net.Conn, req *http.Request, _ int) bool {
		switch req.URL.RawQuery {
		case "told":
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(long))
			conn.Write(long[:100])
			<-more
			conn.Write(long[100:])
		case "chunks":
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-End\r\n\r\n64;a=b\r\n%s\r\n", long[:100])
			<-more
			fmt.Fprintf(conn, "%x\r\n%s\r\n0\r\nX-End: 1\r\n\r\n", len(long)-100, long[100:])
		case "close":
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n\r\n")
			conn.Write(long[:100])
			<-more
			conn.Write(long[100:])
			return false
		}
		return true
	})
	for _, form := range []string{"told", "chunks", "close"} {
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
		more <- struct{}{}
		rest, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil || resp.StatusCode != 200 || !bytes.Equal(append(first, rest...), long) {
			t.Errorf("%s: answered %d, %d bytes, %v", form, resp.StatusCode, 100+len(rest), err)
		}
		time.Sleep(2 * upstream.SettleTime) // the connection has rested
	}
	server.Mu.Lock()
	defer server.Mu.Unlock()
	if server.Arrivals != 3 || server.Most > 1 {
		t.Errorf("%d arrivals, %d connections at once, want 3 and 1", server.Arrivals, server.Most)
	}
}

// A response that breaks halfway can't be taken for complete, and its request is sent once.
func TestLongResponseAborted(t *testing.T) {
	long := randomBytes(3 * message.MaxBufferedBody)
	agent, server := startWithServer(t, func(conn net.Conn, req *http.Request, _ int) bool {
		switch req.URL.RawQuery {
		case "told":
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(long)+1)
		case "chunks":
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", len(long)+1)
		}
		conn.Write(long)
		return false
	})
	for i, form := range []string{"told", "chunks"} {
		lines := agent.logLines()
		req := agenttest.NewRequest(agent.addr, "read", "")
		req.URL.RawQuery = form
		resp, err := agenttest.HTTPClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(resp.Body)
		resp.Body.Close()
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
	gone := make(chan error, 1)
	agent, _ := startWithServer(t, func(conn net.Conn, _ *http.Request, _ int) bool {
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n")
		var err error
		for piece := randomBytes(message.MaxBufferedBody); err == nil; {
			_, err = conn.Write(piece)
		}
		gone <- err
		return false
	})
	client := agent.dialKept()
	fmt.Fprint(client, agenttest.RequestText(1, 4000))
	if _, err := client.Br.Peek(4096); err != nil {
		t.Fatal(err)
	}
	client.Close()
	select {
	case <-gone:
	case <-time.After(agenttest.Timeout):
		t.Error("the server's connection stays open")
	}
}

// A body that exceeds the budget is not buffered, but it is forwarded.
func TestBodiesBeyondTheBudgetAreStreamed(t *testing.T) {
	agent, server := startWithServer(t, hashResponder)
	for _, bytes := range agent.bodyBudgets() {
		for bytes.TryAcquire(1 << 10) {
		}
	}
	body := randomBytes(100)
	status, _, got := agent.do(agenttest.NewRequest(agent.addr, "order", string(body)))
	agenttest.WantStatus(t, status, 200)
	if got != digest(body) || server.Count() != 1 {
		t.Errorf("arrived as %s, %d times", got, server.Count())
	}
}

// Bytes of the budget that bodies reserved are free again once they are through.
func TestBodyBudgetIsReleased(t *testing.T) {
	agent, _ := startWithServer(t, func(conn net.Conn, req *http.Request, n int) bool {
		if n%2 == 0 {
			return agenttest.SendResponse(conn, 200, "", strings.Repeat("x", 100*(n+1)))
		}
		_, err := fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n")
		return err == nil
	})
	for range 10 {
		status, _, _ := agent.do(agenttest.NewRequest(agent.addr, "order", "some body"))
		agenttest.WantStatus(t, status, 200)
	}
	all := int64(192) << 20 / 6
	for end := time.Now().Add(agenttest.Timeout); ; time.Sleep(time.Millisecond) {
		// The handler gives back behind the answer's last byte.
		if requests, responses := agent.bodyBudgets()[0], agent.bodyBudgets()[1]; requests.TryAcquire(all) && responses.TryAcquire(all) {
			break
		}
		if time.Now().After(end) {
			t.Fatal("part of the budget is lost")
		}
	}
}

// A streamed request that is still arriving when the process shuts down is rejected and can go to another
// one; no server has all of it.
func TestStreamedBodyIsRejectedAtShutdown(t *testing.T) {
	t.Parallel()
	agent, server := startWithServer(t, hashResponder)
	client := agent.dialKept()
	fmt.Fprintf(client, "POST /api/a HTTP/1.1\r\nHost: x\r\nRequest-Id: 1\r\nRequest-Class: order\r\n"+
		"Request-Timeout-Ms: 4000\r\nContent-Length: %d\r\n\r\n", 20*message.MaxBufferedBody)
	client.Write(randomBytes(3 * message.MaxBufferedBody))
	agenttest.WaitUntil(t, "it is on its way", func() bool { return server.StartedCount() == 1 })
	late := agent.dialKept() // its head arrives in two parts, the second of them after the shutdown has begun
	fmt.Fprint(late, "GET /api/a HTTP/1.1\r\nHost: x\r\nRequest-Id: 2\r\nRequest-Class: read\r\n")
	agent.stop()
	refused := func(name string, conn *agenttest.KeptConn) {
		t.Helper()
		resp, err := http.ReadResponse(conn.Br, nil)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" || !resp.Close {
			t.Errorf("%s: answered %d, %v", name, resp.StatusCode, resp.Header)
		}
		conn.Close()
	}
	refused("long", client)
	fmt.Fprint(late, "Request-Timeout-Ms: 4000\r\n\r\n")
	refused("late", late)
	<-server.Ended
	if server.Count() != 0 {
		t.Errorf("%d arrivals, want none", server.Count())
	}
}
