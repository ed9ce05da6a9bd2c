package upstream

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"time"

	"fernbeam.example/fernbeam/internal/agent/socket"
	"fernbeam.example/fernbeam/internal/balancer"
)

// serverConn is a connection to a server.
type serverConn struct {
	net.Conn
	reader    *bufio.Reader
	addr      string
	createdAt time.Time
	idleSince time.Time
	uses      int           // requests carried
	idledFor  time.Duration // before the request that it carries now
}

// Setting a deadline fails only on a connection that is closed, where the next read or write fails too.

func (c *serverConn) setDeadline(t time.Time)      { _ = c.SetDeadline(t) }
func (c *serverConn) setReadDeadline(t time.Time)  { _ = c.SetReadDeadline(t) }
func (c *serverConn) setWriteDeadline(t time.Time) { _ = c.SetWriteDeadline(t) }

// expire ends the reads and writes of the connection at once; expireReads and expireWrites end one of them.
func (c *serverConn) expire()       { c.setDeadline(socket.Expired) }
func (c *serverConn) expireReads()  { c.setReadDeadline(socket.Expired) }
func (c *serverConn) expireWrites() { c.setWriteDeadline(socket.Expired) }

// reusableAfter reports whether the connection may carry another message after a response was read completely.
// Bytes that the server sent beyond it must not be taken for the next response.
func (c *serverConn) reusableAfter(resp *http.Response) bool {
	return !resp.Close && c.reader.Buffered() == 0
}

// describeFailure tells the log what broke the connection, and whether it was a kept one.
func (c *serverConn) describeFailure(err error) string {
	return fmt.Sprintf("%v on request %d of a connection opened %d ms ago and idle for %d ms before", err, c.uses,
		time.Since(c.createdAt).Milliseconds(), c.idledFor.Milliseconds())
}

// brokenResult is the end of an attempt that may have executed, by an error before any response.
func (c *serverConn) brokenResult(err error) exchangeResult {
	status := brokenStatus(err)
	return exchangeResult{Result: Result{
		Status:         status,
		Reason:         c.describeFailure(err),
		connectionLost: status == balancer.StatusReset,
	}}
}

// unsentResult is the end of an attempt whose last byte was not written.
func (c *serverConn) unsentResult(err error) exchangeResult {
	failed := Result{Status: writeFailureStatus(err), Reason: c.describeFailure(err)}
	return exchangeResult{Result: failed, unsent: true}
}
