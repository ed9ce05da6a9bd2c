// Package agenttest has servers, discoveries, clients and faults for the tests of an agent's packages.
package agenttest

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

// Server reads requests off real sockets and lets a script answer them.
type Server struct {
	T    testing.TB
	Ln   net.Listener
	Addr string
	// Answer handles the n-th request (from 0) to this server; false closes the connection.
	Answer func(c net.Conn, req *http.Request, n int) bool

	Mu       sync.Mutex
	heads    int // of requests, which may be incomplete
	Arrivals int
	conns    int // open now
	Most     int
	Ended    chan struct{} // a value for each connection that the agent closed
}

func NewServer(t testing.TB, answer func(c net.Conn, req *http.Request, n int) bool) *Server {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &Server{T: t, Ln: ln, Addr: ln.Addr().String(), Answer: answer, Ended: make(chan struct{}, 1000)}
	t.Cleanup(func() { ln.Close() })
	go b.Accept()
	return b
}

// Accept serves connections until the listener is closed.
func (s *Server) Accept() {
	for {
		c, err := s.Ln.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

func (s *Server) serve(c net.Conn) {
	defer c.Close()
	s.Mu.Lock()
	s.conns++
	s.Most = max(s.Most, s.conns)
	s.Mu.Unlock()
	defer func() {
		s.Mu.Lock()
		s.conns--
		s.Mu.Unlock()
		s.Ended <- struct{}{}
	}()
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		s.Mu.Lock()
		s.heads++
		s.Mu.Unlock()
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		req.Body = io.NopCloser(strings.NewReader(string(body)))
		s.Mu.Lock()
		n := s.Arrivals
		s.Arrivals++
		s.Mu.Unlock()
		if !s.Answer(c, req, n) {
			return
		}
	}
}

func (s *Server) Count() int {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	return s.Arrivals
}

// Forget sets the counts of requests back.
func (s *Server) Forget() {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	s.heads = 0
	s.Arrivals = 0
}

// StartedCount counts the requests that have begun to arrive.
func (s *Server) StartedCount() int {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	return s.heads
}

// SendResponse writes a response as it is.
func SendResponse(c net.Conn, status int, header, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d X\r\nContent-Length: %d\r\n%s\r\n%s", status, len(body), header, body)
	return err == nil
}

// RespondOK answers every request with its own path and body.
func RespondOK(c net.Conn, req *http.Request, _ int) bool {
	body, _ := io.ReadAll(req.Body)
	return SendResponse(c, 200, "Server-Load: qps=3,util=0.5,eps=0\r\n", req.Method+" "+req.URL.RequestURI()+" "+string(body))
}

// ResetConn ends a connection with RST.
func ResetConn(c net.Conn) bool {
	c.(*net.TCPConn).SetLinger(0)
	return false
}
