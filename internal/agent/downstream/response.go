package downstream

import (
	"io"
	"net/http"
	"strconv"

	"fernbeam.example/fernbeam/internal/agent/message"
)

// millisecondsPerSecond converts the time until a retry.
const millisecondsPerSecond = 1000

// writeResponse writes the final response to the client.
func (s *Server) writeResponse(w http.ResponseWriter, request *message.Request, response message.Response) {
	defer response.Body.Release()
	if request.Streamed != nil && !request.Streamed.Complete() {
		// The client may still be sending, and reads the response only if its body is read. What follows the
		// body is not read as a request.
		closeAfterResponse(w)
		defer func() {
			_ = http.NewResponseController(w).Flush()               // the client may have gone
			_, _ = io.Copy(io.Discard, request.Streamed.ClientBody) // read only for the client's sake
		}()
	}
	if s.draining.Load() { // it may have begun since the request came
		closeAfterResponse(w)
	}
	switch {
	case response.Kind == message.Served:
		s.writeServed(w, request, response)
	case response.Kind == message.Rejected:
		if response.RetryAfterMs > 0 {
			w.Header().Set("Retry-After", retryAfterSeconds(response.RetryAfterMs))
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	case response.BadRequest:
		w.WriteHeader(http.StatusBadRequest)
	case response.TimedOut:
		w.WriteHeader(http.StatusGatewayTimeout)
	default:
		w.WriteHeader(http.StatusBadGateway)
	}
}

// retryAfterSeconds is the value of the header Retry-After: seconds, to the millisecond.
func retryAfterSeconds(retryAfterMs float64) string {
	return strconv.FormatFloat(retryAfterMs/millisecondsPerSecond, 'f', 3, 64)
}

// writeServed passes a server's response on.
func (s *Server) writeServed(w http.ResponseWriter, request *message.Request, response message.Response) {
	for name, values := range message.EndToEndHeaders(response.Header) {
		w.Header()[name] = values
	}
	if response.Body.Length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(response.Body.Length, 10))
	}
	w.WriteHeader(http.StatusOK)
	fromServer, toClient := response.Body.CopyTo(w)
	if fromServer != nil || toClient != nil {
		s.dispatcher.ResponseAborted(request, fromServer, toClient)
		// Only a connection that ends before the response does tells the client that it is incomplete.
		panic(http.ErrAbortHandler)
	}
}

// closeAfterResponse has the client's connection closed behind the response.
func closeAfterResponse(w http.ResponseWriter) { w.Header().Set("Connection", "close") }
