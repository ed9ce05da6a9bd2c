package agent

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// gatherTime is how long the bytes of an answer that does not tell its length are
// gathered before they are passed on: first bytes count where it proves long.
const bufferingTime = 250 * time.Millisecond

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
