package message

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// ChunkSize is the size of a BodyStream's read buffer in bytes. Each stream has two.
	ChunkSize = 16 << 10
	// SmallChunkSize is their size where the memory budget has no space for larger ones.
	SmallChunkSize = 2 << 10
)

// bodyChunk is the result of one read of a body.
type bodyChunk struct {
	bytes []byte
	err   error
}

// BodyStream is a response body that is forwarded while it is still being read from the server's connection. A
// separate goroutine reads one chunk ahead until the body or the stream ends.
type BodyStream struct {
	chunks    chan bodyChunk
	done      chan struct{}
	closeOnce sync.Once
	complete  bool // the whole body has been read
	// OnEnd is called when the stream has ended. The connection can be reused if the body is complete.
	OnEnd func(complete bool)

	mu              sync.Mutex
	conn            net.Conn
	perReadDeadline bool // each read has its own deadline instead of the attempt's
}

// NewBodyStream returns a stream of body and starts reading it, in chunks of at most chunkSize bytes. Reads are subject
// to the current deadline of conn.
func NewBodyStream(conn net.Conn, body io.Reader, chunkSize int) *BodyStream {
	s := &BodyStream{chunks: make(chan bodyChunk), done: make(chan struct{}), conn: conn}
	go s.read(body, chunkSize)
	return s
}

// read reads the body into two buffers alternately. A receiver must not use a chunk after it has asked for the next.
func (s *BodyStream) read(body io.Reader, chunkSize int) {
	buffers := [2][]byte{make([]byte, chunkSize), make([]byte, chunkSize)}
	for i := 0; ; i = 1 - i {
		s.extendDeadline()
		n, err := body.Read(buffers[i])
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

// UsePerReadDeadline sets a deadline of StallTimeout for each read from now on, in place of the attempt's deadline.
func (s *BodyStream) UsePerReadDeadline() {
	s.mu.Lock()
	s.perReadDeadline = true
	s.mu.Unlock()
	s.extendDeadline()
}

// extendDeadline sets the deadline of the next read if the stream uses per-read deadlines.
func (s *BodyStream) extendDeadline() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.perReadDeadline {
		_ = s.conn.SetReadDeadline(time.Now().Add(StallTimeout)) // on a closed connection the read fails too
	}
}

// finish ends the stream, whether complete or not, and calls OnEnd.
func (s *BodyStream) finish() {
	s.closeOnce.Do(func() {
		close(s.done)
		s.OnEnd(s.complete)
	})
}

// Detach ends a stream that has not been passed on, without calling OnEnd. The attempt keeps the connection.
func (s *BodyStream) Detach() {
	s.closeOnce.Do(func() { close(s.done) })
}

// next waits for the next chunk. The error is io.EOF after the last one.
func (s *BodyStream) next() ([]byte, error) {
	chunk := <-s.chunks
	s.complete = errors.Is(chunk.err, io.EOF)
	return chunk.bytes, chunk.err
}

// BufferCost is the number of bytes that Buffer needs for a limit of MaxBufferedBody.
const BufferCost = MaxBufferedBody + 2*ChunkSize

// collector collects bytes up to a limit. Its buffer grows at most once, as repeated growth takes several times as
// much.
type collector struct {
	bytes []byte
	limit int64
}

func (c *collector) add(chunk []byte) {
	if len(c.bytes)+len(chunk) > cap(c.bytes) {
		c.bytes = append(make([]byte, 0, c.limit), c.bytes...)
	}
	c.bytes = append(c.bytes, chunk...)
}

// Buffer collects chunks until the body ends, exceeds limit bytes or takes longer than timeout. It reserves no bytes of
// a budget; that is left to the caller. The collected bytes are returned even with a non-nil error.
func (s *BodyStream) Buffer(limit int64, timeout time.Duration) (BufferedPart, error) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	collected := collector{bytes: make([]byte, 0, ChunkSize), limit: limit + ChunkSize}
	for int64(len(collected.bytes)) <= limit {
		select {
		case chunk := <-s.chunks:
			collected.add(chunk.bytes)
			s.complete = errors.Is(chunk.err, io.EOF)
			if s.complete {
				return BufferedPart{Bytes: collected.bytes, Complete: true}, nil
			}
			if chunk.err != nil {
				return BufferedPart{Bytes: collected.bytes}, chunk.err
			}
		case <-timer.C:
			return BufferedPart{Bytes: collected.bytes}, nil
		}
	}
	return BufferedPart{Bytes: collected.bytes}, nil
}
