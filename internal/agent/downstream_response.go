package agent

import (
	"io"
	"net/http"
	"strconv"
)

// write sends the final answer.
func (f *downstreamServer) writeResponse(w http.ResponseWriter, c *clientRequest, a finalResponse) {
	defer a.body.release()
	if c.streamed != nil && !c.streamed.complete() {
		// Answered at once, the client may yet be sending, and reads the answer only if
		// what it sends is read. Nothing behind it is a request.
		w.Header().Set("Connection", "close")
		defer func() {
			_ = http.NewResponseController(w).Flush()
			_, _ = io.Copy(io.Discard, c.streamed.clientBody)
		}()
	}
	if f.draining.Load() { // it may have begun since the request came
		w.Header().Set("Connection", "close")
	}
	switch {
	case a.kind == responseServed:
		for name, values := range endToEndHeaders(a.header) {
			w.Header()[name] = values
		}
		if a.body.length >= 0 {
			w.Header().Set("Content-Length", strconv.FormatInt(a.body.length, 10))
		}
		w.WriteHeader(http.StatusOK)
		fromServer, toClient := a.body.copyTo(w)
		if fromServer != nil || toClient != nil {
			f.loop.post(func() { f.loop.responseAborted(c, fromServer, toClient) })
			// Only a connection that ends before the answer does tells that it is not whole.
			panic(http.ErrAbortHandler)
		}
		return
	case a.kind == responseRejected:
		if a.retryAfterMs > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(a.retryAfterMs/1000, 'f', 3, 64))
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	case a.badRequest:
		w.WriteHeader(http.StatusBadRequest)
	case a.timedOut:
		w.WriteHeader(http.StatusGatewayTimeout)
	default:
		w.WriteHeader(http.StatusBadGateway)
	}
}
