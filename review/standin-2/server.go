package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// arrival is one request that a server has received whole.
type arrival struct {
	Server    string
	ID        string
	Method    string
	Path      string
	Key       string // Idempotency-Key
	TimeoutMs int
	Sent      string // the body of the request
	First     time.Time // its first byte
	Last      time.Time // its last byte
	Conn      int       // number of the connection at its server

	mu     sync.Mutex
	answer string    // what was answered: a status, "reset", "hang" or "" while it is open
	ended  time.Time // when the connection or the response ended
	body   string    // body of a 200 response
}

func (a *arrival) end(answer, body string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.answer == "" {
		a.answer, a.body, a.ended = answer, body, time.Now()
	}
}

func (a *arrival) outcome() (answer, body string, ended time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.answer, a.body, a.ended
}

// standInServer is a server as the protocol page describes it. It reads one request at a time on a connection.
type standInServer struct {
	Name   string
	ln     net.Listener
	handle func(s *standInServer, conn net.Conn, a *arrival) (keep bool)

	mu       sync.Mutex
	arrivals []*arrival
	conns    map[net.Conn]bool
	opened   int
	probes   int
}

// newServer starts a server on a free port. The function handle answers each request and reports whether the connection
// stays open.
func newServer(name string, handle func(*standInServer, net.Conn, *arrival) bool) *standInServer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	s := &standInServer{Name: name, ln: ln, handle: handle, conns: map[net.Conn]bool{}}
	go s.accept()
	return s
}

func (s *standInServer) addr() string { return s.ln.Addr().String() }

func (s *standInServer) accept() {
	for {
		conn, err := s.ln.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.opened++
		number := s.opened
		s.conns[conn] = true
		s.mu.Unlock()
		go func() {
			s.serve(conn, number)
			_ = conn.Close()
			s.mu.Lock()
			delete(s.conns, conn)
			s.mu.Unlock()
		}()
	}
}

// closeAll resets all connections, as at the end of a process.
func (s *standInServer) closeAll() {
	_ = s.ln.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		reset(conn)
	}
}

func (s *standInServer) serve(conn net.Conn, number int) {
	reader := bufio.NewReader(conn)
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		first := time.Now()
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if strings.HasPrefix(req.URL.Path, "/-/") {
			s.mu.Lock()
			s.probes++
			s.mu.Unlock()
			write200(conn, "ok")
			continue
		}
		timeout, _ := strconv.Atoi(req.Header.Get("Request-Timeout-Ms"))
		a := &arrival{
			Server: s.Name, ID: req.Header.Get("Request-Id"), Method: req.Method, Path: req.RequestURI,
			Key: req.Header.Get("Idempotency-Key"), TimeoutMs: timeout, Sent: string(body),
			First: first, Last: time.Now(), Conn: number,
		}
		s.mu.Lock()
		s.arrivals = append(s.arrivals, a)
		s.mu.Unlock()
		if !s.handle(s, conn, a) {
			a.end("closed", "")
			return
		}
	}
}

func (s *standInServer) all() []*arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*arrival(nil), s.arrivals...)
}

// write200 writes a response with a body.
func write200(conn net.Conn, body string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// serveAfter answers 200 after a time. The body names the request and the server.
func serveAfter(work time.Duration) func(*standInServer, net.Conn, *arrival) bool {
	return func(s *standInServer, conn net.Conn, a *arrival) bool {
		time.Sleep(work)
		body := bodyOf(s, a)
		write200(conn, body)
		a.end("200", body)
		return true
	}
}

func bodyOf(s *standInServer, a *arrival) string { return "answer to " + a.ID + " by " + s.Name }

// reset closes a connection so that the peer sees a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func check(err error) {
	if err != nil {
		panic(cannotRun{err})
	}
}

// cannotRun is the reason why a case can't run.
type cannotRun struct{ err error }

func unable(format string, args ...any) { panic(cannotRun{fmt.Errorf(format, args...)}) }
