package agent

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxBufferedBody is the longest body that is buffered as a whole; a longer one is streamed.
	maxBufferedBody = 64 << 10
	// maxRequestBody is the longest body of a request: half as long again as any that clients send.
	maxRequestBody = 48 << 20
	// bodyGracePeriod and minBodyRate (bytes per second) bound the time that a client may take for a body: it
	// has the grace period, and more by the bytes that it sent, at half of the rate that is promised to honest
	// clients. It may never send nothing for longer than the grace period: connections that stall have to be
	// closed within 3 s.
	bodyGracePeriod, minBodyRate = 2500 * time.Millisecond, 32 << 10
	// badRequestReadTime bounds how long what follows a request that was not accepted is read, so that its sender
	// can read the response.
	badRequestReadTime = 300 * time.Millisecond
	// stallTimeout is how long a server may send or take nothing of a long body, and a client take nothing of
	// one.
	stallTimeout = 10 * time.Second
)

// clientBody reads a client's body and ends one that arrives too slowly. Only the time that is spent waiting
// for the client counts, not the time that a server takes to read.
type clientBody struct {
	control *http.ResponseController

	mu       sync.Mutex // one goroutine reads at a time
	from     io.Reader
	received int64
	waitTime time.Duration
	end      atomic.Pointer[bodyEnd] // nil: the body is still arriving
}

// bodyEnd says what ended a body, and when; io.EOF: it is complete.
type bodyEnd struct {
	err error
	at  time.Time
}

func (b *clientBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if end := b.end.Load(); end != nil {
		return 0, end.err
	}
	now := time.Now()
	left := bodyGracePeriod + time.Duration(b.received)*time.Second/minBodyRate - b.waitTime
	// A connection without deadlines is not a client's.
	_ = b.control.SetReadDeadline(now.Add(min(left, bodyGracePeriod)))
	n, err := b.from.Read(p)
	b.waitTime += time.Since(now)
	b.received += int64(n)
	if err != nil {
		b.end.Store(&bodyEnd{err, time.Now()})
		_ = b.control.SetReadDeadline(readDeadlineAfter(err)) // as above
	}
	return n, err
}

// readDeadlineAfter is until when the server may read on a connection behind a body that ended with err: with
// no limit behind a complete one, to see the client close, or for the rest of a broken one.
func readDeadlineAfter(err error) time.Time {
	if errors.Is(err, io.EOF) {
		return time.Time{}
	}
	return time.Now().Add(badRequestReadTime)
}

// complete tells whether all of the body has arrived.
func (b *clientBody) complete() bool {
	end := b.end.Load()
	return end != nil && errors.Is(end.err, io.EOF)
}

// failure is the error that ended the body before it was complete; nil: there is none.
func (b *clientBody) failure() error {
	end := b.end.Load()
	if end == nil || errors.Is(end.err, io.EOF) {
		return nil
	}
	return end.err
}

// respondBy is when the response is due at the latest to a request that gives so much time from its last byte
// on. That byte may have arrived, unread, while a server takes nothing more.
func (b *clientBody) respondBy(timeout time.Duration) time.Time {
	if end := b.end.Load(); end != nil {
		return end.at.Add(timeout)
	}
	return time.Now().Add(timeout)
}

// streamedBody is the part of a request's body that is not buffered: it is read from the client while it is
// written to a server, so it can be sent once at most.
type streamedBody struct {
	*clientBody
	length   int64 // of the whole body; -1: not given
	consumed atomic.Bool
}

func (s *streamedBody) Read(p []byte) (int, error) {
	n, err := s.clientBody.Read(p)
	if n > 0 {
		s.consumed.Store(true)
	}
	return n, err
}

// isConsumed tells whether bytes of the body have been read, so that it can't be sent again.
func (s *streamedBody) isConsumed() bool {
	return s != nil && s.consumed.Load()
}
