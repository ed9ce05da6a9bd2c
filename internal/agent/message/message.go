// Package message has what the two sides of an agent pass to each other through the event loop: a client's request, its
// one final response, their bodies, and the quotas that bound buffered bytes. It starts a goroutine only for a body
// that is streamed from a server.
package message

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"fernbeam.example/fernbeam/internal/balancer"
)

// Request is a client's request as the downstream server read it, with the channel for its response. The dispatcher
// owns it from Dispatch on.
type Request struct {
	//nolint:containedctx // a request lives as long as its client waits, across goroutines
	Context      context.Context // ends with the client's connection
	ClientGone   func() bool     // checks whether the client has closed without notice; nil: it can't be checked
	ID           string          // the client's Request-Id
	ArrivedAt    time.Time
	Method, Host string
	URL          *url.URL
	Header       http.Header
	Body         []byte        // the buffered part of the body
	Streamed     *StreamedBody // the rest of the body; nil: all of it is buffered
	Timeout      time.Duration
	Rules        *balancer.RequestRules // as they were when it arrived
	Key          uint64                 // hash of the affinity key; 0: none
	Retry        bool                   // the client marked it as a retry
	Deadline     time.Time
	Response     chan Response      // of capacity one: the dispatcher never waits for a client
	DispatchID   balancer.RequestID // belongs to the dispatcher
}

// ResponseKind says what became of a request.
type ResponseKind uint8

// The values of ResponseKind.
const (
	Served   ResponseKind = iota // a server's response, whose status was 200
	Rejected                     // no server has executed the request: a retry is harmless
	Failed                       // any other end
)

// Response is the one final response to a Request.
type Response struct {
	Kind         ResponseKind
	RetryAfterMs float64 // rejected: when the client may retry
	TimedOut     bool    // failed: because its time was over
	BadRequest   bool    // failed: because a server called the request invalid
	Header       http.Header
	Body         *ResponseBody
}
