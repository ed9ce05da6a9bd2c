package downstream

import (
	"net/http"
	"strconv"

	"fernbeam.example/fernbeam/internal/agent/message"
)

const millisecondsPerSecond = 1000

// writeResponse writes the final response to the client.
func (s *Server) writeResponse(w http.ResponseWriter, request *message.Request, response message.Response) {
	defer response.Body.Release()
	if request.Streamed != nil && !request.Streamed.Complete() {
		// The client may still be sending, and may not read the response before its body has been read. The connection is
		// closed, so what follows the body is not read as another request.
		closeAfterResponse(w)
		defer func() {
			if response.NoMemory {
				request.Streamed.DiscardRefused()
				return
			}
			request.Streamed.Discard() // lets the client finish sending
		}()
	}
	if s.draining.Load() { // draining may have started since the request arrived
		closeAfterResponse(w)
	}
	switch {
	case response.Kind == message.Served:
		s.writeServed(w, request, response)
	case response.Kind == message.Rejected:
		if response.RetryAfterMs > 0 {
			w.Header().Set("Retry-After", retryAfterSeconds(response.RetryAfterMs))
		}
		s.writeStatus(w, request, http.StatusServiceUnavailable)
	case response.BadRequest:
		s.writeStatus(w, request, http.StatusBadRequest)
	case response.TimedOut:
		s.writeStatus(w, request, http.StatusGatewayTimeout)
	default:
		s.writeStatus(w, request, http.StatusBadGateway)
	}
}

// writeStatus writes a response without a body. It counts and logs a response that can't be written, unless the client
// has gone before.
func (s *Server) writeStatus(w http.ResponseWriter, request *message.Request, status int) {
	clientWaits := request.Context.Err() == nil // a failed write cancels the context too
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
	if err := http.NewResponseController(w).Flush(); err != nil && clientWaits {
		s.dispatcher.ResponseAborted(request, nil, err)
	}
}

// retryAfterSeconds formats the value of the Retry-After header, in seconds with millisecond precision.
func retryAfterSeconds(retryAfterMs float64) string {
	return strconv.FormatFloat(retryAfterMs/millisecondsPerSecond, 'f', 3, 64)
}

// writeServed forwards a server's response.
func (s *Server) writeServed(w http.ResponseWriter, request *message.Request, response message.Response) {
	for name, values := range message.EndToEndHeaders(response.Header) {
		w.Header()[name] = values
	}
	if response.Body.Length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(response.Body.Length, 10))
	}
	w.WriteHeader(http.StatusOK)
	if conn := clientConnOf(request.Context); conn != nil {
		conn.servedShort.Store(response.Body.Stream == nil)
	}
	serverErr, clientErr := response.Body.CopyTo(w)
	if serverErr != nil || clientErr != nil {
		s.dispatcher.ResponseAborted(request, serverErr, clientErr)
		// The client can tell that the response is incomplete only if its connection ends early.
		panic(http.ErrAbortHandler)
	}
}

// closeAfterResponse makes the HTTP server close the client's connection after the response.
func closeAfterResponse(w http.ResponseWriter) { w.Header().Set("Connection", "close") }
