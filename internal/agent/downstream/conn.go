package downstream

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"fernbeam.example/fernbeam/internal/agent/socket"
)

// connKey is the context key of a request's *clientConn.
type connKey struct{}

// clientConn is a client's connection that reports whether this agent has closed it, and that can be closed
// between two requests without losing one that has just arrived.
type clientConn struct {
	net.Conn
	release      func() // gives its slot back
	closed       atomic.Bool
	requestBegun atomic.Bool // bytes have arrived since it was idle last
	// queuedAt is when its first request may have arrived, where that waited to be accepted. It belongs to the
	// goroutine that serves the connection.
	queuedAt time.Time

	mu           sync.Mutex
	closeIfIdle  bool      // its reader was woken to close it if no bytes have arrived
	readDeadline time.Time // the reader's own deadline
	mayReadLate  bool      // readLate may be called once that deadline has passed
}

// closeWhenIdle has the connection closed by its reader, unless a request has begun.
func (c *clientConn) closeWhenIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.requestBegun.Load() {
		c.closeIfIdle = true
		_ = c.Conn.SetReadDeadline(socket.Expired) // fails only once it is closed
	}
}

// SetReadDeadline sets the reader's deadline; for a reader that was woken to close it is set later.
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

// wokenToClose reports whether the reader was woken to close the connection, and restores its own deadline:
// nothing can be read under one that has passed.
func (c *clientConn) wokenToClose() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closeIfIdle {
		return false
	}
	c.closeIfIdle = false
	_ = c.Conn.SetReadDeadline(c.readDeadline) // fails only once it is closed
	return true
}

// Read is where a connection that is to be closed ends, or whose deadline has passed. It checks once more for
// bytes that have arrived, so that no request is lost that was there before.
func (c *clientConn) Read(buffer []byte) (int, error) {
	for {
		n, err := c.Conn.Read(buffer)
		timedOut := n == 0 && errors.Is(err, os.ErrDeadlineExceeded)
		if timedOut && c.wokenToClose() {
			if !c.requestBegun.Load() && socket.IsIdleAlive(c.Conn) {
				return 0, err
			}
			continue
		}
		if timedOut {
			n = c.readLate(buffer)
		}
		if n > 0 {
			c.requestBegun.Store(true)
			return n, nil
		}
		return n, err
	}
}

// readLate reads bytes that arrived before the deadline and were not read in time, as the process was delayed.
// It does so once for each deadline: a client that keeps sending gains no time by it.
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
	// Control works past the deadline, unlike Read.
	if err := raw.Control(func(fd uintptr) { n = socket.ReadNow(int(fd), buffer) }); err != nil {
		return 0
	}
	return n
}

// peerClosed reports whether the client has closed its side, also behind bytes that nobody has read: a server
// that has read ahead of a request, or leaves its body unread, does not notice.
func (c *clientConn) peerClosed() bool {
	return socket.PeerClosed(c.Conn)
}

// Close closes the connection and gives its slot back, once.
func (c *clientConn) Close() error {
	err := c.Conn.Close()
	if !c.closed.Swap(true) {
		c.release()
	}
	return err
}
