package message

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// BufferingTime is how long the bytes of a response without a length are buffered before they are passed on:
// where the response turns out long its first bytes should not wait.
const BufferingTime = 250 * time.Millisecond

// ResponseBody is the body of a response on its way to the client. Its last owner releases it.
type ResponseBody struct {
	Buffered []byte
	Stream   *BodyStream // the rest; nil: all of the body is buffered
	Length   int64       // -1: not given
	Budget   Quota
	Reserved int64 // bytes of the budget
}

// Release gives back what the body holds; a stream that has not come to its end is cut off.
func (b *ResponseBody) Release() {
	if b == nil {
		return
	}
	if b.Reserved > 0 {
		b.Budget.Release(b.Reserved)
	}
	b.Reserved = 0
	if b.Stream != nil {
		b.Stream.finish()
	}
}

// CopyTo writes the body to the client as it arrives, and returns the error of the side that broke it off.
func (b *ResponseBody) CopyTo(w http.ResponseWriter) (fromServer, toClient error) {
	out := flushingWriter{w: w, control: http.NewResponseController(w)}
	if err := out.write(b.Buffered); err != nil {
		return nil, err
	}
	if b.Stream == nil {
		return nil, nil
	}
	for {
		chunk, err := b.Stream.next()
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

func (f flushingWriter) write(chunk []byte) error {
	_ = f.control.SetWriteDeadline(time.Now().Add(StallTimeout)) // a closed connection fails in the write too
	if _, err := f.w.Write(chunk); err != nil {
		return err
	}
	return f.control.Flush()
}
