package downstream

import (
	"errors"
	"time"
)

// The read buffer of a framedConn holds a head until it is returned, and what is read ahead.

// take moves up to limit bytes from the buffer to p.
func (c *framedConn) take(p []byte, limit int64) int {
	n := copy(p, c.buffer[:min(limit, int64(len(c.buffer)))])
	c.drop(n)
	return n
}

// drop removes the first n bytes of the buffer.
func (c *framedConn) drop(n int) {
	c.buffer = append(c.buffer[:0], c.buffer[n:]...)
	c.scanned = 0
	c.arrivals.consume(n)
	if len(c.buffer) == 0 {
		c.shrink()
	}
}

// fill reads more bytes into the buffer. It returns errBufferFull if that can't be made larger.
func (c *framedConn) fill(limit int) error {
	if len(c.buffer) == cap(c.buffer) && !c.grow(limit) {
		return errBufferFull
	}
	n, err := c.clientConn.Read(c.buffer[len(c.buffer):cap(c.buffer)])
	if n > 0 {
		c.buffer = c.buffer[:len(c.buffer)+n]
		c.arrivals.add(n, time.Now())
		return nil
	}
	return err
}

// errBufferFull is returned by fill.
var errBufferFull = errors.New("no space in the read buffer")

// grow makes the buffer larger, up to limit bytes, if the budget has space.
func (c *framedConn) grow(limit int) bool {
	if c.buffer == nil {
		c.buffer = make([]byte, 0, initialReadBuffer)
		return true
	}
	size := min(2*cap(c.buffer), limit)
	if size <= cap(c.buffer) || !c.admission.reserveBuffer(int64(size)) {
		return false
	}
	c.buffer = append(make([]byte, 0, size), c.buffer...)
	c.admission.releaseBuffer(c.grown.Swap(int64(size)))
	if c.closed.Load() {
		c.releaseGrown() // a close in the meantime may not have seen it
		return false
	}
	return true
}

// releaseGrown releases what the buffer has reserved. It may be called from any goroutine.
func (c *framedConn) releaseGrown() { c.admission.releaseBuffer(c.grown.Swap(0)) }

// shrink gives up a buffer that has grown.
func (c *framedConn) shrink() {
	if c.grown.Load() > 0 {
		c.buffer = nil
		c.releaseGrown()
	}
}
