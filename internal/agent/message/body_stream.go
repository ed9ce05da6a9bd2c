package message

import (
	"bytes"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// ChunkSize is how much of a body a stream holds at a time; there are two such chunks.
const ChunkSize = 16 << 10

// bodyChunk is what one read of a body returned.
type bodyChunk struct {
	bytes []byte
	err   error
}

// BodyStream is a body that is read from a server's connection while it is passed on. A goroutine of its own
// reads one chunk ahead, until the end of the body or of the stream.
type BodyStream struct {
	chunks    chan bodyChunk
	done      chan struct{}
	closeOnce sync.Once
	complete  bool // its reader has seen the end
	// OnEnd is called when the stream has ended. Its connection may carry another message if the body is complete.
	OnEnd func(complete bool)

	mu              sync.Mutex
	conn            net.Conn
	perReadDeadline bool // each read has its own deadline, and no longer the attempt's
}

// NewBodyStream begins to read a body, under the deadline that its connection has.
func NewBodyStream(conn net.Conn, body io.Reader) *BodyStream {
	s := &BodyStream{chunks: make(chan bodyChunk), done: make(chan struct{}), conn: conn}
	go s.read(body)
	return s
}

// read reads into two buffers in turn: whoever takes a chunk is done with it before the next one.
func (s *BodyStream) read(body io.Reader) {
	var buffers [2][ChunkSize]byte
	for i := 0; ; i = 1 - i {
		s.extendDeadline()
		n, err := body.Read(buffers[i][:])
		select {
		case s.chunks <- bodyChunk{bytes: buffers[i][:n], err: err}:
		case <-s.done:
			return
		}
		if err != nil {
			return
		}
	}
}

// UsePerReadDeadline gives each read a deadline of its own from now on, in place of the attempt's.
func (s *BodyStream) UsePerReadDeadline() {
	s.mu.Lock()
	s.perReadDeadline = true
	s.mu.Unlock()
	s.extendDeadline()
}

// extendDeadline sets the deadline of the next read where the stream has deadlines of its own.
func (s *BodyStream) extendDeadline() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.perReadDeadline {
		_ = s.conn.SetReadDeadline(time.Now().Add(StallTimeout)) // a closed connection fails in the read too
	}
}

// finish ends the stream, complete or not, and its connection's use.
func (s *BodyStream) finish() {
	s.closeOnce.Do(func() {
		close(s.done)
		s.OnEnd(s.complete)
	})
}

// Detach ends the stream before anyone has it, without its connection, which is then still the attempt's.
func (s *BodyStream) Detach() {
	s.closeOnce.Do(func() { close(s.done) })
}

// next waits for the next chunk.
func (s *BodyStream) next() ([]byte, error) {
	chunk := <-s.chunks
	s.complete = errors.Is(chunk.err, io.EOF)
	return chunk.bytes, chunk.err
}

// Buffer collects chunks until the body ends, has more than limit bytes or takes longer than timeout. It reserves
// nothing of a budget. What it has collected it returns also with an error.
func (s *BodyStream) Buffer(limit int64, timeout time.Duration) (BufferedPart, error) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	var collected bytes.Buffer
	for int64(collected.Len()) <= limit {
		select {
		case chunk := <-s.chunks:
			collected.Write(chunk.bytes)
			s.complete = errors.Is(chunk.err, io.EOF)
			if s.complete {
				return BufferedPart{Bytes: collected.Bytes(), Complete: true}, nil
			}
			if chunk.err != nil {
				return BufferedPart{Bytes: collected.Bytes()}, chunk.err
			}
		case <-timer.C:
			return BufferedPart{Bytes: collected.Bytes()}, nil
		}
	}
	return BufferedPart{Bytes: collected.Bytes()}, nil
}
