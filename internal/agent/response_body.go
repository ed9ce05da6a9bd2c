package agent

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// bufferingTime is how long the bytes of a response without a length are buffered before they are passed on:
// where the response turns out long its first bytes should not wait.
const bufferingTime = 250 * time.Millisecond

// responseBody is the body of a response on its way to the client. Its last owner releases it.
type responseBody struct {
	buffered []byte
	stream   *bodyStream // the rest; nil: all of the body is buffered
	length   int64       // -1: not given
	budget   quota
	reserved int64 // bytes of the budget
}

// release gives back what the body holds; a stream that has not come to its end is cut off.
func (b *responseBody) release() {
	if b == nil {
		return
	}
	if b.reserved > 0 {
		b.budget.Release(b.reserved)
	}
	b.reserved = 0
	if b.stream != nil {
		b.stream.finish()
	}
}

// copyTo writes the body to the client as it arrives, and returns the error of the side that broke it off.
func (b *responseBody) copyTo(w http.ResponseWriter) (fromServer, toClient error) {
	out := flushingWriter{w, http.NewResponseController(w)}
	if err := out.write(b.buffered); err != nil {
		return nil, err
	}
	if b.stream == nil {
		return nil, nil
	}
	for {
		chunk, err := b.stream.next()
		if len(chunk) > 0 {
			if err := out.write(chunk); err != nil {
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
}

// flushingWriter writes to a client without delay, with a deadline for each write.
type flushingWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
}

func (f flushingWriter) write(p []byte) error {
	_ = f.control.SetWriteDeadline(time.Now().Add(stallTimeout)) // a closed connection fails in the write too
	if _, err := f.w.Write(p); err != nil {
		return err
	}
	return f.control.Flush()
}
