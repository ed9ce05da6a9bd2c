package agent

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"fernbeam.example/fernbeam/internal/balancer"
)

// clientRequest is a client's request as the downstream server read it, with the channel for its response.
type clientRequest struct {
	ctx          context.Context // ends with the client's connection
	clientGone   func() bool     // checks whether the client has closed without notice; nil: it can't be checked
	id           string          // the client's Request-Id
	arrivedAt    time.Time
	method, host string
	url          *url.URL
	header       http.Header
	body         []byte        // the buffered part of the body
	streamed     *streamedBody // the rest of the body; nil: all of it is buffered
	timeout      time.Duration
	rules        *balancer.RequestRules // as they were when it arrived
	key          uint64                 // hash of the affinity key; 0: none
	retry        bool                   // the client marked it as a retry
	deadline     time.Time
	response     chan finalResponse // of capacity one: the dispatcher never waits for a client
	dispatchID   balancer.RequestID // belongs to the dispatcher
}

// responseKind says what became of a request.
type responseKind uint8

const (
	responseServed responseKind = iota
	responseRejected
	responseFailed
)

// finalResponse is the one final response to a clientRequest.
type finalResponse struct {
	kind         responseKind
	retryAfterMs float64 // rejected: when the client may retry
	timedOut     bool    // failed: because its time was over
	badRequest   bool    // failed: because a server called the request invalid
	header       http.Header
	body         *responseBody
}
