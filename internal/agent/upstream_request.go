package agent

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// hop names the header fields that are for one connection only.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// identity names the fields that make a request the client's own at its backend: they
// are passed on whatever its Connection field lists.
var identityHeaders = []string{"Request-Id", "Idempotency-Key"}

func endToEndHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// request is the request as it goes to a backend, told how long the agent waits.
func (c *clientRequest) upstreamRequest(left time.Duration) *http.Request {
	h := endToEndHeaders(c.header)
	for _, name := range identityHeaders {
		if values := c.header.Values(name); len(values) > 0 {
			h[name] = values
		}
	}
	h.Set("Request-Timeout-Ms", strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	if h.Get("User-Agent") == "" {
		h.Set("User-Agent", "") // none rather than the library's
	}
	req := &http.Request{Method: c.method, URL: &url.URL{Path: c.url.Path, RawPath: c.url.RawPath,
		RawQuery: c.url.RawQuery, ForceQuery: c.url.ForceQuery}, Host: c.host, Header: h}
	switch {
	case c.streamed != nil:
		req.Body, req.ContentLength = io.NopCloser(io.MultiReader(bytes.NewReader(c.body), c.streamed)), c.streamed.length
	case len(c.body) > 0:
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(c.body)), int64(len(c.body))
	}
	return req
}
