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

// clientConn is a connection from a client to its agent.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
	reused bool // a response has been read from it
}

// newClientConn wraps a new connection to an agent.
func newClientConn(conn net.Conn) *clientConn {
	return &clientConn{Conn: conn, reader: bufio.NewReader(conn)}
}

// discard closes the connection.
func (c *clientConn) discard() { _ = c.Close() } // an error can only concern data that is no longer needed

// roundTrip sends a request on an idle connection or a new one. If the agent closed the idle connection before it
// read the request, roundTrip sends the request again on a new connection.
func (c *client) roundTrip(ctx context.Context, request *liveRequest) Outcome {
	if conn := c.takeIdle(); conn != nil {
		if outcome, resend := c.exchange(conn, request); !resend {
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

// takeIdle removes and returns the most recently used idle connection, or returns nil.
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

// dialAddress returns the agent's address, or a server's if the clients call the servers directly.
func (c *client) dialAddress() string {
	if c.emulator.config.Direct {
		return c.emulator.directAddress(c.index)
	}
	return c.address
}

// dialOutcome returns the outcome of a request whose connection failed with err. It records an error of the harness,
// which makes the run invalid, if this machine has run out of descriptors or ports.
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

// exchange sends a request and reads its response. Then it keeps the connection for the next request or closes it. It
// returns resend if a reused connection was closed before any response and no server has received the request.
func (c *client) exchange(conn *clientConn, request *liveRequest) (outcome Outcome, resend bool) {
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
	_, err := io.WriteString(conn, formatRequest(request))
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
	_ = response.Body.Close() // ReadAll has already returned the error that matters
	if err != nil {
		return RequestFailed, false
	}
	reusable = !response.Close
	return responseOutcome(request, response.StatusCode, string(body)), false
}

// formatRequest returns a request in HTTP/1.1 format.
func formatRequest(request *liveRequest) string {
	record := request.record
	var text strings.Builder
	fmt.Fprintf(&text, "%s /api/%s HTTP/1.1\r\n", request.method(), request.pathKey())
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

// responseOutcome returns the outcome of a request that received a complete response.
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

// noResponseOutcome returns the outcome of a request for which no byte of a response arrived (TERMS, "Failed
// requests"), and whether to send it again.
func noResponseOutcome(request *liveRequest, err error, reused bool) (outcome Outcome, resend bool) {
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
