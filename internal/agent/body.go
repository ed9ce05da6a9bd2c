package agent

import (
	"bytes"
	"context"
	"errors"
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
	// pieceSize is what a stream holds of a body at a time; there are two.
	chunkSize = 16 << 10
	// bodyGrace and bodyPace bound the time that a client may take for a body: it has the
	// grace, and more by the bytes that it brought, at half of the pace that is owed to
	// honest ones. It may never bring nothing for longer than the grace: peers that stop
	// are owed an end within 3 s.
	bodyGracePeriod, minBodyRate = 2500 * time.Millisecond, 32 << 10
	// stall is how long a server may bring or take nothing of a long body, and a client take
	// nothing of one.
	stallTimeout = 10 * time.Second
	// gatherTime is how long the bytes of an answer that does not tell its length are
	// gathered before they are passed on: first bytes count where it proves long.
	bufferingTime = 250 * time.Millisecond
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

// readDeadlineAfter is until when the server may read on a connection behind a body that
// ended with err: with no bound, to see the client leave, or for the rest of a broken one.
func readDeadlineAfter(err error) time.Time {
	if err == io.EOF {
		return time.Time{}
	}
	return time.Now().Add(badRequestReadTime)
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

// payload is the body of an answer on its way to the client. Whoever has it last ends it.
type responseBody struct {
	buffered []byte
	stream   *bodyStream // nil: kept is all
	length   int64       // -1: not told
	budget   quota
	reserved int64
}

// end gives back what the payload holds; a stream that has not come to its end is cut off.
func (p *responseBody) release() {
	if p == nil {
		return
	}
	if p.reserved > 0 {
		p.budget.Release(p.reserved)
	}
	p.reserved = 0
	if p.stream != nil {
		p.stream.finish()
	}
}

// piece is what one read of a body brought.
type bodyChunk struct {
	bytes []byte
	err   error
}

// stream is a body that is read from a server's connection while it is passed on. A
// goroutine of its own reads one piece ahead, until the body's end or the stream's.
type bodyStream struct {
	chunks    chan bodyChunk
	done      chan struct{}
	closeOnce sync.Once
	complete  bool // its reader has seen the end
	// close ends the connection's use; it may carry another message if the body is whole.
	close func(whole bool)

	mu          sync.Mutex
	conn        *serverConn
	ownDeadline bool // it goes by progress, no longer by the attempt's deadline
}

// newStream begins to read a body, under the deadline that its connection has.
func newStream(cn *serverConn, body io.Reader) *bodyStream {
	s := &bodyStream{chunks: make(chan bodyChunk), done: make(chan struct{}), conn: cn}
	go s.read(body)
	return s
}

func (s *bodyStream) read(body io.Reader) {
	var halves [2][chunkSize]byte
	for i := 0; ; i = 1 - i { // whoever takes a piece is done with it before the next
		s.extendDeadline(false)
		n, err := body.Read(halves[i][:])
		select {
		case s.chunks <- bodyChunk{halves[i][:n], err}:
		case <-s.done:
			return
		}
		if err != nil {
			return
		}
	}
}

// pace sets the deadline of a read where the stream goes by progress: from now on, if free.
func (s *bodyStream) extendDeadline(free bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ownDeadline = s.ownDeadline || free; s.ownDeadline {
		s.conn.SetReadDeadline(time.Now().Add(stallTimeout))
	}
}

// end ends the stream, whole or not, and its connection's use.
func (s *bodyStream) finish() {
	s.closeOnce.Do(func() {
		close(s.done)
		s.close(s.complete)
	})
}

// leave ends the stream before anyone has it; its connection is not its own then.
func (s *bodyStream) detach() { s.closeOnce.Do(func() { close(s.done) }) }

// next waits for the next piece.
func (s *bodyStream) next() ([]byte, error) {
	p := <-s.chunks
	s.complete = p.err == io.EOF
	return p.bytes, p.err
}

// ahead gathers pieces until the body ends, has more than is kept or takes longer than is
// waited for, and tells which.
func (s *bodyStream) buffer(most int64, patience time.Duration) (kept []byte, whole bool, err error) {
	over := time.NewTimer(patience)
	defer over.Stop()
	var all bytes.Buffer
	for int64(all.Len()) <= most {
		select {
		case p := <-s.chunks:
			all.Write(p.bytes)
			if s.complete = p.err == io.EOF; p.err != nil {
				if s.complete {
					p.err = nil
				}
				return all.Bytes(), s.complete, p.err
			}
		case <-over.C:
			return all.Bytes(), false, nil
		}
	}
	return all.Bytes(), false, nil
}

// passOn writes an answer's body to the client as it comes, and tells which side broke it off.
func (p *responseBody) copyTo(w http.ResponseWriter) (fromServer, toClient error) {
	control := http.NewResponseController(w)
	put := func(b []byte) error {
		_ = control.SetWriteDeadline(time.Now().Add(stallTimeout))
		if _, err := w.Write(b); err != nil {
			return err
		}
		return control.Flush()
	}
	if err := put(p.buffered); err != nil {
		return nil, err
	}
	for p.stream != nil {
		b, err := p.stream.next()
		if len(b) > 0 {
			if err := put(b); err != nil {
				return nil, err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil, nil
		}
		if err != nil {
			return err, nil
		}
	}
	return nil, nil
}

// serverWriter writes a long body to a server, which has a time for each piece, not for the
// whole: no more than the client has if its last byte has come.
type serverWriter struct {
	ctx          context.Context // withdraws the attempt
	conn         *serverConn
	body         *streamedBody
	responseTime time.Duration // the client's time from its last byte on
}

func (w serverWriter) Write(p []byte) (int, error) {
	if err := w.ctx.Err(); err != nil {
		return 0, err
	}
	w.conn.SetWriteDeadline(earliest(time.Now().Add(stallTimeout), w.body.respondBy(w.responseTime)))
	return w.conn.Write(p)
}
