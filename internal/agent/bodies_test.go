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

func hashResponder(c net.Conn, req *http.Request, _ int) bool {
	body, _ := io.ReadAll(req.Body)
	return agenttest.SendResponse(c, 200, "", digest(body))
}

// slowReader returns a body in pieces, with a call before each.
type slowReader struct {
	body   []byte
	piece  int
	before func(at int)
	at     int
}

func (s *slowReader) Read(p []byte) (int, error) {
	if s.at == len(s.body) {
		return 0, io.EOF
	}
	s.before(s.at)
	n := copy(p, s.body[s.at:min(s.at+s.piece, len(s.body))])
	s.at += n
	return n, nil
}

func TestStreamedBodyIsForwardedOnce(t *testing.T) {
	a, b := startWithServer(t, hashResponder)
	for i, length := range []int{message.MaxBufferedBody - 1, message.MaxBufferedBody, message.MaxBufferedBody + 1, 5 << 20} {
		for _, told := range []bool{true, false} {
			body := randomBytes(length)
			req := agenttest.NewRequest(a.addr, "order", "")
			req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(body)), -1
			if told {
				req.ContentLength = int64(length)
			}
			if i == 3 {
				req.Header.Set("Expect", "100-continue")
			}
			status, _, got := a.do(req)
			agenttest.WantStatus(t, status, 200)
			if got != digest(body) {
				t.Errorf("length %d, told %v: arrived as %s", length, told, got)
			}
		}
	}
	if b.Count() != 8 {
		t.Errorf("%d arrivals, want 8", b.Count())
	}
	if f := a.metricsNow(); f.Served != 8 || f.Violations+f.Backstops > 0 {
		t.Errorf("figures %+v", f)
	}
}

// The time of a request counts from its last byte, and its server is not to blame for a client that sends
// slowly.
func TestSlowStreamedBodyHasItsFullTime(t *testing.T) {
	t.Parallel()
	a, b := startWithServer(t, hashResponder)
	body := randomBytes(6 * message.MaxBufferedBody)
	req := agenttest.NewRequest(a.addr, "order", "")
	req.Header.Set("Request-Timeout-Ms", "700")
	req.ContentLength = int64(len(body))
	req.Body = io.NopCloser(&slowReader{body: body, piece: message.MaxBufferedBody / 2, before: func(at int) {
		if at > 0 {
			time.Sleep(100 * time.Millisecond)
		}
	}})
	status, _, got := a.do(req)
	agenttest.WantStatus(t, status, 200)
	if got != digest(body) || b.Count() != 1 {
		t.Errorf("arrived as %s, %d times", got, b.Count())
	}
	if f := a.metricsNow(); f.Attempts[100] != 1 || f.Violations+f.Backstops > 0 {
		t.Errorf("figures %+v", f)
	}
}

// A server that reads no more of a streamed body ends the attempt with its response. What was sent is not
// sent again, and what did not execute is rejected.
func TestStreamedBodyRejectedHalfway(t *testing.T) {
	b := agenttest.NewServer(t, nil)
	b.Ln.Close()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	heads := make(chan struct{}, 10)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				br := bufio.NewReader(c)
				if _, err := http.ReadRequest(br); err != nil {
					return
				}
				heads <- struct{}{}
				io.CopyN(io.Discard, br, 2*message.MaxBufferedBody)
				agenttest.SendResponse(c, 503, "Not-Started: 1\r\n", "")
				io.Copy(io.Discard, br)
			}()
		}
	}()
	a := startAgent(t, agenttest.NewDiscovery(t, agenttest.Endpoint("s-1", ln.Addr().String())), nil)
	// A client that brings the rest only once it has its answer.
	c := a.dialKept()
	body := randomBytes(20 * message.MaxBufferedBody)
	fmt.Fprintf(c, "POST /api/a HTTP/1.1\r\nHost: x\r\nRequest-Id: 1\r\nRequest-Class: order\r\n"+
		"Request-Timeout-Ms: 4000\r\nContent-Length: %d\r\n\r\n", len(body))
	c.Write(body[:3*message.MaxBufferedBody])
	resp, err := http.ReadResponse(c.Br, nil)
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" || !resp.Close {
		t.Errorf("answered %d, %v", resp.StatusCode, resp.Header)
	}
	if len(heads) != 1 {
		t.Errorf("%d attempts, want 1", len(heads))
	}
	if f := a.metricsNow(); f.Attempts[302] != 1 || f.Violations > 0 {
		t.Errorf("figures %+v", f)
	}
}

// A client that breaks off its body leaves nothing at a server that counts as a request.
func TestStreamedBodyAborted(t *testing.T) {
	a, b := startWithServer(t, hashResponder)
	lines := a.logLines()
	c := a.dialKept()
	fmt.Fprintf(c, "POST /api/a HTTP/1.1\r\nHost: x\r\nRequest-Id: 1\r\nRequest-Class: order\r\n"+
		"Request-Timeout-Ms: 4000\r\nContent-Length: %d\r\n\r\n", 20*message.MaxBufferedBody)
	c.Write(randomBytes(3 * message.MaxBufferedBody))
	c.Close()
	agenttest.WaitLine(t, lines, " id=1 ") // as left or as failed, whichever is seen first
	<-b.Ended
	if b.Count() != 0 {
		t.Errorf("%d arrivals, want none", b.Count())
	}
	status, _, _ := a.do(agenttest.NewRequest(a.addr, "order", "x"))
	agenttest.WantStatus(t, status, 200)
	f := a.metricsNow()
	for end := time.Now().Add(agenttest.Timeout); f.Attempts[306]+f.Attempts[307] == 0 && time.Now().Before(end); f = a.metricsNow() {
		time.Sleep(time.Millisecond) // the loop gets the attempt's end by itself
	}
	if f.Attempts[306]+f.Attempts[307] != 1 || f.Violations+f.Backstops > 0 {
		t.Errorf("figures %+v", f)
	}
}

// The first bytes of a long response, and of one that takes long, are passed on before the rest has arrived.
func TestLongResponseIsStreamed(t *testing.T) {
	more := make(chan struct{})
	long := randomBytes(3 * message.MaxBufferedBody)
	a, b := startWithServer(t, func(c net.Conn, req *http.Request, _ int) bool {
		switch req.URL.RawQuery {
		case "told":
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(long))
			c.Write(long[:100])
			<-more
			c.Write(long[100:])
		case "chunks":
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-End\r\n\r\n64;a=b\r\n%s\r\n", long[:100])
			<-more
			fmt.Fprintf(c, "%x\r\n%s\r\n0\r\nX-End: 1\r\n\r\n", len(long)-100, long[100:])
		case "close":
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\n")
			c.Write(long[:100])
			<-more
			c.Write(long[100:])
			return false
		}
		return true
	})
	for _, form := range []string{"told", "chunks", "close"} {
		req := agenttest.NewRequest(a.addr, "order", "x")
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
	b.Mu.Lock()
	defer b.Mu.Unlock()
	if b.Arrivals != 3 || b.Most > 1 {
		t.Errorf("%d arrivals, %d connections at once, want 3 and 1", b.Arrivals, b.Most)
	}
}

// A response that breaks halfway can't be taken for complete, and its request is sent once.
func TestLongResponseAborted(t *testing.T) {
	long := randomBytes(3 * message.MaxBufferedBody)
	a, b := startWithServer(t, func(c net.Conn, req *http.Request, _ int) bool {
		switch req.URL.RawQuery {
		case "told":
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(long)+1)
		case "chunks":
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", len(long)+1)
		}
		c.Write(long)
		return false
	})
	for i, form := range []string{"told", "chunks"} {
		lines := a.logLines()
		req := agenttest.NewRequest(a.addr, "read", "")
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
		if b.Count() != i+1 {
			t.Errorf("%s: %d arrivals, want %d", form, b.Count(), i+1)
		}
	}
}

// A client that closes in the middle of a long response frees its server's connection.
func TestClientClosesDuringALongResponse(t *testing.T) {
	gone := make(chan error, 1)
	a, _ := startWithServer(t, func(c net.Conn, _ *http.Request, _ int) bool {
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n")
		var err error
		for piece := randomBytes(message.MaxBufferedBody); err == nil; {
			_, err = c.Write(piece)
		}
		gone <- err
		return false
	})
	c := a.dialKept()
	fmt.Fprint(c, agenttest.RequestText(1, 4000))
	if _, err := c.Br.Peek(4096); err != nil {
		t.Fatal(err)
	}
	c.Close()
	select {
	case <-gone:
	case <-time.After(agenttest.Timeout):
		t.Error("the server's connection stays open")
	}
}

// A body that exceeds the budget is not buffered, but it is forwarded.
func TestBodiesBeyondTheBudgetAreStreamed(t *testing.T) {
	a, server := startWithServer(t, hashResponder)
	for _, bytes := range a.agent.bodyBudgets() {
		for bytes.TryAcquire(1 << 10) {
		}
	}
	body := randomBytes(100)
	status, _, got := a.do(agenttest.NewRequest(a.addr, "order", string(body)))
	agenttest.WantStatus(t, status, 200)
	if got != digest(body) || server.Count() != 1 {
		t.Errorf("arrived as %s, %d times", got, server.Count())
	}
}

// Bytes of the budget that bodies reserved are free again once they are through.
func TestBodyBudgetIsReleased(t *testing.T) {
	a, _ := startWithServer(t, func(c net.Conn, req *http.Request, n int) bool {
		if n%2 == 0 {
			return agenttest.SendResponse(c, 200, "", strings.Repeat("x", 100*(n+1)))
		}
		_, err := fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n")
		return err == nil
	})
	for range 10 {
		status, _, _ := a.do(agenttest.NewRequest(a.addr, "order", "some body"))
		agenttest.WantStatus(t, status, 200)
	}
	all := int64(192) << 20 / 6
	for end := time.Now().Add(agenttest.Timeout); ; time.Sleep(time.Millisecond) {
		// The handler gives back behind the answer's last byte.
		if requests, responses := a.agent.bodyBudgets()[0], a.agent.bodyBudgets()[1]; requests.TryAcquire(all) && responses.TryAcquire(all) {
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
	a, b := startWithServer(t, hashResponder)
	c := a.dialKept()
	fmt.Fprintf(c, "POST /api/a HTTP/1.1\r\nHost: x\r\nRequest-Id: 1\r\nRequest-Class: order\r\n"+
		"Request-Timeout-Ms: 4000\r\nContent-Length: %d\r\n\r\n", 20*message.MaxBufferedBody)
	c.Write(randomBytes(3 * message.MaxBufferedBody))
	agenttest.WaitUntil(t, "it is on its way", func() bool { return b.StartedCount() == 1 })
	late := a.dialKept() // its head arrives in two parts, the second of them after the shutdown has begun
	fmt.Fprint(late, "GET /api/a HTTP/1.1\r\nHost: x\r\nRequest-Id: 2\r\nRequest-Class: read\r\n")
	a.stop()
	refused := func(name string, k *agenttest.KeptConn) {
		t.Helper()
		resp, err := http.ReadResponse(k.Br, nil)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" || !resp.Close {
			t.Errorf("%s: answered %d, %v", name, resp.StatusCode, resp.Header)
		}
		k.Close()
	}
	refused("long", c)
	fmt.Fprint(late, "Request-Timeout-Ms: 4000\r\n\r\n")
	refused("late", late)
	<-b.Ended
	if b.Count() != 0 {
		t.Errorf("%d arrivals, want none", b.Count())
	}
}
