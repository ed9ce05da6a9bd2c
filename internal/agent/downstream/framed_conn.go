package downstream

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"fernbeam.example/fernbeam/internal/agent/message"
)

const (
	// initialReadBuffer is the size of the buffer for a head, which holds an ordinary one.
	initialReadBuffer = 1 << 10
	// maxReadAhead is how much of later requests is read while a request is in progress, in bytes.
	maxReadAhead = 64 << 10
	// discardPause limits the rate at which bytes beyond maxReadAhead are read and discarded.
	discardPause = 10 * time.Millisecond
	// A connection pauses for pacePause after each requestsPerPause requests that were already waiting.
	requestsPerPause, pacePause = 4, time.Millisecond
)

// errDiscarded ends a connection on which bytes have been discarded.
var errDiscarded = errors.New("bytes after the last complete request were discarded")

// framedConn is a client connection of which the HTTP server reads one request at a time. A head is returned once it is
// complete and admitted, and never together with bytes of its body or of the next request, so that no request is parsed
// whose cost is unknown.
//
// While a request is in progress, what follows it is read ahead in order to notice the end of the connection, which
// would otherwise be hidden behind unread bytes.
//
// The HTTP server never reads concurrently. All fields without a lock are owned by its reader.
type framedConn struct {
	*clientConn

	admission *admission
	buffer    []byte       // received, not returned by Read yet
	grown     atomic.Int64 // bytes reserved for a buffer larger than initialReadBuffer
	scanned   int          // part of buffer that contains no end of a head
	headLeft  int          // part of buffer that belongs to the head being returned
	bodyLeft  int64        // bytes of the body of the current request that have not been returned
	// withoutPause is the number of requests since the client last had to be waited for.
	withoutPause int
	opaque       bool // the end of the current request is not known; no request may follow it
	isChunked    bool // the body of the current request is chunked
	trailer      trailerFilter
	discarded    bool // bytes were discarded: no request may follow those in the buffer
	arrivals     arrivalTimes
	// lastByteAt is when the last byte of the current request arrived, if it arrived while an earlier one was in progress.
	lastByteAt time.Time
	reserved   reservation // for the current request
	// servedShort is set while the last response was a short one, which the client's request was served with.
	servedShort atomic.Bool
	inRequest   bool // a head has been returned, and its response is not complete
}

// Read returns bytes of the current request, or waits for the next one.
func (c *framedConn) Read(p []byte) (int, error) {
	switch {
	case len(p) == 0:
		return 0, nil
	case c.headLeft > 0:
		n := c.take(p, int64(c.headLeft))
		c.headLeft -= n
		return n, nil
	case c.opaque:
		return c.readOpaque(p)
	case c.bodyLeft > 0:
		n, err := c.readBody(p, c.bodyLeft)
		c.bodyLeft -= int64(n)
		return n, err
	case c.inRequest:
		return 0, c.watch()
	}
	if err := c.awaitHead(); err != nil {
		return 0, err
	}
	return c.Read(p)
}

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

// readBody reads up to limit bytes of a body.
func (c *framedConn) readBody(p []byte, limit int64) (int, error) {
	if len(c.buffer) > 0 {
		return c.take(p, limit), nil
	}
	return c.clientConn.Read(p[:min(limit, int64(len(p)))])
}

// readOpaque reads from a body whose end is not known, without the fields of its trailer.
func (c *framedConn) readOpaque(p []byte) (int, error) {
	for {
		n, err := c.readBody(p, int64(len(p)))
		if !c.isChunked {
			return n, err
		}
		kept, malformed := c.trailer.filter(p[:n])
		if malformed != nil {
			return len(kept), malformed
		}
		if len(kept) > 0 || err != nil {
			return len(kept), err
		}
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

// releaseAll releases what a closed connection has reserved. A read of a body that nobody waits for may still end.
func (c *framedConn) releaseAll() {
	c.reserved.release()
	c.releaseGrown()
}

// watch reads ahead while a request is in progress, until the connection ends or the HTTP server ends the read.
func (c *framedConn) watch() error {
	for {
		err := c.fill(maxReadAhead)
		if errors.Is(err, errBufferFull) {
			c.discarded = true
			err = c.discard()
		}
		if err != nil {
			return err
		}
	}
}

// discard reads bytes that nobody will read.
func (c *framedConn) discard() error {
	time.Sleep(discardPause)
	var scratch [initialReadBuffer]byte
	_, err := c.clientConn.Read(scratch[:])
	return err
}

// awaitHead waits until a head is complete and admitted. It answers a head that is not admitted and ends the
// connection.
func (c *framedConn) awaitHead() error {
	if len(c.buffer) > 0 {
		c.markBegun()
	}
	for waited := false; ; waited = true {
		size := findHeadEnd(c.buffer, c.scanned)
		if size > 0 {
			c.pace(waited)
			return c.begin(size, waited)
		}
		c.scanned = max(len(c.buffer)-len("\n\r"), 0)
		if c.discarded {
			return errDiscarded
		}
		err := c.fill(maxRequestHead)
		if errors.Is(err, errBufferFull) {
			return c.refuse(c.headRefusal())
		}
		if err != nil {
			return err
		}
	}
}

// pace limits the rate of requests that follow each other without a pause. Their goroutines would otherwise take turns
// on a processor without ever waiting, and others would be served late. waited tells that the client had to be waited
// for.
func (c *framedConn) pace(waited bool) {
	if waited {
		c.withoutPause = 0
		return
	}
	c.withoutPause++
	if c.withoutPause%requestsPerPause == 0 {
		time.Sleep(pacePause)
	}
}

// headRefusal returns the status for a head for which the buffer has no space.
func (c *framedConn) headRefusal() int {
	if len(c.buffer) >= maxRequestHead {
		return http.StatusRequestHeaderFieldsTooLarge
	}
	return http.StatusServiceUnavailable
}

// begin admits the request whose head is complete in the buffer. waited tells that the client had to be waited for.
func (c *framedConn) begin(size int, waited bool) error {
	head := parseHead(c.buffer[:size])
	c.bodyLeft, c.opaque = head.bodySize, head.hasUnknownBody
	c.isChunked, c.trailer = head.isChunked, trailerFilter{}
	c.lastByteAt = c.arrivals.timeOf(int64(size) + head.bodySize)
	reserved, status := c.admission.admit(head, waited && c.servedShort.Load())
	if status != 0 {
		c.drop(size)
		return c.refuse(status)
	}
	c.reserved = reserved
	c.headLeft = size
	c.inRequest = true
	return nil
}

// requestDone records that the response to the current request is complete.
func (c *framedConn) requestDone() {
	c.inRequest = false
	c.reserved.release()
	c.lastByteAt = time.Time{}
}

// arrivalTime returns when the current request has arrived, given that it has been read completely by now. It is
// earlier than now if the request waited for its turn, in the accept queue or behind another request.
func (c *framedConn) arrivalTime(now time.Time) time.Time {
	switch {
	case !c.queuedAt.IsZero():
		return c.queuedAt
	case !c.lastByteAt.IsZero():
		return c.lastByteAt
	}
	return now
}

// refuse answers a request that is not admitted. It then reads on for a while, so that the client can send the rest and
// read the answer, and ends the connection.
func (c *framedConn) refuse(status int) error {
	c.admission.countRefusal(status)
	if err := c.admission.writeRefusal(c.Conn, status); err != nil {
		return err
	}
	if status == http.StatusServiceUnavailable {
		c.skip(min(c.bodyLeft-int64(len(c.buffer)), message.MaxRefusedBody), message.BodyGracePeriod)
	} else {
		c.skip(maxRequestHead, message.LingerTimeout)
	}
	return io.EOF
}

// skip reads and discards up to size bytes, within a time and while no pause exceeds message.LingerTimeout.
func (c *framedConn) skip(size int64, timeout time.Duration) {
	until := time.Now().Add(timeout)
	var scratch [initialReadBuffer]byte
	for pace := (message.DiscardPace{}); size > 0 && time.Now().Before(until); {
		_ = c.SetReadDeadline(time.Now().Add(message.LingerTimeout)) // a failure shows in the read
		n, err := c.clientConn.Read(scratch[:])
		if err != nil {
			return
		}
		size -= int64(n)
		pace.Wait(n)
	}
}
