package downstream

import (
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"

	"fernbeam.example/fernbeam/internal/agent/socket"
)

const (
	// initialReadBuffer is the size of the buffer for a head, which holds an ordinary one.
	initialReadBuffer = 1 << 10
	// maxReadAhead is how much of later requests is read while a request is in progress, in bytes.
	maxReadAhead = 64 << 10
	// maxUnread is how much beyond that may stay in the receive buffer of the system, in bytes. The end of the connection
	// is then noticed without reading. With more, the receive buffer may be full, and the end may not have arrived.
	maxUnread = 48 << 10
	// fullPause is the interval at which a connection with a full buffer is checked, and at which bytes beyond maxUnread
	// are read and discarded.
	fullPause = 10 * time.Millisecond
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
// would otherwise be hidden behind unread bytes. What no longer fits is discarded, and the connection ends after the
// last request that is complete before that gap.
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

// releaseAll releases what a closed connection has reserved. A read of a body that nobody waits for may still end.
func (c *framedConn) releaseAll() {
	c.reserved.release()
	c.releaseGrown()
}

// watch reads ahead while a request is in progress, until the connection ends or the HTTP server ends the read.
func (c *framedConn) watch() error {
	for {
		err := c.readAhead()
		if err != nil {
			return err
		}
	}
}

// readAhead reads once more into the buffer, or waits for a moment if nothing more may follow what is in it.
func (c *framedConn) readAhead() error {
	if c.discarded {
		return c.watchFull()
	}
	err := c.fill(maxReadAhead)
	if errors.Is(err, errBufferFull) {
		return c.watchFull()
	}
	return err
}

// watchFull watches the connection for a moment without space in the buffer.
func (c *framedConn) watchFull() error {
	time.Sleep(fullPause)
	switch {
	case c.closed.Load():
		return net.ErrClosed
	case c.readDeadlinePassed():
		return os.ErrDeadlineExceeded
	case c.peerClosed():
		return io.EOF
	case socket.UnreadBytes(c.Conn) <= maxUnread:
		return nil
	}
	return c.discard()
}

// discard reads bytes that nobody will read.
func (c *framedConn) discard() error {
	c.discarded = true
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
		if size > 0 && c.discarded && !c.isBuffered(size) {
			return errDiscarded
		}
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

// isBuffered reports whether the request whose head has the given size is in the buffer with its whole body.
func (c *framedConn) isBuffered(size int) bool {
	head := parseHead(c.buffer[:size])
	return !head.hasUnknownBody && int64(size)+head.bodySize <= int64(len(c.buffer))
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
