package message

import (
	"cmp"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// MaxBufferedBody is the size of the largest body that is buffered completely. Larger ones are streamed.
	MaxBufferedBody = 64 << 10
	// MaxRequestBody is the size limit for request bodies: 1.5 times the largest that clients send.
	MaxRequestBody = 48 << 20
	// BodyGracePeriod and minBodyRate (bytes per second) limit the time that a client may take to send a body. The limit
	// is the grace period plus the time that the received bytes take at minBodyRate, which is half of the rate guaranteed
	// to well-behaved clients. No pause may exceed the grace period, because stalled connections have to be closed
	// within 3 s.
	BodyGracePeriod, minBodyRate = 2500 * time.Millisecond, 32 << 10
	// LingerTimeout limits how long the agent continues to read after a request that was not accepted, so that the
	// client can read the response.
	LingerTimeout = 300 * time.Millisecond
	// discardBufferSize is the size of the buffer of Discard, in bytes.
	discardBufferSize = 1 << 10
	// StallTimeout is the maximum time without progress in the transfer of a streamed body to a server, from a server or
	// to a client.
	StallTimeout = 10 * time.Second
)

// ClientBody reads a request body from a client and fails if the body arrives too slowly. Only the time spent waiting
// for the client counts, not the time that the server takes to read.
type ClientBody struct {
	Control *http.ResponseController

	mu       sync.Mutex // one goroutine reads at a time
	Source   io.Reader
	received atomic.Int64
	waitTime time.Duration
	maxPause time.Duration           // longest pause between two reads that return bytes; 0 means BodyGracePeriod
	end      atomic.Pointer[bodyEnd] // nil: the body is still arriving
}

// bodyEnd is the error that ended a body (io.EOF if the body is complete) and the time at which it ended.
type bodyEnd struct {
	err error
	at  time.Time
}

// Read reads from the client with a deadline that depends on the bytes received so far.
func (b *ClientBody) Read(buffer []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if end := b.end.Load(); end != nil {
		return 0, end.err
	}
	now := time.Now()
	maxPause := cmp.Or(b.maxPause, BodyGracePeriod)
	left := BodyGracePeriod + time.Duration(b.received.Load())*time.Second/minBodyRate - b.waitTime
	// SetReadDeadline fails only for connections without deadlines, and all client connections have them.
	_ = b.Control.SetReadDeadline(now.Add(min(left, maxPause)))
	n, err := b.Source.Read(buffer)
	b.waitTime += time.Since(now)
	b.received.Add(int64(n))
	if err != nil {
		b.end.Store(&bodyEnd{err: err, at: time.Now()})
		_ = b.Control.SetReadDeadline(readDeadlineAfter(err)) // as above
	}
	return n, err
}

// Discard reads the rest of a body that nobody needs, so that the client can send it and then read the response.
func (b *ClientBody) Discard() {
	var scratch [discardBufferSize]byte
	for {
		if _, err := b.Read(scratch[:]); err != nil {
			return
		}
	}
}

// DiscardRefused reads what follows a request that was refused for lack of memory, up to MaxRefusedBody bytes and until
// the client pauses for LingerTimeout. A client that sends more has as long to read the response.
func (b *ClientBody) DiscardRefused() {
	b.mu.Lock()
	b.maxPause = LingerTimeout
	b.mu.Unlock()
	var scratch [discardBufferSize]byte
	pace := DiscardPace{}
	for read := 0; read < MaxRefusedBody; {
		n, err := b.Read(scratch[:])
		if err != nil {
			return
		}
		read += n
		pace.Wait(n)
	}
	time.Sleep(LingerTimeout)
}

// MaxRefusedBody is how much is read of the body of a refused request, in bytes: all of an ordinary one.
const MaxRefusedBody = 64 << 10

const (
	// discardStep is the number of bytes that are discarded between two pauses of discardPause. Clients that send at full
	// speed would otherwise take the processor from others.
	discardStep, discardPause = 4 << 10, 4 * time.Millisecond
)

// DiscardPace limits the rate at which bytes of one connection are read and discarded. The zero value is ready to use.
type DiscardPace struct{ sincePause int }

// Wait is called after n bytes have been discarded, and pauses if necessary.
func (p *DiscardPace) Wait(n int) {
	p.sincePause += n
	if p.sincePause >= discardStep {
		p.sincePause = 0
		time.Sleep(discardPause)
	}
}

// readDeadlineAfter returns the read deadline of a client connection after a body that ended with err. After a complete
// body there is no deadline, because the server reads on to detect that the client closes the connection. After an
// incomplete body, the agent continues to read for LingerTimeout.
func readDeadlineAfter(err error) time.Time {
	if errors.Is(err, io.EOF) {
		return time.Time{}
	}
	return time.Now().Add(LingerTimeout)
}

// Complete reports whether the whole body has been received.
func (b *ClientBody) Complete() bool {
	end := b.end.Load()
	return end != nil && errors.Is(end.err, io.EOF)
}

// Err returns the error that ended the body before it was complete, if any.
func (b *ClientBody) Err() error {
	end := b.end.Load()
	if end == nil || errors.Is(end.err, io.EOF) {
		return nil
	}
	return end.err
}

// ResponseDeadline returns the deadline of the response. The timeout counts from the last byte of the body. While the
// body is incomplete, it counts from now: if the server has stopped reading, the last byte may have arrived unread.
func (b *ClientBody) ResponseDeadline(timeout time.Duration) time.Time {
	if end := b.end.Load(); end != nil {
		return end.at.Add(timeout)
	}
	return time.Now().Add(timeout)
}

// StreamedBody is the part of a request body that is not buffered. It is read from the client while it is written to
// a server, so it can be sent at most once.
type StreamedBody struct {
	*ClientBody
	Length   int64       // of the whole body; -1 if unknown
	Consumed atomic.Bool // set once bytes have been read or lost
	// Unread returns the number of bytes that have arrived from the client and have not been read. If it is nil, that is
	// not known.
	Unread func() int

	waitingSince time.Time // since when the client may have sent its last byte; owned by the goroutine that reads
}

// maxUnseen is the greatest number of bytes that a client may have sent and that have not arrived: the largest send
// buffer that the kernel gives by default.
const maxUnseen = 8 << 20

// WriteDeadline returns the deadline of a write to a server that does not take the body as fast as the client sends it.
// The request's timeout counts from the last byte, which the client may have sent although it has not been read.
func (s *StreamedBody) WriteDeadline(timeout time.Duration) time.Time {
	now := time.Now()
	if end := s.end.Load(); end != nil {
		return end.at.Add(timeout)
	}
	unread := 0
	if s.Unread != nil {
		unread = s.Unread()
	}
	isFar := s.Length >= 0 && s.Length-s.received.Load() > int64(unread)+maxUnseen
	if isFar || unread == 0 {
		s.waitingSince = time.Time{}
	}
	switch {
	case isFar:
		return now.Add(StallTimeout)
	case unread == 0:
		return now.Add(min(timeout, StallTimeout)) // the rest may arrive while the write waits
	case s.waitingSince.IsZero():
		s.waitingSince = now
	}
	return s.waitingSince.Add(timeout)
}

// Read reads from the client and marks the body as consumed.
func (s *StreamedBody) Read(buffer []byte) (int, error) {
	n, err := s.ClientBody.Read(buffer)
	if n > 0 {
		s.Consumed.Store(true)
	}
	return n, err
}

// IsConsumed reports whether bytes of the body have been read, so that it can't be sent again. It is false for nil.
func (s *StreamedBody) IsConsumed() bool {
	return s != nil && s.Consumed.Load()
}
