package upstream

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"time"

	"fernbeam.example/fernbeam/internal/agent/message"
	"fernbeam.example/fernbeam/internal/balancer"
)

// earlyResponseWait is how long to wait for a response after the write of the request has failed. It is also how long
// to wait for the write to end after an early response.
const earlyResponseWait = 50 * time.Millisecond

// errEarlyResponse is the error of a write during which the response arrived.
var errEarlyResponse = errors.New("response before the end of the request")

// streamedExchange is the exchange of a message whose body is forwarded as it arrives from the client. A response that
// arrives before the end of the body ends the write.
type streamedExchange struct {
	pool     *Pool
	server   *Server
	conn     *serverConn
	outgoing *Message
	heads    chan responseHead // receives the head of the response
	written  chan error        // receives the error of the write, or nil
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

// run writes req and reads its response.
func (e *streamedExchange) run(ctx context.Context, req *http.Request) exchangeResult {
	// Until the whole request is written, only the write of each chunk has a deadline.
	e.conn.setReadDeadline(time.Time{})
	go e.readHead(req.Method)
	go e.write(ctx, req)
	var head responseHead
	var writeErr error
	select {
	case writeErr = <-e.written:
		if clientErr := e.clientError(writeErr); clientErr != nil {
			return e.clientFailed(clientErr)
		}
		head = e.awaitHead(ctx, writeErr)
	case head = <-e.heads:
		writeErr = e.stopWriting()
		e.limitResponse(ctx, e.responseDeadline())
	}
	return e.finish(head, writeErr)
}

// readHead reads the head of the response and sends it to e.heads.
func (e *streamedExchange) readHead(method string) {
	//nolint:bodyclose // the body has no resources of its own: the pool closes or reuses the connection
	resp, err := e.conn.readHead(method, e.pool.budget)
	e.heads <- responseHead{resp: resp, err: err}
}

// write writes the request in chunks as its body arrives, and sends the error to e.written.
func (e *streamedExchange) write(ctx context.Context, req *http.Request) {
	to := serverWriter{
		ctx:          ctx,
		conn:         e.conn,
		body:         e.outgoing.Streamed,
		responseTime: e.outgoing.ResponseTime,
	}
	e.written <- writeStreamed(to, req, e.checkClient)
}

// clientError returns the client's error that ended the write with writeErr, or nil if there is none.
func (e *streamedExchange) clientError(writeErr error) error {
	switch {
	case writeErr == nil:
		return nil
	case errors.Is(writeErr, ErrClientGone):
		return writeErr
	}
	return e.outgoing.Streamed.Err()
}

// checkClient returns an error if the client has closed its connection. Where the client left behind a long body, the
// close shows only once the whole body has been read.
func (e *streamedExchange) checkClient() error {
	if gone := e.outgoing.ClientGone; gone != nil && gone() {
		return ErrClientGone
	}
	return nil
}

// clientFailed ends an exchange whose body the client did not complete.
func (e *streamedExchange) clientFailed(clientErr error) exchangeResult {
	e.conn.expireReads()
	<-e.heads
	return exchangeResult{Result: Result{
		Status:    balancer.StatusCancelled,
		Reason:    "client: " + clientErr.Error(),
		ClientErr: clientErr,
	}}
}

// awaitHead waits for the head of the response after the write has ended.
func (e *streamedExchange) awaitHead(ctx context.Context, writeErr error) responseHead {
	if writeErr == nil {
		e.outgoing.OnSent()
		e.limitResponse(ctx, e.responseDeadline())
	} else {
		// The server may have sent a response before it stopped reading.
		e.limitResponse(ctx, time.Now().Add(earlyResponseWait))
	}
	return <-e.heads
}

// responseDeadline returns when the attempt stops waiting for the rest of the response. If the response is early, the
// client's last byte may never be read, so that the time for the response counts from now.
func (e *streamedExchange) responseDeadline() time.Time {
	return e.outgoing.Streamed.ResponseDeadline(e.outgoing.ResponseTime)
}

// limitResponse sets the deadline for reading the response, which had none while the request was being written.
func (e *streamedExchange) limitResponse(ctx context.Context, deadline time.Time) {
	e.conn.setReadDeadline(deadline)
	if ctx.Err() != nil { // the new deadline may have replaced that of the cancellation
		e.conn.expireReads()
	}
}

// stopWriting ends the write after an early response. The error is nil if the write had already succeeded.
func (e *streamedExchange) stopWriting() error {
	err := errEarlyResponse
	select {
	case err = <-e.written: // the write may have ended before the response arrived
	case <-time.After(earlyResponseWait):
	}
	if err == nil {
		e.outgoing.OnSent()
		return nil
	}
	// The writer may still be waiting for the client. What the client sends from now on is lost.
	e.outgoing.Streamed.Consumed.Store(true)
	e.conn.expireWrites()
	return err
}

// finish reads the rest of the response after the write has ended, and returns the result of the exchange.
func (e *streamedExchange) finish(head responseHead, writeErr error) exchangeResult {
	if errors.Is(writeErr, errEarlyResponse) && head.resp == nil && closeAndCheckSent(e.conn, e.outgoing.Streamed) {
		return e.conn.brokenResult(head.err)
	}
	if writeErr != nil && head.resp == nil {
		// The last byte was never sent, and the connection gets closed: the request can't execute.
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

// closeAndCheckSent closes a connection whose writer may be blocked and has not reported how much it wrote. It reports
// whether the last byte of the request may have been written. That is possible only if the body was read to its end
// before the connection was closed.
func closeAndCheckSent(conn *serverConn, body *message.StreamedBody) bool {
	_ = conn.Close() // makes later writes fail; the pool stops counting the connection in discard
	return body.Complete()
}

// serverWriter writes a streamed body to a server. The deadline applies to each chunk, not to the whole body. Once the
// client may have sent its last byte, the deadline is never after the end of the response time.
type serverWriter struct {
	//nolint:containedctx // io.Writer has no context
	ctx          context.Context // cancels the attempt
	conn         *serverConn
	body         *message.StreamedBody
	responseTime time.Duration // time for the response, from the client's last byte on
}

func (w serverWriter) Write(chunk []byte) (int, error) {
	if err := w.ctx.Err(); err != nil {
		return 0, err
	}
	w.conn.setWriteDeadline(w.body.WriteDeadline(w.responseTime))
	return w.conn.Write(chunk)
}
