package upstream

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"time"

	"fernbeam.example/fernbeam/internal/agent/message"
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
	idledFor  time.Duration // idle time before the current request
	closed    bool          // no longer counted by the pool, whose mutex guards it
	reserved  int64         // bytes that a long head has reserved of budget
	budget    message.Quota
}

const (
	// readBufferSize is the size of a connection's read buffer, in bytes. A longer head has a larger one for its time.
	readBufferSize = 4 << 10
	// sendBufferSize is the size of a connection's send buffer in the kernel, in bytes. With a large one, a write would
	// make no progress for seconds before a server that reads slowly, and a request would count as sent long before
	// its server has read it.
	sendBufferSize = 128 << 10
)

// limitSendBuffer limits the send buffer of a connection.
func limitSendBuffer(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(sendBufferSize) // without it the connection works too
	}
}

// Setting a deadline fails only on a closed connection, on which the next read or write fails as well.

func (c *serverConn) setDeadline(t time.Time)      { _ = c.SetDeadline(t) }
func (c *serverConn) setReadDeadline(t time.Time)  { _ = c.SetReadDeadline(t) }
func (c *serverConn) setWriteDeadline(t time.Time) { _ = c.SetWriteDeadline(t) }

// expire ends the reads and writes of the connection immediately. expireReads ends only the reads, and expireWrites
// ends only the writes.
func (c *serverConn) expire()       { c.setDeadline(socket.Expired) }
func (c *serverConn) expireReads()  { c.setReadDeadline(socket.Expired) }
func (c *serverConn) expireWrites() { c.setWriteDeadline(socket.Expired) }

// reusableAfter reports whether the connection may carry another message after resp has been read completely. Bytes
// that the server sent after resp must not be taken for the next response.
func (c *serverConn) reusableAfter(resp *http.Response) bool {
	return !resp.Close && c.reader.Buffered() == 0
}

// describeFailure describes for the log which error broke the connection, and whether the connection was reused.
func (c *serverConn) describeFailure(err error) string {
	return fmt.Sprintf("%v on request %d of a connection opened %d ms ago and idle for %d ms before", err, c.uses,
		time.Since(c.createdAt).Milliseconds(), c.idledFor.Milliseconds())
}

// brokenResult returns the result of an attempt that failed before any response and may have executed.
func (c *serverConn) brokenResult(err error) exchangeResult {
	status := brokenStatus(err)
	return exchangeResult{Result: Result{
		Status:         status,
		Reason:         c.describeFailure(err),
		connectionLost: status == balancer.StatusReset,
	}}
}

// unsentResult returns the result of an attempt whose last byte was not written.
func (c *serverConn) unsentResult(err error) exchangeResult {
	failed := Result{Status: writeFailureStatus(err), Reason: c.describeFailure(err)}
	return exchangeResult{Result: failed, unsent: true}
}
