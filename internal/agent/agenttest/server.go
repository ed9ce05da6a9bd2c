// Package agenttest provides servers, discovery services, clients and faults for the tests of the agent's packages.
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

// Responder handles the n-th request (counted from 0) to a server. If it returns false, the connection is closed.
type Responder = func(conn net.Conn, req *http.Request, n int) bool

// Server is an HTTP server whose responses are written by a Responder.
type Server struct {
	Listener    net.Listener
	Addr        string
	Respond     Responder
	ConnsClosed chan struct{} // receives a value for each connection that has ended

	mu       sync.Mutex
	started  int // requests whose header has been read
	arrivals int // requests that have been read completely
	conns    int // connections that are open
	maxConns int // the maximum of conns so far
}

// NewServer starts a server that answers requests with respond.
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

// Count returns the number of requests that have been read completely.
func (s *Server) Count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arrivals
}

// MaxConns returns the maximum number of connections that were open at the same time.
func (s *Server) MaxConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.maxConns
}

// ResetCounts resets Count and StartedCount to 0.
func (s *Server) ResetCounts() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started = 0
	s.arrivals = 0
}

// StartedCount returns the number of requests whose header has been read.
func (s *Server) StartedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.started
}

// SendResponse writes a response and reports whether that succeeded. Each line of header must end with CRLF.
func SendResponse(c net.Conn, status int, header, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d X\r\nContent-Length: %d\r\n%s\r\n%s", status, len(body), header, body)
	return err == nil
}

// RespondOK is a Responder that answers a request with its method, path and body.
func RespondOK(c net.Conn, req *http.Request, _ int) bool {
	body, _ := io.ReadAll(req.Body)
	text := req.Method + " " + req.URL.RequestURI() + " " + string(body)
	return SendResponse(c, http.StatusOK, "Server-Load: qps=3,util=0.5,eps=0\r\n", text)
}

// ResetConn makes the connection end with a reset when it is closed. It returns false, which a Responder can return to
// close the connection.
func ResetConn(c net.Conn) bool {
	_ = c.(*net.TCPConn).SetLinger(0)
	return false
}
