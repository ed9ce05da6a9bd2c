package upstream

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"

	"fernbeam.example/fernbeam/internal/agent/memory"
)

// bufferedBody is the body of a request that is completely buffered. It is written without a copy.
type bufferedBody struct{ bytes []byte }

// streamedBody is the body of a request that is not completely buffered.
type streamedBody struct{ source io.Reader }

// errBodyNotRead is the error of reading a body that is written by this package and not by net/http.
var errBodyNotRead = errors.New("the body is not read by net/http")

func (bufferedBody) Read([]byte) (int, error) { return 0, errBodyNotRead }
func (bufferedBody) Close() error             { return nil }
func (streamedBody) Read([]byte) (int, error) { return 0, errBodyNotRead }
func (streamedBody) Close() error             { return nil }

// headEnd is a body that can't be read and records that the head has been written.
type headEnd struct{ reached bool }

func (h *headEnd) Read([]byte) (int, error) {
	h.reached = true
	return 0, errBodyNotRead
}

func (*headEnd) Close() error { return nil }

// encodeHead returns the text of a request's head.
func encodeHead(req *http.Request) ([]byte, error) {
	headOnly := *req
	end := &headEnd{}
	if req.Body != nil {
		headOnly.Body = end
	}
	var head bytes.Buffer
	if err := headOnly.Write(&head); err != nil && !end.reached {
		return nil, err
	}
	return head.Bytes(), nil
}

// maxCopiedBody is the size of the largest body that is copied behind its head, in bytes.
const maxCopiedBody = 4 << 10

// writeBuffered writes a request whose body is buffered. It reports whether the last byte was written.
func writeBuffered(conn net.Conn, req *http.Request) (sent bool, err error) {
	head, err := encodeHead(req)
	if err != nil {
		return false, err
	}
	body, _ := req.Body.(bufferedBody)
	if len(body.bytes) <= maxCopiedBody {
		text := slices.Concat(head, body.bytes)
		n, err := conn.Write(text)
		return n == len(text), err
	}
	if _, err := conn.Write(head); err != nil {
		return false, err
	}
	n, err := conn.Write(body.bytes)
	return n == len(body.bytes), err
}

const (
	// chunkPrefix is the space before a chunk for its size.
	chunkPrefix = 16
	chunkEnd    = "\r\n"
	lastChunk   = "0\r\n\r\n"
)

// bodyWriter writes a streamed body to a server in chunks, as it arrives.
type bodyWriter struct {
	to     io.Writer
	body   io.Reader
	length int64 // -1 if unknown
	buffer []byte
	// beforeLastByte is called before the last byte is written. An error prevents that.
	beforeLastByte func() error
}

// writeStreamed writes a request in chunks as its body arrives. It calls beforeLastByte before it writes the last byte,
// and does not write it if that returns an error.
func writeStreamed(to io.Writer, req *http.Request, beforeLastByte func() error) error {
	head, err := encodeHead(req)
	if err != nil {
		return err
	}
	if _, err := to.Write(head); err != nil {
		return err
	}
	body, _ := req.Body.(streamedBody)
	w := bodyWriter{
		to:             to,
		body:           body.source,
		length:         req.ContentLength,
		buffer:         make([]byte, memory.UploadChunk),
		beforeLastByte: beforeLastByte,
	}
	if w.length < 0 {
		return w.writeChunked()
	}
	return w.writeLength()
}

// writeLength writes a body of known length.
func (w *bodyWriter) writeLength() error {
	for left := w.length; left > 0; {
		n, err := w.body.Read(w.buffer[:min(left, int64(len(w.buffer)))])
		left -= int64(n)
		if left > 0 && err != nil {
			if errors.Is(err, io.EOF) {
				return io.ErrUnexpectedEOF
			}
			return err
		}
		if left == 0 {
			if err := w.beforeLastByte(); err != nil {
				return err
			}
		}
		if _, err := w.to.Write(w.buffer[:n]); err != nil {
			return err
		}
	}
	return nil
}

// writeChunked writes a body of unknown length in the chunked encoding.
func (w *bodyWriter) writeChunked() error {
	for {
		n, readErr := w.body.Read(w.buffer[chunkPrefix : len(w.buffer)-len(chunkEnd)])
		if n > 0 {
			if err := w.writeChunk(n); err != nil {
				return err
			}
		}
		switch {
		case errors.Is(readErr, io.EOF):
			if err := w.beforeLastByte(); err != nil {
				return err
			}
			_, err := io.WriteString(w.to, lastChunk)
			return err
		case readErr != nil:
			return readErr
		}
	}
}

// writeChunk writes the n bytes after the prefix in the buffer as a chunk, in one write.
func (w *bodyWriter) writeChunk(n int) error {
	size := fmt.Appendf(nil, "%x\r\n", n)
	start := chunkPrefix - len(size)
	copy(w.buffer[start:], size)
	end := chunkPrefix + n
	end += copy(w.buffer[end:], chunkEnd)
	_, err := w.to.Write(w.buffer[start:end])
	return err
}
