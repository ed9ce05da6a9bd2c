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
	maxBody = 64 << 10
	// maxLong is the longest body of a request: half as long again as any that clients send.
	maxLong = 48 << 20
	// pieceSize is what a stream holds of a body at a time; there are two.
	pieceSize = 16 << 10
	// bodyGrace and bodyPace bound the time that a client may take for a body: it has the
	// grace, and more by the bytes that it brought, at half of the pace that is owed to
	// honest ones. It may never bring nothing for longer than the grace: peers that stop
	// are owed an end within 3 s.
	bodyGrace, bodyPace = 2500 * time.Millisecond, 32 << 10
	// stall is how long a server may bring or take nothing of a long body, and a client take
	// nothing of one.
	stall = 10 * time.Second
	// gatherTime is how long the bytes of an answer that does not tell its length are
	// gathered before they are passed on: first bytes count where it proves long.
	gatherTime = 250 * time.Millisecond
)

// newBudget counts the bytes of bodies that are kept: a sixth of the memory. What streams and
// the rest of the process need grows with the connections, which the descriptors bound.
func newBudget(c *Config) quota { return newQuota(int64(c.MemoryMB) << 20 / 6) }

// clientBody reads a client's body and ends one that comes too slowly. Only the time that
// is spent waiting for the client counts, not the time that a server takes to read.
type clientBody struct {
	control *http.ResponseController

	mu     sync.Mutex // one reads at a time
	from   io.Reader
	got    int64
	waited time.Duration
	end    atomic.Pointer[bodyEnd] // nil: it is still coming
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
	left := bodyGrace + time.Duration(b.got)*time.Second/bodyPace - b.waited
	// A connection that has no deadlines can't be a client's.
	_ = b.control.SetReadDeadline(now.Add(min(left, bodyGrace)))
	n, err := b.from.Read(p)
	b.waited += time.Since(now)
	b.got += int64(n)
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
	return time.Now().Add(rejectTime)
}

// whole tells whether all of the body has come.
func (b *clientBody) whole() bool {
	end := b.end.Load()
	return end != nil && end.err == io.EOF
}

// broken is what ended the body before its end, if anything did.
func (b *clientBody) broken() error {
	if end := b.end.Load(); end != nil && end.err != io.EOF {
		return end.err
	}
	return nil
}

// answerBy is when the answer is due at the latest to a request that gives so much time
// from its last byte on. That may have come, unread, while a server takes nothing more.
func (b *clientBody) answerBy(within time.Duration) time.Time {
	if end := b.end.Load(); end != nil {
		return end.at.Add(within)
	}
	return time.Now().Add(within)
}

// longBody is the part of a request's body that is not kept: it is read from the client
// while it goes to a server, so that it goes out once at most.
type longBody struct {
	*clientBody
	length int64 // of the whole body; -1: not told
	taken  atomic.Bool
}

func (l *longBody) Read(p []byte) (int, error) {
	n, err := l.clientBody.Read(p)
	if n > 0 {
		l.taken.Store(true)
	}
	return n, err
}

// spent tells whether bytes of the body are gone, so that it can't be sent again.
func (l *longBody) spent() bool {
	if l == nil {
		return false
	}
	return l.taken.Load()
}

// gather reads what is to be kept of a body of a length (-1: not told), as far as the budget
// has room, and tells whether that is all of it, and what of the budget it holds.
func (q quota) gather(from io.Reader, length int64) (kept []byte, whole bool, held int64, err error) {
	most := int64(maxBody)
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
type payload struct {
	kept   []byte
	rest   *stream // nil: kept is all
	length int64   // -1: not told
	budget quota
	held   int64
}

// end gives back what the payload holds; a stream that has not come to its end is cut off.
func (p *payload) end() {
	if p == nil {
		return
	}
	if p.held > 0 {
		p.budget.Release(p.held)
	}
	p.held = 0
	if p.rest != nil {
		p.rest.end()
	}
}

// piece is what one read of a body brought.
type piece struct {
	bytes []byte
	err   error
}

// stream is a body that is read from a server's connection while it is passed on. A
// goroutine of its own reads one piece ahead, until the body's end or the stream's.
type stream struct {
	pieces chan piece
	over   chan struct{}
	ended  sync.Once
	whole  bool // its reader has seen the end
	// close ends the connection's use; it may carry another message if the body is whole.
	close func(whole bool)

	mu   sync.Mutex
	conn *conn
	free bool // it goes by progress, no longer by the attempt's deadline
}

// newStream begins to read a body, under the deadline that its connection has.
func newStream(cn *conn, body io.Reader) *stream {
	s := &stream{pieces: make(chan piece), over: make(chan struct{}), conn: cn}
	go s.read(body)
	return s
}

func (s *stream) read(body io.Reader) {
	var halves [2][pieceSize]byte
	for i := 0; ; i = 1 - i { // whoever takes a piece is done with it before the next
		s.pace(false)
		n, err := body.Read(halves[i][:])
		select {
		case s.pieces <- piece{halves[i][:n], err}:
		case <-s.over:
			return
		}
		if err != nil {
			return
		}
	}
}

// pace sets the deadline of a read where the stream goes by progress: from now on, if free.
func (s *stream) pace(free bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.free = s.free || free; s.free {
		s.conn.SetReadDeadline(time.Now().Add(stall))
	}
}

// end ends the stream, whole or not, and its connection's use.
func (s *stream) end() {
	s.ended.Do(func() {
		close(s.over)
		s.close(s.whole)
	})
}

// leave ends the stream before anyone has it; its connection is not its own then.
func (s *stream) leave() { s.ended.Do(func() { close(s.over) }) }

// next waits for the next piece.
func (s *stream) next() ([]byte, error) {
	p := <-s.pieces
	s.whole = p.err == io.EOF
	return p.bytes, p.err
}

// ahead gathers pieces until the body ends, has more than is kept or takes longer than is
// waited for, and tells which.
func (s *stream) ahead(most int64, patience time.Duration) (kept []byte, whole bool, err error) {
	over := time.NewTimer(patience)
	defer over.Stop()
	var all bytes.Buffer
	for int64(all.Len()) <= most {
		select {
		case p := <-s.pieces:
			all.Write(p.bytes)
			if s.whole = p.err == io.EOF; p.err != nil {
				if s.whole {
					p.err = nil
				}
				return all.Bytes(), s.whole, p.err
			}
		case <-over.C:
			return all.Bytes(), false, nil
		}
	}
	return all.Bytes(), false, nil
}

// passOn writes an answer's body to the client as it comes, and tells which side broke it off.
func (p *payload) passOn(w http.ResponseWriter) (fromServer, toClient error) {
	control := http.NewResponseController(w)
	put := func(b []byte) error {
		_ = control.SetWriteDeadline(time.Now().Add(stall))
		if _, err := w.Write(b); err != nil {
			return err
		}
		return control.Flush()
	}
	if err := put(p.kept); err != nil {
		return nil, err
	}
	for p.rest != nil {
		b, err := p.rest.next()
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
	ctx    context.Context // withdraws the attempt
	cn     *conn
	body   *longBody
	within time.Duration // the client's time from its last byte on
}

func (w serverWriter) Write(p []byte) (int, error) {
	if err := w.ctx.Err(); err != nil {
		return 0, err
	}
	w.cn.SetWriteDeadline(earliest(time.Now().Add(stall), w.body.answerBy(w.within)))
	return w.cn.Write(p)
}
