package upstream

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"

	"fernbeam.example/fernbeam/internal/agent/message"
	"fernbeam.example/fernbeam/internal/balancer"
)

// responseHead is the outcome of reading a response head.
type responseHead struct {
	resp *http.Response // nil if err is set
	err  error
}

// readResponse reads the rest of a response after its head. If a response is long, or takes long, the rest of its body
// is returned as a stream.
func (p *Pool) readResponse(conn *serverConn, server *Server, head responseHead) exchangeResult {
	if head.resp == nil {
		return conn.brokenResult(head.err)
	}
	resp := head.resp
	status := responseStatus(resp)
	switch {
	case status != balancer.StatusOK:
		return discardResponseBody(conn, resp, status)
	case mayBuffer(resp) && p.budget.TryAcquire(resp.ContentLength):
		return p.readBufferedBody(conn, resp)
	}
	return p.readStreamedBody(conn, server, resp)
}

// mayBuffer reports whether the length of a response body is known and small enough to buffer.
func mayBuffer(resp *http.Response) bool {
	return resp.ContentLength >= 0 && resp.ContentLength <= message.MaxBufferedBody
}

// discardResponseBody reads the body of a response that is not forwarded. The connection can be reused only once the
// body has been read completely.
func discardResponseBody(conn *serverConn, resp *http.Response, status balancer.Status) exchangeResult {
	read, err := io.Copy(io.Discard, io.LimitReader(resp.Body, message.MaxBufferedBody))
	if err != nil {
		failed := Result{Status: brokenStatus(err), Reason: conn.describeFailure(err)}
		return exchangeResult{Result: failed}
	}
	return exchangeResult{
		Result:   Result{Status: status, Reason: resp.Status},
		reusable: read < message.MaxBufferedBody && conn.reusableAfter(resp),
	}
}

// readBufferedBody reads a body whose length has been reserved in the budget.
func (p *Pool) readBufferedBody(conn *serverConn, resp *http.Response) exchangeResult {
	body := &message.ResponseBody{
		Length:   resp.ContentLength,
		Budget:   p.budget,
		Reserved: resp.ContentLength,
		Buffered: make([]byte, resp.ContentLength),
	}
	if _, err := io.ReadFull(resp.Body, body.Buffered); err != nil {
		body.Release()
		failed := Result{Status: brokenStatus(err), Reason: conn.describeFailure(err)}
		return exchangeResult{Result: failed}
	}
	conn.moveReserved(body)
	result := servedResult(resp, body)
	result.reusable = conn.reusableAfter(resp)
	return result
}

// readStreamedBody starts streaming a body. If the length of the body is unknown, it first buffers what arrives within
// message.BufferingTime, and does not stream a body that is complete by then.
func (p *Pool) readStreamedBody(conn *serverConn, server *Server, resp *http.Response) exchangeResult {
	if !p.streams.TryAcquire(1) {
		return conn.brokenResult(errNoMemory)
	}
	body := &message.ResponseBody{
		Length: resp.ContentLength,
		Budget: p.budget,
		Stream: p.newBodyStream(conn, resp),
	}
	onEnd := body.Stream.OnEnd
	body.Stream.OnEnd = func(complete bool) {
		onEnd(complete)
		if complete && conn.reusableAfter(resp) {
			p.release(conn, server)
		} else {
			p.discard(conn)
		}
	}
	if resp.ContentLength >= 0 || !p.budget.TryAcquire(message.BufferCost) {
		return servedResult(resp, body)
	}
	body.Reserved = message.BufferCost
	part, err := body.Stream.Buffer(message.MaxBufferedBody, message.BufferingTime)
	body.Buffered = part.Bytes
	if err != nil {
		onEnd(false)
		body.Stream.Detach()
		body.Stream = nil
		body.Release()
		failed := Result{Status: brokenStatus(err), Reason: conn.describeFailure(err)}
		return exchangeResult{Result: failed}
	}
	if !part.Complete {
		return servedResult(resp, body)
	}
	onEnd(true)
	body.Length = int64(len(part.Bytes))
	body.Stream = nil
	conn.moveReserved(body)
	result := servedResult(resp, body)
	result.reusable = conn.reusableAfter(resp)
	return result
}

// newBodyStream starts streaming a body. It returns small chunks if the budget has no space for larger ones. OnEnd
// returns the place among the streams and the space in the budget.
func (p *Pool) newBodyStream(conn *serverConn, resp *http.Response) *message.BodyStream {
	const largeBuffers = 2 * message.ChunkSize
	if !p.budget.TryAcquire(largeBuffers) {
		stream := message.NewBodyStream(conn, resp.Body, message.SmallChunkSize)
		stream.OnEnd = func(bool) { p.streams.Release(1) }
		return stream
	}
	stream := message.NewBodyStream(conn, resp.Body, message.ChunkSize)
	stream.OnEnd = func(bool) {
		p.streams.Release(1)
		p.budget.Release(largeBuffers)
	}
	return stream
}

// servedResult returns the result of an exchange whose response is forwarded. Its connection is not marked reusable.
func servedResult(resp *http.Response, body *message.ResponseBody) exchangeResult {
	return exchangeResult{Result: Result{Status: balancer.StatusOK, Header: resp.Header, Body: body}}
}

// brokenStatus maps the error of an attempt to a status. The last byte of the attempt was written, so it may have
// executed. Only an expired deadline of this agent counts as a timeout. The kernel's ETIMEDOUT, whose Timeout method
// also returns true, means that the connection broke.
func brokenStatus(err error) balancer.Status {
	var opError *net.OpError
	switch {
	case errors.Is(err, errNoMemory):
		return balancer.StatusCancelled // the server is not to blame
	case errors.Is(err, os.ErrDeadlineExceeded):
		return balancer.StatusTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &opError):
		return balancer.StatusReset
	}
	return balancer.StatusError // the response can't be parsed
}

// responseStatus maps a final response to a status. Only the header Not-Started, which the server itself sets, proves
// that a request did not execute: a 503 or 504 without it may have been sent in the middle of the execution.
func responseStatus(resp *http.Response) balancer.Status {
	switch resp.StatusCode {
	case http.StatusOK:
		return balancer.StatusOK
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if resp.Header.Get("Not-Started") == "1" {
			return balancer.StatusOverloaded
		}
	case http.StatusBadRequest:
		return balancer.StatusBadRequest
	}
	return balancer.StatusError
}
