package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// outgoing is a request of a client.
type outgoing struct {
	ID      string
	Class   string
	Method  string
	Path    string
	Key     string
	Timeout time.Duration
	Body    string
}

// result is what a client got.
type result struct {
	outgoing
	Sent     time.Time // its last byte was written
	Ended    time.Time
	Status   int    // 0: none
	Body     string // of a complete response
	Err      string // why there is no complete response
	OnReused bool   // sent on a connection that had carried a request before
	Resent   bool   // sent once more, as the connection was closed before a byte of an answer
}

// client keeps connections to an agent. It sends one request at a time on a connection.
type client struct {
	addr string
	mu   sync.Mutex
	idle []*clientConn
}

type clientConn struct {
	net.Conn
	reader *bufio.Reader
	used   int
}

var lastID atomic.Int64

// newID returns the id of a new request.
func newID() string { return fmt.Sprintf("%08x%08x", time.Now().Unix()&0xffffffff, lastID.Add(1)) }

func (c *client) take(fresh bool) (*clientConn, error) {
	c.mu.Lock()
	if n := len(c.idle); n > 0 && !fresh {
		conn := c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		return conn, nil
	}
	c.mu.Unlock()
	conn, err := net.DialTimeout("tcp", c.addr, 3*time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (c *client) keep(conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, conn)
}

// text returns a request as it is written.
func (o outgoing) text() string {
	key := ""
	if o.Key != "" {
		key = "Idempotency-Key: " + o.Key + "\r\n"
	}
	length := ""
	if o.Method == "POST" {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(o.Body))
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: %s\r\nRequest-Class: %s\r\n"+
		"Request-Timeout-Ms: %d\r\n%s%s\r\n%s", o.Method, o.Path, o.ID, o.Class, o.Timeout.Milliseconds(), key, length, o.Body)
}

// do sends a request and waits for its answer until patience after its time. If a kept connection ends before a byte of
// an answer, the request is sent once more on a new connection.
func (c *client) do(o outgoing, patience time.Duration) result {
	r := result{outgoing: o}
	for attempt := 0; ; attempt++ {
		conn, err := c.take(attempt > 0)
		if err != nil {
			r.Err, r.Ended = "connect: "+err.Error(), time.Now()
			return r
		}
		r.OnReused = conn.used > 0
		gotByte := r.exchange(c, conn, o, patience)
		if r.Status == 0 && r.OnReused && !gotByte && attempt == 0 && r.Err != "no answer" {
			r.Resent = true
			continue
		}
		return r
	}
}

// exchange writes a request to a connection and reads its answer. It reports whether a byte of one arrived.
func (r *result) exchange(c *client, conn *clientConn, o outgoing, patience time.Duration) (gotByte bool) {
	conn.used++
	r.Err = ""
	_, err := io.WriteString(conn, o.text())
	r.Sent = time.Now()
	if err != nil {
		r.Err, r.Ended = "write: "+err.Error(), time.Now()
		_ = conn.Close()
		return false
	}
	_ = conn.SetReadDeadline(r.Sent.Add(o.Timeout + patience))
	if _, err := conn.reader.Peek(1); err != nil {
		r.fail(conn, err)
		return false
	}
	resp, err := http.ReadResponse(conn.reader, &http.Request{Method: o.Method})
	if err != nil {
		r.fail(conn, err)
		return true
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		r.fail(conn, err)
		return true
	}
	r.Status, r.Body, r.Ended = resp.StatusCode, string(body), time.Now()
	_ = conn.SetReadDeadline(time.Time{})
	if resp.Close {
		_ = conn.Close()
	} else {
		c.keep(conn)
	}
	return true
}

func (r *result) fail(conn *clientConn, err error) {
	r.Ended = time.Now()
	r.Err = err.Error()
	if netErr, ok := err.(net.Error); ok && netErr.Timeout() {
		r.Err = "no answer"
	}
	_ = conn.Close()
}
