package agent

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"

	"fernbeam.example/fernbeam/internal/balancer"
)

// maxHead is the largest head of an answer.
const maxResponseHead = 16 << 10

// read reads the answer behind its head, and tells whether the connection may carry another
// message. An answer that is long or takes long comes back with its rest as a stream.
func (p *connectionPool) readResponse(cn *serverConn, b *upstreamServer, resp *http.Response, err error) (r attemptResult, reusable bool) {
	if resp == nil {
		s := brokenStatus(err)
		return attemptResult{status: s, reason: cn.describeFailure(err), connectionLost: s == balancer.StatusReset}, false
	}
	if r.status = responseStatus(resp); r.status != balancer.StatusOK {
		r.reason = resp.Status
		// What it says is no one's, but it has to have come whole.
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxBufferedBody))
		if err != nil {
			r.status, r.reason = brokenStatus(err), cn.describeFailure(err)
		}
		return r, err == nil && n < maxBufferedBody && !resp.Close && cn.reader.Buffered() == 0
	}
	r.header = resp.Header
	body := &responseBody{length: resp.ContentLength, budget: p.budget}
	if resp.ContentLength >= 0 && resp.ContentLength <= maxBufferedBody && p.budget.TryAcquire(resp.ContentLength) {
		body.reserved, body.buffered = resp.ContentLength, make([]byte, resp.ContentLength)
		if _, err := io.ReadFull(resp.Body, body.buffered); err != nil {
			body.release()
			return attemptResult{status: brokenStatus(err), reason: cn.describeFailure(err)}, false
		}
		r.body = body
		return r, !resp.Close && cn.reader.Buffered() == 0
	}
	body.stream = newStream(cn, resp.Body)
	body.stream.close = func(whole bool) {
		if whole && !resp.Close && cn.reader.Buffered() == 0 {
			p.release(cn, b)
		} else {
			p.discard(cn)
		}
	}
	r.body = body
	if resp.ContentLength < 0 && p.budget.TryAcquire(maxBufferedBody) {
		body.reserved = maxBufferedBody
		var whole bool
		if body.buffered, whole, err = body.stream.buffer(maxBufferedBody, bufferingTime); err != nil {
			body.stream.detach()
			body.stream = nil
			body.release()
			return attemptResult{status: brokenStatus(err), reason: cn.describeFailure(err)}, false
		}
		if whole {
			body.length, body.stream = int64(len(body.buffered)), nil
			return r, !resp.Close && cn.reader.Buffered() == 0
		}
	}
	return r, false
}

// broken maps what ended an attempt whose last byte was written: it may have run. The kernel's
// ETIMEDOUT, whose Timeout method returns true as well, says that the connection broke.
func brokenStatus(err error) balancer.Status {
	var op *net.OpError
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return balancer.StatusTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &op):
		return balancer.StatusReset
	}
	return balancer.StatusError // an answer that can't be read
}

// outcome maps a whole answer. Only the backend's own word proves that a request
// did not run: a bare 503 or 504 may come from half-way through.
func responseStatus(resp *http.Response) balancer.Status {
	switch {
	case resp.StatusCode == http.StatusOK:
		return balancer.StatusOK
	case (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get("Not-Started") == "1":
		return balancer.StatusOverloaded
	case resp.StatusCode == http.StatusBadRequest:
		return balancer.StatusBadRequest
	}
	return balancer.StatusError
}

// readHead reads the head of one final answer, passing over interim ones.
func readResponseHead(br *bufio.Reader, method string) (*http.Response, error) {
	for range 8 { // interim answers that may come ahead
		if err := checkResponseHead(br); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(br, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= 200 || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, nil
		}
	}
	return nil, errors.New("too many interim responses")
}

// checkHead waits for a whole head without taking it from br, whose size bounds it, and
// refuses what the library would read in its own way: it holds a line of any length, and
// reads an answer with two framings by its chunks, though the other might be meant and
// its rest be taken for the next answer.
func checkResponseHead(br *bufio.Reader) error {
	const start = "HTTP/1."
	for n := 1; ; n = br.Buffered() + 1 {
		if _, err := br.Peek(n); err != nil {
			return err
		}
		head, _ := br.Peek(br.Buffered())
		if k := min(len(start), len(head)); string(head[:k]) != start[:k] {
			return errors.New("response is not HTTP")
		}
		end := endOfHead.FindIndex(head)
		if end == nil {
			continue
		}
		if head = head[:end[0]]; lengthField.Match(head) && codingField.Match(head) {
			return errors.New("response has two framings")
		}
		return nil
	}
}

var endOfHead = regexp.MustCompile(`\n\r?\n`)

var lengthField = regexp.MustCompile(`(?i)\ncontent-length[ \t]*:`)

var codingField = regexp.MustCompile(`(?i)\ntransfer-encoding[ \t]*:`)
