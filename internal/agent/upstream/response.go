package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"

	"fernbeam.example/fernbeam/internal/agent/message"
	"fernbeam.example/fernbeam/internal/balancer"
)

const (
	// maxResponseHead is the largest head of a response.
	maxResponseHead = 16 << 10
	// maxInterimResponses bounds the interim responses (1xx) before a final one.
	maxInterimResponses = 8
	// protocolPrefix is how the head of a response begins.
	protocolPrefix = "HTTP/1."
)

var (
	endOfHead   = regexp.MustCompile(`\n\r?\n`)
	lengthField = regexp.MustCompile(`(?i)\ncontent-length[ \t]*:`)
	codingField = regexp.MustCompile(`(?i)\ntransfer-encoding[ \t]*:`)
)

// responseHead is the end of the read of a response's head.
type responseHead struct {
	resp *http.Response // nil: err says why there is none
	err  error
}

// readResponse reads the response behind its head. A response that is long, or takes long, is returned with its rest
// as a stream.
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

// mayBuffer reports whether a response's body has a given length that may be buffered.
func mayBuffer(resp *http.Response) bool {
	return resp.ContentLength >= 0 && resp.ContentLength <= message.MaxBufferedBody
}

// discardResponseBody reads the body of a response that is not passed on: it must be complete for the
// connection to be used again.
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

// readBufferedBody reads a body whose length the budget has reserved.
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
	result := servedResult(resp, body)
	result.reusable = conn.reusableAfter(resp)
	return result
}

// readStreamedBody begins the stream of a body. Where its length is not given, it first buffers what comes
// within BufferingTime, and needs no stream if that is all.
func (p *Pool) readStreamedBody(conn *serverConn, server *Server, resp *http.Response) exchangeResult {
	body := &message.ResponseBody{
		Length: resp.ContentLength,
		Budget: p.budget,
		Stream: message.NewBodyStream(conn, resp.Body),
	}
	body.Stream.OnEnd = func(complete bool) {
		if complete && conn.reusableAfter(resp) {
			p.release(conn, server)
		} else {
			p.discard(conn)
		}
	}
	if resp.ContentLength >= 0 || !p.budget.TryAcquire(message.MaxBufferedBody) {
		return servedResult(resp, body)
	}
	body.Reserved = message.MaxBufferedBody
	part, err := body.Stream.Buffer(message.MaxBufferedBody, message.BufferingTime)
	body.Buffered = part.Bytes
	if err != nil {
		body.Stream.Detach()
		body.Stream = nil
		body.Release()
		failed := Result{Status: brokenStatus(err), Reason: conn.describeFailure(err)}
		return exchangeResult{Result: failed}
	}
	if !part.Complete {
		return servedResult(resp, body)
	}
	body.Length = int64(len(part.Bytes))
	body.Stream = nil
	result := servedResult(resp, body)
	result.reusable = conn.reusableAfter(resp)
	return result
}

// servedResult is the end of an exchange whose response is passed on. Its connection is not free for another message.
func servedResult(resp *http.Response, body *message.ResponseBody) exchangeResult {
	return exchangeResult{Result: Result{Status: balancer.StatusOK, Header: resp.Header, Body: body}}
}

// brokenStatus maps the error that ended an attempt whose last byte was written: it may have executed. The
// kernel's ETIMEDOUT, whose Timeout method returns true as well, says that the connection broke.
func brokenStatus(err error) balancer.Status {
	var opError *net.OpError
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return balancer.StatusTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &opError):
		return balancer.StatusReset
	}
	return balancer.StatusError // a response that can't be read
}

// responseStatus maps a complete response. Only the header Not-Started of the server itself proves that a
// request did not execute: a bare 503 or 504 may come from half-way through.
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

// readResponseHead reads the head of a final response, skipping interim ones.
func readResponseHead(reader *bufio.Reader, method string) (*http.Response, error) {
	for range maxInterimResponses {
		if err := checkResponseHead(reader); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, nil
		}
	}
	return nil, errors.New("too many interim responses")
}

// checkResponseHead waits for a complete head without taking it from the reader, whose size bounds it, and
// rejects what net/http would read in its own way: net/http buffers a line of any length, and reads a response
// with both Content-Length and Transfer-Encoding by its chunks, though the other framing might be meant and its
// rest be taken for the next response.
func checkResponseHead(reader *bufio.Reader) error {
	for needed := 1; ; needed = reader.Buffered() + 1 {
		if _, err := reader.Peek(needed); err != nil {
			return err
		}
		head, _ := reader.Peek(reader.Buffered()) // what is buffered can always be peeked
		compared := min(len(protocolPrefix), len(head))
		if string(head[:compared]) != protocolPrefix[:compared] {
			return errors.New("response is not HTTP")
		}
		end := endOfHead.FindIndex(head)
		if end == nil {
			continue
		}
		head = head[:end[0]]
		if lengthField.Match(head) && codingField.Match(head) {
			return errors.New("response has two framings")
		}
		return nil
	}
}
