package agent

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// identityHeaders are the header fields by which a server recognizes a request: they are passed on even if the
// client's Connection field lists them.
var identityHeaders = []string{"Request-Id", "Idempotency-Key"}

// newUpstreamRequest makes the request that is sent to a server, with the time left as its timeout.
func newUpstreamRequest(c *clientRequest, left time.Duration) *http.Request {
	header := endToEndHeaders(c.header)
	for _, name := range identityHeaders {
		if values := c.header.Values(name); len(values) > 0 {
			header[name] = values
		}
	}
	header.Set("Request-Timeout-Ms", strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	if header.Get("User-Agent") == "" {
		header.Set("User-Agent", "") // net/http adds its own where there is none
	}
	req := &http.Request{
		Method: c.method,
		URL: &url.URL{
			Path:       c.url.Path,
			RawPath:    c.url.RawPath,
			RawQuery:   c.url.RawQuery,
			ForceQuery: c.url.ForceQuery,
		},
		Host:   c.host,
		Header: header,
	}
	buffered := bytes.NewReader(c.body)
	switch {
	case c.streamed != nil:
		req.Body = io.NopCloser(io.MultiReader(buffered, c.streamed))
		req.ContentLength = c.streamed.length
	case len(c.body) > 0:
		req.Body = io.NopCloser(buffered)
		req.ContentLength = int64(len(c.body))
	}
	return req
}
