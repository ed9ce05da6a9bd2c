package message

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// MaxBufferedBody is the longest body that is buffered completely; a longer one is streamed.
	MaxBufferedBody = 64 << 10
	// MaxRequestBody is the longest body of a request: half as long again as any that clients send.
	MaxRequestBody = 48 << 20
	// BodyGracePeriod and minBodyRate (bytes per second) bound the time that a client may take for a body: it
	// has the grace period, and more by the bytes that it sent, at half of the rate that is promised to well-behaved
	// clients. It may never send nothing for longer than the grace period: connections that stall have to be
	// closed within 3 s.
	BodyGracePeriod, minBodyRate = 2500 * time.Millisecond, 32 << 10
	// LingerTimeout bounds how long what follows a request that was not accepted is read, so that its sender
	// can read the response.
	LingerTimeout = 300 * time.Millisecond
	// StallTimeout is how long a server may send or take nothing of a long body, and a client take nothing of
	// one.
	StallTimeout = 10 * time.Second
)

// ClientBody reads a client's body and ends one that arrives too slowly. Only the time that is spent waiting
// for the client counts, not the time that a server takes to read.
type ClientBody struct {
	Control *http.ResponseController

	mu       sync.Mutex // one goroutine reads at a time
	Source   io.Reader
	received int64
	waitTime time.Duration
	end      atomic.Pointer[bodyEnd] // nil: the body is still arriving
}

// bodyEnd says what ended a body, and when; io.EOF: it is complete.
type bodyEnd struct {
	err error
	at  time.Time
}

// Read reads from the client, under a deadline by what the client has sent so far.
func (b *ClientBody) Read(buffer []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if end := b.end.Load(); end != nil {
		return 0, end.err
	}
	now := time.Now()
	left := BodyGracePeriod + time.Duration(b.received)*time.Second/minBodyRate - b.waitTime
	// Setting it fails only where a connection has no deadlines, as no client's does.
	_ = b.Control.SetReadDeadline(now.Add(min(left, BodyGracePeriod)))
	n, err := b.Source.Read(buffer)
	b.waitTime += time.Since(now)
	b.received += int64(n)
	if err != nil {
		b.end.Store(&bodyEnd{err: err, at: time.Now()})
		_ = b.Control.SetReadDeadline(readDeadlineAfter(err)) // as above
	}
	return n, err
}

// readDeadlineAfter is until when the server may read on a connection behind a body that ended with err: with
// no limit behind a complete one, to see the client close, or for the rest of a broken one.
func readDeadlineAfter(err error) time.Time {
	if errors.Is(err, io.EOF) {
		return time.Time{}
	}
	return time.Now().Add(LingerTimeout)
}

// Complete reports whether all of the body has arrived.
func (b *ClientBody) Complete() bool {
	end := b.end.Load()
	return end != nil && errors.Is(end.err, io.EOF)
}

// Err is the error that ended the body before it was complete; nil: there is none.
func (b *ClientBody) Err() error {
	end := b.end.Load()
	if end == nil || errors.Is(end.err, io.EOF) {
		return nil
	}
	return end.err
}

// ResponseDeadline is when the response is due at the latest to a request that gives so much time from its last byte
// on. That byte may have arrived, unread, while a server takes nothing more.
func (b *ClientBody) ResponseDeadline(timeout time.Duration) time.Time {
	if end := b.end.Load(); end != nil {
		return end.at.Add(timeout)
	}
	return time.Now().Add(timeout)
}

// StreamedBody is the part of a request's body that is not buffered: it is read from the client while it is
// written to a server, so it can be sent once at most.
type StreamedBody struct {
	*ClientBody
	Length   int64       // of the complete body; -1: not given
	Consumed atomic.Bool // bytes have been read or are lost
}

// Read reads from the client and notes that the body can no longer be sent again.
func (s *StreamedBody) Read(buffer []byte) (int, error) {
	n, err := s.ClientBody.Read(buffer)
	if n > 0 {
		s.Consumed.Store(true)
	}
	return n, err
}

// IsConsumed reports whether bytes of the body have been read, so that it can't be sent again.
func (s *StreamedBody) IsConsumed() bool {
	return s != nil && s.Consumed.Load()
}
