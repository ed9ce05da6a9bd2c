package agent

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"net/http"
	"time"

	"fernbeam.example/fernbeam/internal/balancer"
)

// earlyAnswer is how long the answer of a backend is waited for that takes no more of a
// long request, and the news that all is written once its answer is there.
const earlyResponseWait = 50 * time.Millisecond

var errEarlyResponse = errors.New("response before the end of the request")

// long makes the exchange of a long message: it is written as it comes from the client, and
// an answer that is there before its end ends it.
func (p *connectionPool) exchangeStreamed(ctx context.Context, cn *serverConn, b *upstreamServer, m *upstreamMessage, req *http.Request, reusable *bool) (r attemptResult, unsent bool) {
	type head struct {
		resp *http.Response
		err  error
	}
	// Until all is written the backend has no time to keep, but for each piece.
	cn.SetReadDeadline(time.Time{})
	heads, written := make(chan head, 1), make(chan error, 1)
	go func() {
		resp, err := readResponseHead(cn.reader, req.Method)
		heads <- head{resp, err}
	}()
	go func() {
		w := bufio.NewWriterSize(serverWriter{ctx, cn, m.streamed, m.responseTime}, chunkSize)
		err := req.Write(w)
		if err == nil {
			err = w.Flush()
		}
		written <- err
	}()
	var h head
	var err error
	select {
	case err = <-written:
		switch client := m.streamed.failure(); {
		case err == nil:
			m.onSent()
			cn.SetReadDeadline(m.streamed.respondBy(m.responseTime))
		case client != nil:
			cn.SetReadDeadline(time.Unix(1, 0))
			<-heads
			return attemptResult{status: balancer.StatusCancelled, reason: "client: " + client.Error(), clientErr: client}, false
		default: // an answer may be there, or on its way behind what was not read
			cn.SetReadDeadline(time.Now().Add(earlyResponseWait))
		}
		if ctx.Err() != nil { // the deadlines just set may have undone the withdrawal's
			cn.SetReadDeadline(time.Unix(1, 0))
		}
		h = <-heads
	case h = <-heads:
		err = errEarlyResponse
		select {
		case err = <-written: // only the news of it was later
		case <-time.After(earlyResponseWait):
		}
		if err == nil {
			m.onSent()
		} else {
			// Who writes may yet wait for the client. What that brings is gone.
			m.streamed.consumed.Store(true)
			cn.SetWriteDeadline(time.Unix(1, 0))
		}
	}
	if errors.Is(err, errEarlyResponse) && h.resp == nil && bodyMayHaveLeft(cn, m.streamed) {
		status := brokenStatus(h.err)
		return attemptResult{status: status, reason: cn.describeFailure(h.err), connectionLost: status == balancer.StatusReset}, false
	}
	if err != nil && h.resp == nil {
		// The last byte never left, and the connection is closed: it cannot run.
		err = cmp.Or(h.err, err)
		return attemptResult{status: writeFailureStatus(err), reason: cn.describeFailure(err)}, true
	}
	if r, *reusable = p.readResponse(cn, b, h.resp, h.err); err != nil && r.body != nil {
		r.body.release()
		return attemptResult{status: balancer.StatusError, reason: err.Error()}, false
	}
	*reusable = *reusable && err == nil
	return r, false
}

// mayHaveLeft closes a connection whose writer has not told how far it came, as it may be held up, and returns
// whether the last byte of the request may have been written: only if the body was read to its end by then.
func bodyMayHaveLeft(cn *serverConn, body *streamedBody) bool {
	_ = cn.Close() // whoever writes from now on fails; the pool counts the connection when it closes it
	return body.complete()
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
