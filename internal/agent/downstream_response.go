package agent

import (
	"io"
	"net/http"
	"strconv"
)

// writeResponse writes the final response to the client.
func (f *downstreamServer) writeResponse(w http.ResponseWriter, c *clientRequest, response finalResponse) {
	defer response.body.release()
	if c.streamed != nil && !c.streamed.complete() {
		// The client may still be sending, and reads the response only if its body is read. What follows the
		// body is not read as a request.
		closeAfterResponse(w)
		defer func() {
			_ = http.NewResponseController(w).Flush()         // the client may have gone
			_, _ = io.Copy(io.Discard, c.streamed.clientBody) // read only for the client's sake
		}()
	}
	if f.draining.Load() { // it may have begun since the request came
		closeAfterResponse(w)
	}
	switch {
	case response.kind == responseServed:
		f.writeServed(w, c, response)
	case response.kind == responseRejected:
		if response.retryAfterMs > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(response.retryAfterMs/1000, 'f', 3, 64))
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	case response.badRequest:
		w.WriteHeader(http.StatusBadRequest)
	case response.timedOut:
		w.WriteHeader(http.StatusGatewayTimeout)
	default:
		w.WriteHeader(http.StatusBadGateway)
	}
}

// writeServed passes a server's response on.
func (f *downstreamServer) writeServed(w http.ResponseWriter, c *clientRequest, response finalResponse) {
	for name, values := range endToEndHeaders(response.header) {
		w.Header()[name] = values
	}
	if response.body.length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(response.body.length, 10))
	}
	w.WriteHeader(http.StatusOK)
	fromServer, toClient := response.body.copyTo(w)
	if fromServer != nil || toClient != nil {
		f.dispatcher.responseAborted(c, fromServer, toClient)
		// Only a connection that ends before the response does tells the client that it is incomplete.
		panic(http.ErrAbortHandler)
	}
}

// closeAfterResponse has the client's connection closed behind the response.
func closeAfterResponse(w http.ResponseWriter) { w.Header().Set("Connection", "close") }
