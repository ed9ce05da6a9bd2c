package downstream

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"fernbeam.example/fernbeam/internal/agent/message"
	"fernbeam.example/fernbeam/internal/agent/socket"
	"fernbeam.example/fernbeam/internal/listener"
)

// connKey is the context key of the *framedConn that a request arrived on.
type connKey struct{}

// asClientConn returns the clientConn of a connection of the HTTP server, or nil if it has none.
func asClientConn(conn net.Conn) *clientConn {
	switch conn := conn.(type) {
	case *framedConn:
		return conn.clientConn
	case *clientConn:
		return conn
	}
	return nil
}

// clientConn is a client connection. It records whether this agent has closed it, and it can be closed between two
// requests without losing a request that has just arrived.
type clientConn struct {
	net.Conn
	release      func() // releases its slot
	closed       atomic.Bool
	requestBegun atomic.Bool // bytes have arrived since it was last idle
	// queuedAt is the earliest time at which its first request may have arrived, if the connection waited to be accepted;
	// zero otherwise. It is owned by the goroutine that serves the connection.
	queuedAt time.Time

	mu           sync.Mutex
	closeIfIdle  bool      // the reader was woken to close the connection if no bytes have arrived
	readDeadline time.Time // the deadline that the reader has set
	mayReadLate  bool      // readLate may read once after that deadline
}

// closeWhenIdle makes the reader close the connection, unless a request has begun.
func (c *clientConn) closeWhenIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.requestBegun.Load() {
		c.closeIfIdle = true
		_ = c.Conn.SetReadDeadline(socket.Expired) // fails only if already closed
	}
}

// SetReadDeadline sets the read deadline. If the reader has just been woken to close the connection, wokenToClose
// applies the deadline later.
func (c *clientConn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = deadline
	c.mayReadLate = deadline.After(time.Now())
	if c.closeIfIdle {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// readDeadlinePassed reports whether the reader's deadline has passed.
func (c *clientConn) readDeadlinePassed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.readDeadline.IsZero() && !c.readDeadline.After(time.Now())
}

// wokenToClose reports whether the reader was woken to close the connection. If so, it restores the reader's own
// deadline, because nothing can be read while the expired one is set.
func (c *clientConn) wokenToClose() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closeIfIdle {
		return false
	}
	c.closeIfIdle = false
	_ = c.Conn.SetReadDeadline(c.readDeadline) // fails only if already closed
	return true
}

// Read reads from the connection. After a deadline, or a request to close the connection, it checks once more for bytes
// that have arrived, so that no request received by then is lost.
func (c *clientConn) Read(buffer []byte) (int, error) {
	for {
		n, err := c.Conn.Read(buffer)
		timedOut := n == 0 && errors.Is(err, os.ErrDeadlineExceeded)
		if timedOut && c.wokenToClose() {
			if !c.requestBegun.Load() && socket.IsOpenAndIdle(c.Conn) {
				return 0, err
			}
			continue
		}
		if timedOut {
			n = c.readLate(buffer)
		}
		if n > 0 {
			c.markBegun()
			return n, nil
		}
		return n, err
	}
}

// markBegun records that a request has begun. The first call since the connection was idle limits the time for its
// head.
func (c *clientConn) markBegun() {
	if !c.requestBegun.Swap(true) {
		c.limitHead()
	}
}

// limitHead limits the time for the rest of a request's head, of which the first bytes have just arrived. The HTTP
// server does so only from the fourth byte on; with fewer, the connection would still have its time as an idle one. A
// deadline that is earlier is kept.
func (c *clientConn) limitHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := time.Now().Add(requestHeadTimeout)
	if !c.readDeadline.IsZero() && c.readDeadline.Before(limit) {
		return
	}
	c.readDeadline = limit
	if !c.closeIfIdle { // otherwise wokenToClose applies it
		_ = c.Conn.SetReadDeadline(limit) // fails only if already closed
	}
}

// readLate reads bytes that arrived before the deadline but were not read in time because the process was delayed. It
// does so once per deadline, so that a client gains no time by sending continuously.
func (c *clientConn) readLate(buffer []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	sysConn, ok := c.Conn.(syscall.Conn)
	if !ok || !c.mayReadLate {
		return 0
	}
	c.mayReadLate = false
	raw, err := sysConn.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	// Unlike Read, Control works after the deadline.
	if err := raw.Control(func(fd uintptr) { n = socket.ReadAvailable(int(fd), buffer) }); err != nil {
		return 0
	}
	return n
}

// Write writes to the client. Its deadline counts from the beginning of the write, however long the request has taken,
// and ends the connection of a client that does not read.
func (c *clientConn) Write(data []byte) (int, error) {
	n, err := listener.WriteWithin(c.Conn, data, message.StallTimeout)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.resetOnClose()
	}
	return n, err
}

// resetOnClose makes the close reset the connection. Otherwise a client that does not read would not notice it.
func (c *clientConn) resetOnClose() {
	if tcp, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		_ = tcp.SetLinger(0) // without it the connection is closed too
	}
}

// peerClosed reports whether the client has closed its side, even if bytes before the close are still unread. The HTTP
// server does not notice such a close after it has read ahead or left a request body unread.
func (c *clientConn) peerClosed() bool {
	return socket.PeerClosed(c.Conn)
}

// Close closes the connection. The first call releases its slot.
func (c *clientConn) Close() error {
	err := c.Conn.Close()
	if !c.closed.Swap(true) {
		c.release()
	}
	return err
}
