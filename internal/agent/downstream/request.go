package downstream

import (
	"fmt"
	"net/http"
	"path"
	"strconv"
	"time"

	"fernbeam.example/fernbeam/internal/agent/keyhash"
	"fernbeam.example/fernbeam/internal/agent/message"
	"fernbeam.example/fernbeam/internal/balancer"
)

// badRequest is the error of a request that breaks the protocol.
func badRequest(format string, args ...any) *message.RequestError {
	return &message.RequestError{Status: http.StatusBadRequest, Message: fmt.Sprintf(format, args...)}
}

// receivedRequest is a client's request with its part of the body budget.
type receivedRequest struct {
	*message.Request
	reserved int64 // bytes of the body budget
}

// readRequest reads a client's request, with its body as far as that is buffered. The caller releases the reserved
// bytes, also after an error.
func (s *Server) readRequest(
	w http.ResponseWriter, req *http.Request,
) (request receivedRequest, invalid *message.RequestError) {
	if invalid := checkProtocol(req); invalid != nil {
		return request, invalid
	}
	request.Request = &message.Request{
		Context:  req.Context(),
		ID:       req.Header.Get("Request-Id"),
		Method:   req.Method,
		Host:     req.Host,
		URL:      req.URL,
		Header:   req.Header,
		Response: make(chan message.Response, 1),
	}
	conn, known := req.Context().Value(connKey{}).(*clientConn)
	if known {
		request.ClientGone = conn.peerClosed
	}
	if invalid := readHeader(request.Request, s.classes.Load()); invalid != nil {
		return request, invalid
	}
	if req.ContentLength != 0 {
		if invalid := s.readRequestBody(&request, w, req); invalid != nil {
			return request, invalid
		}
	}
	// A request's time counts from its last byte; that of a streamed one starts again with that.
	request.ArrivedAt = time.Now()
	if known && !conn.queuedAt.IsZero() {
		request.ArrivedAt = conn.queuedAt
	}
	request.Deadline = request.ArrivedAt.Add(request.Timeout)
	return request, nil
}

// checkProtocol checks what does not depend on the request's class.
func checkProtocol(req *http.Request) *message.RequestError {
	switch {
	case !req.ProtoAtLeast(1, 1):
		// Before 1.1 chunks don't count, and a body framed by them would be read as requests.
		return &message.RequestError{
			Status:  http.StatusHTTPVersionNotSupported,
			Message: req.Proto + " is not spoken here",
		}
	case req.Method != http.MethodGet && req.Method != http.MethodPost:
		return &message.RequestError{
			Status:  http.StatusMethodNotAllowed,
			Message: fmt.Sprintf("method %s is not allowed", req.Method),
		}
	case req.ContentLength > message.MaxRequestBody:
		return &message.RequestError{
			Status:  http.StatusRequestEntityTooLarge,
			Message: fmt.Sprintf("body over %d bytes", message.MaxRequestBody),
		}
	}
	return nil
}

// readHeader reads the request's header fields, by the rules of its class.
func readHeader(request *message.Request, classes *requestClasses) *message.RequestError {
	request.Rules = classes.rules[request.Header.Get("Request-Class")]
	if request.Rules == nil {
		return badRequest("unknown Request-Class")
	}
	if request.ID == "" {
		return badRequest("no Request-Id")
	}
	if request.Rules.Idempotency == balancer.IdempotentByKey && request.Header.Get("Idempotency-Key") == "" {
		return badRequest("no Idempotency-Key, which this class needs")
	}
	timeoutMs, err := strconv.Atoi(request.Header.Get("Request-Timeout-Ms"))
	if err != nil || timeoutMs <= 0 || timeoutMs > maxRequestTimeoutMs {
		return badRequest("Request-Timeout-Ms is no whole number from 1 to %d", maxRequestTimeoutMs)
	}
	request.Timeout = time.Duration(timeoutMs) * time.Millisecond
	request.Retry = classes.marksRetry && request.Header.Get("Client-Retry") == "1"
	request.Key = affinityKey(request.URL.EscapedPath())
	return nil
}

// affinityKey is the hash of a path's last element, where the path has more than one; 0: there is no key.
func affinityKey(escapedPath string) uint64 {
	directory, last := path.Split(escapedPath)
	if len(directory) <= 1 || last == "" {
		return 0
	}
	return keyhash.Sum(last)
}

// readRequestBody reads the part of the body that is buffered, and leaves the rest as a stream.
func (s *Server) readRequestBody(
	request *receivedRequest, w http.ResponseWriter, req *http.Request,
) *message.RequestError {
	body := &message.ClientBody{
		Control: http.NewResponseController(w),
		Source:  http.MaxBytesReader(w, req.Body, message.MaxRequestBody),
	}
	buffered, err := s.bodies.ReadBody(body, req.ContentLength)
	request.Body = buffered.Bytes
	request.reserved = buffered.Reserved
	if err != nil {
		return badRequest("body can't be read: %v", err)
	}
	if buffered.Complete {
		return nil
	}
	request.Streamed = &message.StreamedBody{ClientBody: body, Length: req.ContentLength}
	// The body continues to arrive while the response is written.
	if err := body.Control.EnableFullDuplex(); err != nil {
		return badRequest("body can't be streamed: %v", err)
	}
	return nil
}
