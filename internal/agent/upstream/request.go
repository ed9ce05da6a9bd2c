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

// identityHeaders are the header fields by which a server recognizes a request: they are passed on even if the
// client's Connection field lists them.
var identityHeaders = []string{"Request-Id", "Idempotency-Key"}

// NewRequest makes the request that is sent to a server, with the time left as its timeout.
func NewRequest(c *message.Request, left time.Duration) *http.Request {
	header := message.EndToEndHeaders(c.Header)
	for _, name := range identityHeaders {
		if values := c.Header.Values(name); len(values) > 0 {
			header[name] = values
		}
	}
	header.Set("Request-Timeout-Ms", strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	if header.Get("User-Agent") == "" {
		header.Set("User-Agent", "") // net/http adds its own where there is none
	}
	req := &http.Request{
		Method: c.Method,
		URL: &url.URL{
			Path:       c.URL.Path,
			RawPath:    c.URL.RawPath,
			RawQuery:   c.URL.RawQuery,
			ForceQuery: c.URL.ForceQuery,
		},
		Host:   c.Host,
		Header: header,
	}
	buffered := bytes.NewReader(c.Body)
	switch {
	case c.Streamed != nil:
		req.Body = io.NopCloser(io.MultiReader(buffered, c.Streamed))
		req.ContentLength = c.Streamed.Length
	case len(c.Body) > 0:
		req.Body = io.NopCloser(buffered)
		req.ContentLength = int64(len(c.Body))
	}
	return req
}
