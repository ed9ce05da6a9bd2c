package agent

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// connKey is the key of a request's *clientConn in its context.
type connKey struct{}

// clientConn is a client's connection that tells whether this agent has closed it, and ends
// between two requests without crossing one.
type clientConn struct {
	net.Conn
	release      func() // gives its slot back
	closed       atomic.Bool
	requestBegun atomic.Bool // bytes have come since it idled last
	// queuedAt is when its first request may have come, where that waited to be accepted.
	// It belongs to the goroutine that serves the connection.
	queuedAt time.Time

	mu           sync.Mutex
	closeIfIdle  bool      // to be closed if nothing has come: its reader is woken to look
	readDeadline time.Time // the reader's own deadline
	mayReadLate  bool      // one look at what has come is left once that is over
}

// leave has the connection closed by whoever reads it, unless a request has come.
func (c *clientConn) closeWhenIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.requestBegun.Load() {
		c.closeIfIdle = true
		c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// SetReadDeadline sets the reader's deadline; one that is woken keeps it for later.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	c.mayReadLate = t.After(time.Now())
	if c.closeIfIdle {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// woken tells whether the reader was woken to leave, and gives it its own deadline back:
// nothing can be looked at under one that is past.
func (c *clientConn) wokenToClose() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closeIfIdle {
		return false
	}
	c.closeIfIdle = false
	c.Conn.SetReadDeadline(c.readDeadline)
	return true
}

// Read is where a connection that is to leave ends, or whose time is over. Its reader looks
// once more at what has come, so that no request is crossed that was there before.
func (c *clientConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		expired := n == 0 && errors.Is(err, os.ErrDeadlineExceeded)
		if expired && c.wokenToClose() {
			if !c.requestBegun.Load() && isIdleConnAlive(c.Conn) {
				return 0, err
			}
			continue
		}
		if expired {
			n = c.readLate(p)
		}
		if n > 0 {
			c.requestBegun.Store(true)
			return n, nil
		}
		return n, err
	}
}

// lastLook reads what came before the deadline and was not read in time, as the process was
// held up. It does so once for each deadline: who goes on sending gains no time by it.
func (c *clientConn) readLate(p []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	sc, ok := c.Conn.(syscall.Conn)
	if !ok || !c.mayReadLate {
		return 0
	}
	c.mayReadLate = false
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	if err := raw.Control(func(fd uintptr) { n = readNow(int(fd), p) }); err != nil { // unlike Read past the deadline
		return 0
	}
	return n
}

// gone tells whether the client has closed its side, also behind bytes that nobody has read:
// a server that has read ahead of a request, or leaves its body unread, does not notice.
func (c *clientConn) peerClosed() bool {
	return pollSocket(c.Conn, unix.POLLRDHUP, peerClosedEvents)
}

func (c *clientConn) Close() error {
	err := c.Conn.Close()
	if !c.closed.Swap(true) {
		c.release()
	}
	return err
}
