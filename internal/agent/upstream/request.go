package upstream

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"fernbeam.example/fernbeam/internal/agent/message"
)

// healthCheckPath is the URL path of the health check that each server provides.
const healthCheckPath = "/-/healthy"

// identityHeaders are the header fields by which a server recognizes a request. They are forwarded even if the client's
// Connection field lists them.
var identityHeaders = []string{"Request-Id", "Idempotency-Key"}

// newHealthCheck returns the request of a health check.
func newHealthCheck(host string) *http.Request {
	return &http.Request{
		Method: http.MethodGet,
		URL:    &url.URL{Path: healthCheckPath},
		Host:   host,
		Header: http.Header{"User-Agent": {""}},
	}
}

// NewRequest returns the request to send to a server, with the time left as its request timeout.
func NewRequest(incoming *message.Request, left time.Duration) *http.Request {
	header := message.EndToEndHeaders(incoming.Header)
	for _, name := range identityHeaders {
		if values := incoming.Header.Values(name); len(values) > 0 {
			header[name] = values
		}
	}
	header.Set("Request-Timeout-Ms", strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	if header.Get("User-Agent") == "" {
		header.Set("User-Agent", "") // keeps net/http from adding its own
	}
	req := &http.Request{
		Method: incoming.Method,
		URL: &url.URL{
			Path:       incoming.URL.Path,
			RawPath:    incoming.URL.RawPath,
			RawQuery:   incoming.URL.RawQuery,
			ForceQuery: incoming.URL.ForceQuery,
		},
		Host:   incoming.Host,
		Header: header,
	}
	switch {
	case incoming.Streamed != nil:
		req.Body = streamedBody{source: io.MultiReader(bytes.NewReader(incoming.Body), incoming.Streamed)}
		req.ContentLength = incoming.Streamed.Length
	case len(incoming.Body) > 0:
		req.Body = bufferedBody{incoming.Body}
		req.ContentLength = int64(len(incoming.Body))
	}
	return req
}
