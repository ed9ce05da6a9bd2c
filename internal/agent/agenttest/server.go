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

// Server is a server of requests, whose responses a test scripts.
type Server struct {
	T        testing.TB
	Listener net.Listener
	Addr     string
	// Respond handles the n-th request (from 0) to this server; false closes the connection.
	Respond func(c net.Conn, req *http.Request, n int) bool

	Mu          sync.Mutex
	started     int           // requests that have begun to arrive
	Arrivals    int           // complete requests
	conns       int           // open now
	MaxConns    int           // the most connections that were open at a time
	ConnsClosed chan struct{} // a value for each connection that the agent closed
}

// NewServer starts a server.
func NewServer(tb testing.TB, answer func(c net.Conn, req *http.Request, n int) bool) *Server {
	tb.Helper()
	ln := Listen(tb)
	s := &Server{
		T:           tb,
		Listener:    ln,
		Addr:        ln.Addr().String(),
		Respond:     answer,
		ConnsClosed: make(chan struct{}, eventBuffer),
	}
	go s.Accept()
	return s
}

// Accept serves connections until the listener is closed.
func (s *Server) Accept() {
	for {
		conn, err := s.Listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

func (s *Server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	s.Mu.Lock()
	s.conns++
	s.MaxConns = max(s.MaxConns, s.conns)
	s.Mu.Unlock()
	defer func() {
		s.Mu.Lock()
		s.conns--
		s.Mu.Unlock()
		s.ConnsClosed <- struct{}{}
	}()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		s.Mu.Lock()
		s.started++
		s.Mu.Unlock()
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		req.Body = io.NopCloser(bytes.NewReader(body))
		s.Mu.Lock()
		n := s.Arrivals
		s.Arrivals++
		s.Mu.Unlock()
		if !s.Respond(conn, req, n) {
			return
		}
	}
}

// Count counts the complete requests.
func (s *Server) Count() int {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	return s.Arrivals
}

// ResetCounts resets the counts of requests.
func (s *Server) ResetCounts() {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	s.started = 0
	s.Arrivals = 0
}

// StartedCount counts the requests that have begun to arrive.
func (s *Server) StartedCount() int {
	s.Mu.Lock()
	defer s.Mu.Unlock()
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

// ResetConn makes the close of a connection a reset; it returns false, as the end of an Answer.
func ResetConn(c net.Conn) bool {
	_ = c.(*net.TCPConn).SetLinger(0)
	return false
}
