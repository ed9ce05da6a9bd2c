// Package agenttest has servers, discoveries, clients and faults for the tests of an agent's packages.
package agenttest

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
)

// Responder handles the n-th request (from 0) to a server; false closes the connection.
type Responder = func(conn net.Conn, req *http.Request, n int) bool

// Server is a server of requests, whose responses a test scripts.
type Server struct {
	Listener    net.Listener
	Addr        string
	Respond     Responder
	ConnsClosed chan struct{} // a value for each connection that the agent closed

	mu       sync.Mutex
	started  int // requests that have begun to arrive
	arrivals int // complete requests
	conns    int // open now
	maxConns int // the most connections that were open at a time
}

// NewServer starts a server.
func NewServer(tb testing.TB, respond Responder) *Server {
	tb.Helper()
	ln := Listen(tb)
	s := &Server{
		Listener:    ln,
		Addr:        ln.Addr().String(),
		Respond:     respond,
		ConnsClosed: make(chan struct{}, eventBuffer),
	}
	go s.Accept()
	return s
}

// Accept serves connections until the listener is closed.
func (s *Server) Accept() { AcceptAll(s.Listener, s.serve) }

func (s *Server) serve(conn net.Conn) {
	s.mu.Lock()
	s.conns++
	s.maxConns = max(s.maxConns, s.conns)
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.conns--
		s.mu.Unlock()
		s.ConnsClosed <- struct{}{}
	}()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.started++
		s.mu.Unlock()
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		req.Body = io.NopCloser(bytes.NewReader(body))
		s.mu.Lock()
		n := s.arrivals
		s.arrivals++
		s.mu.Unlock()
		if !s.Respond(conn, req, n) {
			return
		}
	}
}

// Count counts the complete requests.
func (s *Server) Count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arrivals
}

// MaxConns is the most connections that were open at a time.
func (s *Server) MaxConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.maxConns
}

// ResetCounts resets the counts of requests.
func (s *Server) ResetCounts() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started = 0
	s.arrivals = 0
}

// StartedCount counts the requests that have begun to arrive.
func (s *Server) StartedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.started
}

// SendResponse writes a response; header is lines, each with its end.
func SendResponse(c net.Conn, status int, header, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d X\r\nContent-Length: %d\r\n%s\r\n%s", status, len(body), header, body)
	return err == nil
}

// RespondOK answers a request with its method, path and body.
func RespondOK(c net.Conn, req *http.Request, _ int) bool {
	body, _ := io.ReadAll(req.Body)
	text := req.Method + " " + req.URL.RequestURI() + " " + string(body)
	return SendResponse(c, http.StatusOK, "Server-Load: qps=3,util=0.5,eps=0\r\n", text)
}

// ResetConn makes the close of a connection a reset; it returns false, as the end of a Responder.
func ResetConn(c net.Conn) bool {
	_ = c.(*net.TCPConn).SetLinger(0)
	return false
}
