package message

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// BufferingTime limits how long the first bytes of a response of unknown length are buffered before they are forwarded.
// Without the limit, the first bytes of a response that takes long would be held back.
const BufferingTime = 250 * time.Millisecond

// ResponseBody is the body of a response to the client. Its last owner must call Release.
type ResponseBody struct {
	Buffered []byte
	Stream   *BodyStream // the rest; nil if the whole body is buffered
	Length   int64       // -1 if unknown
	Budget   Quota
	Reserved int64 // bytes reserved of Budget
}

// Release returns the reserved bytes to the budget and ends the stream, even if it is incomplete.
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

// CopyTo writes the body to the client as it arrives. It returns the error of the side that failed, if any.
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

// flushingWriter flushes after each write to a client.
type flushingWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
}

func (f flushingWriter) write(chunk []byte) error {
	if _, err := f.w.Write(chunk); err != nil {
		return err
	}
	return f.control.Flush()
}
