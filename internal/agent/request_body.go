package agent

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxBody is the longest body that is kept whole; what is longer is streamed.
	maxBufferedBody = 64 << 10
	// maxLong is the longest body of a request: half as long again as any that clients send.
	maxRequestBody = 48 << 20
	// bodyGrace and bodyPace bound the time that a client may take for a body: it has the
	// grace, and more by the bytes that it brought, at half of the pace that is owed to
	// honest ones. It may never bring nothing for longer than the grace: peers that stop
	// are owed an end within 3 s.
	bodyGracePeriod, minBodyRate = 2500 * time.Millisecond, 32 << 10
	// stall is how long a server may bring or take nothing of a long body, and a client take
	// nothing of one.
	stallTimeout = 10 * time.Second
)

// newBudget counts the bytes of bodies that are kept: a sixth of the memory. What streams and
// the rest of the process need grows with the connections, which the descriptors bound.
func newBodyBudget(c *Config) quota { return newQuota(int64(c.MemoryMB) << 20 / 6) }

// clientBody reads a client's body and ends one that comes too slowly. Only the time that
// is spent waiting for the client counts, not the time that a server takes to read.
type clientBody struct {
	control *http.ResponseController

	mu       sync.Mutex // one reads at a time
	from     io.Reader
	received int64
	waitTime time.Duration
	end      atomic.Pointer[bodyEnd] // nil: it is still coming
}

// bodyEnd tells what ended a body, and when; io.EOF: it has come whole.
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
	// A connection that has no deadlines can't be a client's.
	_ = b.control.SetReadDeadline(now.Add(min(left, bodyGracePeriod)))
	n, err := b.from.Read(p)
	b.waitTime += time.Since(now)
	b.received += int64(n)
	if err != nil {
		b.end.Store(&bodyEnd{err, time.Now()})
		_ = b.control.SetReadDeadline(readDeadlineAfter(err))
	}
	return n, err
}

// whole tells whether all of the body has come.
func (b *clientBody) complete() bool {
	end := b.end.Load()
	return end != nil && end.err == io.EOF
}

// broken is what ended the body before its end, if anything did.
func (b *clientBody) failure() error {
	if end := b.end.Load(); end != nil && end.err != io.EOF {
		return end.err
	}
	return nil
}

// answerBy is when the answer is due at the latest to a request that gives so much time
// from its last byte on. That may have come, unread, while a server takes nothing more.
func (b *clientBody) respondBy(within time.Duration) time.Time {
	if end := b.end.Load(); end != nil {
		return end.at.Add(within)
	}
	return time.Now().Add(within)
}

// readDeadlineAfter is until when the server may read on a connection behind a body that
// ended with err: with no bound, to see the client leave, or for the rest of a broken one.
func readDeadlineAfter(err error) time.Time {
	if err == io.EOF {
		return time.Time{}
	}
	return time.Now().Add(badRequestReadTime)
}

// longBody is the part of a request's body that is not kept: it is read from the client
// while it goes to a server, so that it goes out once at most.
type streamedBody struct {
	*clientBody
	length   int64 // of the whole body; -1: not told
	consumed atomic.Bool
}

func (l *streamedBody) Read(p []byte) (int, error) {
	n, err := l.clientBody.Read(p)
	if n > 0 {
		l.consumed.Store(true)
	}
	return n, err
}

// spent tells whether bytes of the body are gone, so that it can't be sent again.
func (l *streamedBody) isConsumed() bool {
	if l == nil {
		return false
	}
	return l.consumed.Load()
}

// gather reads what is to be kept of a body of a length (-1: not told), as far as the budget
// has room, and tells whether that is all of it, and what of the budget it holds.
func (q quota) readBody(from io.Reader, length int64) (kept []byte, whole bool, held int64, err error) {
	most := int64(maxBufferedBody)
	if length >= 0 {
		most = min(most, length)
	}
	if !q.TryAcquire(most) {
		return nil, length == 0, 0, nil
	}
	if length >= 0 {
		kept = make([]byte, most)
		n, err := io.ReadFull(from, kept)
		if most < length || err == nil {
			return kept[:n], most == length, most, err
		}
		return kept[:n], false, most, err
	}
	kept, err = io.ReadAll(io.LimitReader(from, most))
	return kept, int64(len(kept)) < most, most, err
}
