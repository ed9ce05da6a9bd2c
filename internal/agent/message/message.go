// Package message defines the messages that an agent's downstream and upstream sides exchange through the event loop:
// a client's request, its single final response, their bodies, and the quotas that limit buffered bytes. The only
// goroutines that it starts read bodies streamed from a server.
package message

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"fernbeam.example/fernbeam/internal/balancer"
)

// Request is a client's request as read by the downstream server, with the channel for its response. The dispatcher
// owns it once Dispatch has been called.
type Request struct {
	//nolint:containedctx // a request lasts as long as its client waits, across goroutines
	Context      context.Context // canceled when the client's connection ends
	ClientGone   func() bool     // checks whether the client has closed its connection; nil: it can't be checked
	ID           string          // the client's Request-Id
	ArrivedAt    time.Time
	Method, Host string
	URL          *url.URL
	Header       http.Header
	Body         []byte        // the buffered part of the body
	Streamed     *StreamedBody // the rest of the body; nil if all of it is buffered
	Timeout      time.Duration
	Rules        *balancer.RequestRules // the rules in force when it arrived
	Key          uint64                 // hash of the affinity key; 0 if it has none
	Retry        bool                   // set if the client marked it as a retry
	Deadline     time.Time
	Response     chan Response      // has capacity 1, so that the dispatcher never waits for a client
	DispatchID   balancer.RequestID // set and used by the dispatcher
	AwaitedOther bool               // set by the dispatcher once it has waited for another process
}

// ResponseKind is the outcome of a request.
type ResponseKind uint8

// The values of ResponseKind.
const (
	Served   ResponseKind = iota // a server responded with status 200
	Rejected                     // a retry is safe: the request has not executed, or may execute again
	Failed                       // any other outcome
)

// Response is the single final response to a Request.
type Response struct {
	Kind         ResponseKind
	RetryAfterMs float64 // Rejected only: the delay before the client may retry
	NoMemory     bool    // Rejected only: the memory budget has no space for the request
	TimedOut     bool    // Failed only: the deadline has passed
	BadRequest   bool    // Failed only: the request is invalid or incomplete
	Header       http.Header
	Body         *ResponseBody
}
