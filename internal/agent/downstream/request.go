package downstream

import (
	"fmt"
	"net/http"
	"path"
	"strconv"
	"time"

	"fernbeam.example/fernbeam/internal/agent/keyhash"
	"fernbeam.example/fernbeam/internal/agent/message"
	"fernbeam.example/fernbeam/internal/agent/socket"
	"fernbeam.example/fernbeam/internal/balancer"
)

// badRequest returns the error for a request that violates the protocol.
func badRequest(format string, args ...any) *message.RequestError {
	return &message.RequestError{Status: http.StatusBadRequest, Message: fmt.Sprintf(format, args...)}
}

// receivedRequest is a client's request with the bytes that it has reserved of the body budget.
type receivedRequest struct {
	*message.Request
	reserved int64 // bytes reserved of the body budget
	refused  bool  // the memory budget has no space for the body
}

// readRequest reads a client's request and as much of its body as is buffered. The caller releases the reserved bytes,
// even after an error.
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
	conn := connOf(req)
	if conn != nil {
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
	// The request's timeout starts when its last byte has arrived. For a streamed body it starts now, and is restarted
	// when the last byte has arrived.
	request.ArrivedAt = time.Now()
	if conn != nil {
		request.ArrivedAt = conn.arrivalTime(request.ArrivedAt)
	}
	request.Deadline = request.ArrivedAt.Add(request.Timeout)
	return request, nil
}

// checkProtocol checks the parts of a request that don't depend on its class.
func checkProtocol(req *http.Request) *message.RequestError {
	switch {
	case !req.ProtoAtLeast(1, 1):
		// Before HTTP/1.1 there is no chunked encoding: a chunked body would be read as further requests.
		return &message.RequestError{
			Status:  http.StatusHTTPVersionNotSupported,
			Message: req.Proto + " is not supported",
		}
	case req.Method != http.MethodGet && req.Method != http.MethodPost:
		return &message.RequestError{
			Status:  http.StatusMethodNotAllowed,
			Message: fmt.Sprintf("method %s is not allowed", req.Method),
		}
	case req.ContentLength > message.MaxRequestBody:
		return &message.RequestError{
			Status:  http.StatusRequestEntityTooLarge,
			Message: fmt.Sprintf("request body is larger than %d bytes", message.MaxRequestBody),
		}
	}
	return nil
}

// readHeader reads the request's header fields according to the rules of its class.
func readHeader(request *message.Request, classes *requestClasses) *message.RequestError {
	request.Rules = classes.rules[request.Header.Get("Request-Class")]
	if request.Rules == nil {
		return badRequest("unknown Request-Class")
	}
	if request.ID == "" {
		return badRequest("missing Request-Id")
	}
	if request.Rules.Idempotency == balancer.IdempotentByKey && request.Header.Get("Idempotency-Key") == "" {
		return badRequest("missing Idempotency-Key, which the class requires")
	}
	timeoutMs, err := strconv.Atoi(request.Header.Get("Request-Timeout-Ms"))
	if err != nil || timeoutMs <= 0 || timeoutMs > maxRequestTimeoutMs {
		return badRequest("Request-Timeout-Ms is not an integer from 1 to %d", maxRequestTimeoutMs)
	}
	request.Timeout = time.Duration(timeoutMs) * time.Millisecond
	request.Retry = classes.marksRetry && request.Header.Get("Client-Retry") == "1"
	request.Key = affinityKey(request.URL.EscapedPath())
	return nil
}

// affinityKey returns the hash of the path's last element, or 0 for no key if the path has fewer than two elements.
func affinityKey(escapedPath string) uint64 {
	directory, last := path.Split(escapedPath)
	if len(directory) <= 1 || last == "" {
		return 0
	}
	return keyhash.Sum(last)
}

// readRequestBody buffers the first part of the body as far as the limits allow, and leaves any remainder to be
// streamed.
func (s *Server) readRequestBody(
	request *receivedRequest, w http.ResponseWriter, req *http.Request,
) *message.RequestError {
	body := &message.ClientBody{
		Control: http.NewResponseController(w),
		Source:  http.MaxBytesReader(w, req.Body, message.MaxRequestBody),
	}
	isLong := req.ContentLength > message.MaxBufferedBody
	if isLong {
		request.refused = !s.admitUpload(req)
	}
	if !request.refused {
		buffered, err := s.bodies.ReadBody(body, req.ContentLength)
		request.Body = buffered.Bytes
		request.reserved = buffered.Reserved
		if err != nil {
			return badRequest("reading the request body: %v", err)
		}
		if buffered.Complete {
			return nil
		}
	}
	if !isLong {
		request.refused = !s.admitUpload(req)
	}
	request.Streamed = &message.StreamedBody{ClientBody: body, Length: req.ContentLength}
	if conn := connOf(req); conn != nil {
		request.Streamed.Unread = func() int { return socket.UnreadBytes(conn.Conn) }
	}
	// The rest of the body may still arrive while the response is written.
	if err := body.Control.EnableFullDuplex(); err != nil {
		return badRequest("streaming the request body: %v", err)
	}
	return nil
}

// admitUpload reserves memory for a streamed body, and reports whether there is any. It counts a refusal.
func (s *Server) admitUpload(req *http.Request) bool {
	conn := connOf(req)
	if conn == nil || conn.reserved.admitUpload() {
		return true
	}
	s.admission.refusals.Uploads.Add(1)
	return false
}
