package agent

import (
	"fmt"
	"net/http"
	"path"
	"strconv"
	"time"

	"fernbeam.example/fernbeam/internal/balancer"
)

// requestError says why a client's request is not one of the protocol, and the status of the response. It is
// never a rejection, which would tell the client to send the same again.
type requestError struct {
	status  int
	message string
}

func (e *requestError) Error() string { return e.message }

func badRequest(format string, args ...any) *requestError {
	return &requestError{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

// readRequest reads a client's request, with its body as far as that is buffered. The caller releases reserved
// bytes of the body budget, also after an error.
func (f *downstreamServer) readRequest(
	w http.ResponseWriter, req *http.Request,
) (c *clientRequest, reserved int64, invalid *requestError) {
	if invalid := checkProtocol(req); invalid != nil {
		return nil, 0, invalid
	}
	c = &clientRequest{
		ctx:      req.Context(),
		id:       req.Header.Get("Request-Id"),
		method:   req.Method,
		host:     req.Host,
		url:      req.URL,
		header:   req.Header,
		response: make(chan finalResponse, 1),
	}
	conn, known := req.Context().Value(connKey{}).(*clientConn)
	if known {
		c.clientGone = conn.peerClosed
	}
	if invalid := readHeader(c, f.classes.Load()); invalid != nil {
		return nil, 0, invalid
	}
	if req.ContentLength != 0 {
		if reserved, invalid = f.readRequestBody(c, w, req); invalid != nil {
			return nil, reserved, invalid
		}
	}
	// A request's time counts from its last byte; that of a streamed one starts again with that.
	c.arrivedAt = time.Now()
	if known && !conn.queuedAt.IsZero() {
		c.arrivedAt = conn.queuedAt
	}
	c.deadline = c.arrivedAt.Add(c.timeout)
	return c, reserved, nil
}

// checkProtocol checks what does not depend on the request's class.
func checkProtocol(req *http.Request) *requestError {
	switch {
	case !req.ProtoAtLeast(1, 1):
		// Before 1.1 chunks don't count, and a body framed by them would be read as requests.
		return &requestError{http.StatusHTTPVersionNotSupported, req.Proto + " is not spoken here"}
	case req.Method != http.MethodGet && req.Method != http.MethodPost:
		return &requestError{http.StatusMethodNotAllowed, fmt.Sprintf("method %s is not allowed", req.Method)}
	case req.ContentLength > maxRequestBody:
		message := fmt.Sprintf("body over %d bytes", maxRequestBody)
		return &requestError{http.StatusRequestEntityTooLarge, message}
	}
	return nil
}

// readHeader reads the request's header fields, by the rules of its class.
func readHeader(c *clientRequest, classes *requestClasses) *requestError {
	c.rules = classes.rules[c.header.Get("Request-Class")]
	if c.rules == nil {
		return badRequest("unknown Request-Class")
	}
	if c.id == "" {
		return badRequest("no Request-Id")
	}
	if c.rules.Idempotency == balancer.IdempotentByKey && c.header.Get("Idempotency-Key") == "" {
		return badRequest("no Idempotency-Key, which this class needs")
	}
	timeoutMs, err := strconv.Atoi(c.header.Get("Request-Timeout-Ms"))
	if err != nil || timeoutMs <= 0 || timeoutMs > maxRequestTimeoutMs {
		return badRequest("Request-Timeout-Ms is no whole number from 1 to %d", maxRequestTimeoutMs)
	}
	c.timeout = time.Duration(timeoutMs) * time.Millisecond
	c.retry = classes.marksRetry && c.header.Get("Client-Retry") == "1"
	c.key = affinityKey(c.url.EscapedPath())
	return nil
}

// affinityKey is the hash of a path's last element, where the path has more than one; 0: there is no key.
func affinityKey(escapedPath string) uint64 {
	directory, last := path.Split(escapedPath)
	if len(directory) <= 1 || last == "" {
		return 0
	}
	return hashString(last)
}

// readRequestBody reads the part of the body that is buffered, and leaves the rest as a stream.
func (f *downstreamServer) readRequestBody(
	c *clientRequest, w http.ResponseWriter, req *http.Request,
) (reserved int64, invalid *requestError) {
	body := &clientBody{
		control: http.NewResponseController(w),
		from:    http.MaxBytesReader(w, req.Body, maxRequestBody),
	}
	buffered, complete, reserved, err := f.bodies.readBody(body, req.ContentLength)
	c.body = buffered
	if err != nil {
		return reserved, badRequest("body can't be read: %v", err)
	}
	if complete {
		return reserved, nil
	}
	c.streamed = &streamedBody{clientBody: body, length: req.ContentLength}
	// The body continues to arrive while the response is written.
	if err := body.control.EnableFullDuplex(); err != nil {
		return reserved, badRequest("body can't be streamed: %v", err)
	}
	return reserved, nil
}
