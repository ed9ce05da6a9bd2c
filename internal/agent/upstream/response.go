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
	// maxResponseHead is the largest response head accepted, in bytes.
	maxResponseHead = 16 << 10
	// maxInterimResponses is the largest number of interim (1xx) responses before a final one.
	maxInterimResponses = 8
	// protocolPrefix is the beginning of each response head.
	protocolPrefix = "HTTP/1."
)

var (
	endOfHead             = regexp.MustCompile(`\n\r?\n`)
	contentLengthField    = regexp.MustCompile(`(?i)\ncontent-length[ \t]*:`)
	transferEncodingField = regexp.MustCompile(`(?i)\ntransfer-encoding[ \t]*:`)
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
	result := servedResult(resp, body)
	result.reusable = conn.reusableAfter(resp)
	return result
}

// readStreamedBody starts streaming a body. If the length of the body is unknown, it first buffers what arrives within
// message.BufferingTime, and does not stream a body that is complete by then.
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

// readResponseHead reads the head of the final response and skips interim ones.
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

// checkResponseHead waits for a complete head, whose length is limited by the reader's buffer, without consuming it. It
// rejects heads on which net/http is too lenient: net/http buffers a line of any length, and if a response has both
// Content-Length and Transfer-Encoding, it follows the chunks, though the server may have meant the other framing. The
// rest of the body would then be taken for the next response.
func checkResponseHead(reader *bufio.Reader) error {
	for needed := 1; ; needed = reader.Buffered() + 1 {
		if _, err := reader.Peek(needed); err != nil {
			return err
		}
		head, _ := reader.Peek(reader.Buffered()) // peeking at buffered bytes can't fail
		compared := min(len(protocolPrefix), len(head))
		if string(head[:compared]) != protocolPrefix[:compared] {
			return errors.New("response is not HTTP")
		}
		end := endOfHead.FindIndex(head)
		if end == nil {
			continue
		}
		head = head[:end[0]]
		if contentLengthField.Match(head) && transferEncodingField.Match(head) {
			return errors.New("response has two framings")
		}
		return nil
	}
}
