package agent

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
)

// fakeServer reads requests off real sockets and lets a script answer them.
type fakeServer struct {
	t    testing.TB
	ln   net.Listener
	addr string
	// answer handles the n-th request (from 0) to this server; false closes the connection.
	answer func(c net.Conn, req *http.Request, n int) bool

	mu       sync.Mutex
	heads    int // of requests, which may be incomplete
	arrivals int
	conns    int // open now
	most     int
	ended    chan struct{} // a value for each connection that the agent closed
}

func newFakeServer(t testing.TB, answer func(c net.Conn, req *http.Request, n int) bool) *fakeServer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &fakeServer{t: t, ln: ln, addr: ln.Addr().String(), answer: answer, ended: make(chan struct{}, 1000)}
	t.Cleanup(func() { ln.Close() })
	go b.accept()
	return b
}

// accept serves connections until the listener is closed.
func (b *fakeServer) accept() {
	for {
		c, err := b.ln.Accept()
		if err != nil {
			return
		}
		go b.serve(c)
	}
}

func (b *fakeServer) serve(c net.Conn) {
	defer c.Close()
	b.mu.Lock()
	b.conns++
	b.most = max(b.most, b.conns)
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		b.conns--
		b.mu.Unlock()
		b.ended <- struct{}{}
	}()
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		b.mu.Lock()
		b.heads++
		b.mu.Unlock()
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		req.Body = io.NopCloser(strings.NewReader(string(body)))
		b.mu.Lock()
		n := b.arrivals
		b.arrivals++
		b.mu.Unlock()
		if !b.answer(c, req, n) {
			return
		}
	}
}

func (b *fakeServer) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.arrivals
}

// forget sets the counts of requests back.
func (b *fakeServer) forget() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.heads = 0
	b.arrivals = 0
}

// startedCount counts the requests that have begun to arrive.
func (b *fakeServer) startedCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.heads
}

// sendResponse writes a response as it is.
func sendResponse(c net.Conn, status int, header, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d X\r\nContent-Length: %d\r\n%s\r\n%s", status, len(body), header, body)
	return err == nil
}

// respondOK answers every request with its own path and body.
func respondOK(c net.Conn, req *http.Request, _ int) bool {
	body, _ := io.ReadAll(req.Body)
	return sendResponse(c, 200, "Server-Load: qps=3,util=0.5,eps=0\r\n", req.Method+" "+req.URL.RequestURI()+" "+string(body))
}

// resetConn ends a connection with RST.
func resetConn(c net.Conn) bool {
	c.(*net.TCPConn).SetLinger(0)
	return false
}
