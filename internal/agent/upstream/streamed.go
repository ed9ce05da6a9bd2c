package upstream

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"net/http"
	"time"

	"fernbeam.example/fernbeam/internal/agent/message"
	"fernbeam.example/fernbeam/internal/balancer"
	"fernbeam.example/fernbeam/internal/clock"
)

// earlyResponseWait is how long a response is waited for after the write of a request failed, and the end of
// the write after an early response.
const earlyResponseWait = 50 * time.Millisecond

// errEarlyResponse ends the write of a request whose response came before its end.
var errEarlyResponse = errors.New("response before the end of the request")

// streamedExchange is the exchange of a message whose body is written as it comes from the client. A response
// that comes before the body's end ends it.
type streamedExchange struct {
	pool     *Pool
	server   *Server
	conn     *serverConn
	outgoing *Message
	heads    chan responseHead // gets the head of the response
	written  chan error        // gets the end of the write
}

func (p *Pool) newStreamedExchange(conn *serverConn, server *Server, outgoing *Message) *streamedExchange {
	return &streamedExchange{
		pool:     p,
		server:   server,
		conn:     conn,
		outgoing: outgoing,
		heads:    make(chan responseHead, 1),
		written:  make(chan error, 1),
	}
}

// run writes a request and reads its response.
func (e *streamedExchange) run(ctx context.Context, req *http.Request) exchangeResult {
	// Until all is written the server has no deadline, except for each chunk.
	e.conn.setReadDeadline(time.Time{})
	go e.readHead(req.Method)
	go e.write(ctx, req)
	var head responseHead
	var writeErr error
	select {
	case writeErr = <-e.written:
		if clientErr := e.outgoing.Streamed.Err(); writeErr != nil && clientErr != nil {
			return e.clientFailed(clientErr)
		}
		head = e.awaitHead(ctx, writeErr)
	case head = <-e.heads:
		writeErr = e.stopWriting()
	}
	return e.finish(head, writeErr)
}

// readHead reads the head of the response.
func (e *streamedExchange) readHead(method string) {
	//nolint:bodyclose // the body has no resources of its own: the pool closes or reuses the connection
	resp, err := readResponseHead(e.conn.reader, method)
	e.heads <- responseHead{resp: resp, err: err}
}

// write writes the request, in chunks as its body arrives.
func (e *streamedExchange) write(ctx context.Context, req *http.Request) {
	to := serverWriter{
		ctx:          ctx,
		conn:         e.conn,
		body:         e.outgoing.Streamed,
		responseTime: e.outgoing.ResponseTime,
	}
	buffered := bufio.NewWriterSize(to, message.ChunkSize)
	err := req.Write(buffered)
	if err == nil {
		err = buffered.Flush()
	}
	e.written <- err
}

// clientFailed ends an exchange whose client broke off the body.
func (e *streamedExchange) clientFailed(clientErr error) exchangeResult {
	e.conn.expireReads()
	<-e.heads
	return exchangeResult{Result: Result{
		Status:    balancer.StatusCancelled,
		Reason:    "client: " + clientErr.Error(),
		ClientErr: clientErr,
	}}
}

// awaitHead waits for the response's head after the write has ended.
func (e *streamedExchange) awaitHead(ctx context.Context, writeErr error) responseHead {
	if writeErr == nil {
		e.outgoing.OnSent()
		e.conn.setReadDeadline(e.outgoing.Streamed.ResponseDeadline(e.outgoing.ResponseTime))
	} else {
		// A response may be there, or on its way behind what the server did not read.
		e.conn.setReadDeadline(time.Now().Add(earlyResponseWait))
	}
	if ctx.Err() != nil { // the deadline just set may have undone the cancellation's
		e.conn.expireReads()
	}
	return <-e.heads
}

// stopWriting ends the write after an early response; its error is nil if the write had ended before.
func (e *streamedExchange) stopWriting() error {
	err := errEarlyResponse
	select {
	case err = <-e.written: // only the notification of its end was later
	case <-time.After(earlyResponseWait):
	}
	if err == nil {
		e.outgoing.OnSent()
		return nil
	}
	// The writer may still wait for the client. What the client sends now is lost.
	e.outgoing.Streamed.Consumed.Store(true)
	e.conn.expireWrites()
	return err
}

// finish reads the response behind its head after the write has ended.
func (e *streamedExchange) finish(head responseHead, writeErr error) exchangeResult {
	if errors.Is(writeErr, errEarlyResponse) && head.resp == nil && bodyMayHaveLeft(e.conn, e.outgoing.Streamed) {
		return e.conn.brokenResult(head.err)
	}
	if writeErr != nil && head.resp == nil {
		// The last byte was never sent, and the connection is closed: the request can't execute.
		return e.conn.unsentResult(cmp.Or(head.err, writeErr))
	}
	result := e.pool.readResponse(e.conn, e.server, head)
	if writeErr != nil && result.Body != nil {
		result.Body.Release()
		return exchangeResult{Result: Result{Status: balancer.StatusError, Reason: writeErr.Error()}}
	}
	result.reusable = result.reusable && writeErr == nil
	return result
}

// bodyMayHaveLeft closes a connection whose writer has not reported how far it came, as it may be blocked, and
// returns whether the last byte of the request may have been written: only if the body was read to its end by
// then.
func bodyMayHaveLeft(conn *serverConn, body *message.StreamedBody) bool {
	_ = conn.Close() // later writes fail; the pool counts the connection when it discards it
	return body.Complete()
}

// serverWriter writes a streamed body to a server, with a deadline for each chunk and not for all of them: no
// later than the client's if its last byte has come.
type serverWriter struct {
	//nolint:containedctx // io.Writer has no context
	ctx          context.Context // cancels the attempt
	conn         *serverConn
	body         *message.StreamedBody
	responseTime time.Duration // the client's time from its last byte on
}

func (w serverWriter) Write(chunk []byte) (int, error) {
	if err := w.ctx.Err(); err != nil {
		return 0, err
	}
	w.conn.setWriteDeadline(clock.Earliest(time.Now().Add(message.StallTimeout), w.body.ResponseDeadline(w.responseTime)))
	return w.conn.Write(chunk)
}
