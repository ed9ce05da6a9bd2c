package agent

import (
	"bytes"
	"io"
	"sync"
	"time"
)

// pieceSize is what a stream holds of a body at a time; there are two.
const chunkSize = 16 << 10

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
