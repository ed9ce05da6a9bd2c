package emulator

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"
)

// clientConn is one connection of a client to its agent.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
	reused bool // a response has been read on it
}

// newClientConn returns a connection without buffered data.
func newClientConn(conn net.Conn) *clientConn {
	return &clientConn{Conn: conn, reader: bufio.NewReader(conn)}
}

// discard closes the connection; nothing that was written on it matters any more.
func (c *clientConn) discard() { _ = c.Close() }

// roundTrip sends a request on an idle connection, or on a new one. If the agent had closed the idle one before it
// read the request, the request is sent once more on a new connection.
func (c *client) roundTrip(ctx context.Context, request *liveRequest) Outcome {
	if conn := c.takeIdle(); conn != nil {
		if outcome, unread := c.exchange(conn, request); !unread {
			return outcome
		}
	}
	timeout := max(time.Millisecond, request.remaining(c.emulator.Now()))
	conn, err := dialTCP(ctx, c.dialAddress(), timeout)
	if err != nil {
		return c.dialOutcome(err)
	}
	outcome, _ := c.exchange(newClientConn(conn), request)
	return outcome
}

// takeIdle returns the idle connection that was used last, or nil.
func (c *client) takeIdle() *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := len(c.idle) - 1
	if last < 0 {
		return nil
	}
	conn := c.idle[last]
	c.idle = c.idle[:last]
	return conn
}

// putIdle keeps a connection for the next request.
func (c *client) putIdle(conn *clientConn) {
	conn.reused = true
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, conn)
}

// dialAddress is the agent's address, or a server's if the clients call the servers themselves.
func (c *client) dialAddress() string {
	if c.emulator.config.Direct {
		return c.emulator.directAddress(c.index)
	}
	return c.address
}

// dialOutcome returns the outcome of a request without a connection; an exhausted resource of this machine makes the
// run invalid.
func (c *client) dialOutcome(err error) Outcome {
	for _, exhausted := range []error{syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, exhausted) {
			c.emulator.recordError(err)
		}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return RequestTimedOut
	}
	return AgentUnreachable
}

// exchange sends a request and reads its response; the connection becomes idle or is closed. unread tells that a reused
// connection ended before anything came back, and that no server has seen the request.
func (c *client) exchange(conn *clientConn, request *liveRequest) (outcome Outcome, unread bool) {
	reusable := false
	defer func() {
		if reusable {
			c.putIdle(conn)
		} else {
			conn.discard()
		}
	}()
	deadline := c.emulator.startTime.Add(request.record.Sent + request.record.Timeout)
	_ = conn.SetDeadline(deadline) // fails only on a closed connection, where the write fails too
	_, err := io.WriteString(conn, requestText(request))
	if err == nil {
		_, err = conn.reader.Peek(1)
	}
	if err != nil {
		return noResponseOutcome(request, err, conn.reused)
	}
	response, err := http.ReadResponse(conn.reader, &http.Request{Method: request.method()})
	if err != nil {
		return RequestFailed, false // the response began, but is incomplete
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close() // the read has the error that matters
	if err != nil {
		return RequestFailed, false
	}
	reusable = !response.Close
	return responseOutcome(request, response.StatusCode, string(body)), false
}

// requestText is a request in HTTP/1.1's form.
func requestText(request *liveRequest) string {
	record := request.record
	var text strings.Builder
	fmt.Fprintf(&text, "%s /api/%s HTTP/1.1\r\n", request.method(), request.keyText())
	fmt.Fprintf(&text, "Host: backend.local\r\n")
	fmt.Fprintf(&text, "Request-Id: %s\r\n", record.ID)
	fmt.Fprintf(&text, "Request-Class: %s\r\n", request.class.Name)
	fmt.Fprintf(&text, "Request-Timeout-Ms: %d\r\n", max(1, record.Timeout.Milliseconds()))
	if request.idempotencyKey != "" {
		fmt.Fprintf(&text, "Idempotency-Key: %s\r\n", request.idempotencyKey)
	}
	if record.Retry > 0 {
		fmt.Fprintf(&text, "Client-Retry: 1\r\n")
	}
	body := ""
	if request.method() == http.MethodPost {
		body = fmt.Sprintf("{\"value\":%s}", record.ID)
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(body))
	}
	fmt.Fprintf(&text, "\r\n%s", body)
	return text.String()
}

// responseOutcome returns the outcome of a request with a complete response.
func responseOutcome(request *liveRequest, status int, body string) Outcome {
	id := request.record.ID
	switch status {
	case http.StatusOK:
		if body != servedResponse(id) && body != duplicateResponse(id) {
			return ResponseForged
		}
		return Served
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return RequestRejected
	}
	return RequestFailed
}

// noResponseOutcome returns the outcome of a request on which nothing came back (TERMS, "Failed requests"); unread is
// that of exchange.
func noResponseOutcome(request *liveRequest, err error, reused bool) (outcome Outcome, unread bool) {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return RequestTimedOut, false
	case request.hasAttempts():
		return RequestLost, false
	case !reused:
		return RequestFailed, false
	}
	return RequestLost, true
}
