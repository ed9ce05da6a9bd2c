package agent

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"fernbeam.example/fernbeam/internal/balancer"
)

// healthCheckPath is the path of a server's health check.
const healthCheckPath = "/-/healthy"

// errClientGone ends an attempt whose client has closed its connection.
var errClientGone = errors.New("client closed the connection")

// upstreamServer is what attempts know of a server besides its address. The zero value is available.
type upstreamServer struct {
	unavailable atomic.Bool
}

// setAvailable tells whether the server may be sent requests: it is neither draining nor removed.
func (s *upstreamServer) setAvailable(available bool) { s.unavailable.Store(!available) }

// isAvailable tells whether the server may be sent requests; attempts read it just before they write.
func (s *upstreamServer) isAvailable() bool { return !s.unavailable.Load() }

// upstreamMessage is what an attempt sends to a server.
type upstreamMessage struct {
	// newRequest makes the request for the time that is left.
	newRequest func(left time.Duration) *http.Request
	// sendBy is until when a retry may be sent. Zero: there is no limit.
	sendBy time.Time
	// clientGone checks whether the client has closed its connection; nil: that can't be checked.
	clientGone func() bool
	// streamed is the part of the body that is not buffered; nil: all of it is.
	streamed *streamedBody
	// responseTime is the time for the response to a streamed request, from its last byte on.
	responseTime time.Duration
	// onSent is called when the last byte of a streamed request is written.
	onSent func()
}

// attemptResult is how one attempt ended.
type attemptResult struct {
	status         balancer.Status
	reason         string // why the attempt failed, for the log
	connectionLost bool   // the connection broke before any response
	latencyMs      float64
	header         http.Header
	body           *responseBody
	clientErr      error // the client's error that broke off the request in the middle of its body
}

// exchangeResult is how an exchange on one connection ended.
type exchangeResult struct {
	attemptResult
	reusable bool // the connection may carry another message
	unsent   bool // the connection broke before the last byte was written
}

// attempt makes one attempt and returns how it ended. It never sends anything twice. Cancelling ctx cancels the
// attempt and closes its connection.
func (p *connectionPool) attempt(
	ctx context.Context, server *upstreamServer, addr string, message *upstreamMessage, startedAt, deadline time.Time,
) attemptResult {
	sent := message.streamed == nil
	if message.streamed != nil {
		notify := message.onSent
		message.onSent = func() {
			startedAt = time.Now()
			sent = true
			notify()
		}
	}
	result := p.exchange(ctx, server, addr, message, deadline)
	// A cancelled attempt says nothing of its server, also where the cancellation cut off a connect; a response
	// that was already there stands.
	if ctx.Err() != nil && result.status != balancer.StatusOK && result.status != balancer.StatusOverloaded {
		result.status = balancer.StatusCancelled
		if !sent && !message.streamed.complete() && result.clientErr == nil {
			result.status = balancer.StatusUnsent // its last byte was never sent
		}
	}
	result.latencyMs = millisecondsSince(startedAt)
	return result
}

// healthCheck asks a server whether it is healthy, over the connections that attempts use. It is given up after
// twice the time that a connect may take: a server that delays a cheap response for so long is not healthy.
func (p *connectionPool) healthCheck(ctx context.Context, server *upstreamServer, addr, host string) attemptResult {
	message := &upstreamMessage{newRequest: func(time.Duration) *http.Request {
		return &http.Request{
			Method: http.MethodGet,
			URL:    &url.URL{Path: healthCheckPath},
			Host:   host,
			Header: http.Header{"User-Agent": {""}},
		}
	}}
	startedAt := time.Now()
	result := p.exchange(ctx, server, addr, message, startedAt.Add(2*p.connectTimeLimit()))
	result.body.release() // only the status counts
	result.latencyMs = millisecondsSince(startedAt)
	return result
}

// exchange writes one message and reads its response. A kept connection that turns out broken before the last
// byte is written has brought nothing to the server and says nothing of it: the message goes out on the next
// kept connection, and finally on a new one.
func (p *connectionPool) exchange(
	ctx context.Context, server *upstreamServer, addr string, message *upstreamMessage, deadline time.Time,
) attemptResult {
	for {
		conn, err := p.acquire(ctx, addr, deadline)
		if err != nil { // not a byte was sent
			return connectFailureResult(err)
		}
		kept := conn.uses > 0
		result := p.exchangeOn(ctx, conn, server, message, deadline)
		if kept {
			p.recordIdleUse(conn.idledFor, result.unsent || result.connectionLost)
		}
		mayRetry := result.unsent && kept && ctx.Err() == nil && time.Now().Before(deadline)
		if !mayRetry || message.streamed.isConsumed() {
			return result.attemptResult
		}
	}
}

// exchangeOn makes the exchange on one connection, and gives the connection back or closes it.
func (p *connectionPool) exchangeOn(
	ctx context.Context, conn *serverConn, server *upstreamServer, message *upstreamMessage, deadline time.Time,
) exchangeResult {
	// Cancelling makes whatever reads or writes end at once.
	stopCancelling := context.AfterFunc(ctx, conn.expire)
	conn.uses++
	result := p.transfer(ctx, conn, server, message, deadline)
	cancelled := !stopCancelling()
	streaming := result.body != nil && result.body.stream != nil
	switch {
	case streaming && !cancelled:
		// The connection is the stream's until that ends.
		result.body.stream.extendDeadline(true)
	case streaming:
		result.body.release()
		result.attemptResult = attemptResult{status: balancer.StatusCancelled}
	case result.reusable && !cancelled:
		p.release(conn, server)
	default:
		// If the cancellation has begun its deadline would hit the connection's next user.
		p.discard(conn)
	}
	return result
}

// transfer writes the message on a connection and reads the response.
func (p *connectionPool) transfer(
	ctx context.Context, conn *serverConn, server *upstreamServer, message *upstreamMessage, deadline time.Time,
) exchangeResult {
	conn.setDeadline(deadline)
	if ctx.Err() != nil {
		return exchangeResult{attemptResult: attemptResult{status: balancer.StatusConnectFailed}}
	}
	if result, unsendable := message.unsendable(server); unsendable {
		return exchangeResult{attemptResult: result, reusable: true}
	}
	req := message.newRequest(time.Until(deadline))
	if message.streamed != nil {
		return p.exchangeStreamed(ctx, conn, server, message, req)
	}
	return p.exchangeBuffered(conn, server, req)
}

// exchangeBuffered makes the exchange of a message that is buffered as a whole.
func (p *connectionPool) exchangeBuffered(
	conn *serverConn, server *upstreamServer, req *http.Request,
) exchangeResult {
	var out bytes.Buffer
	if err := req.Write(&out); err != nil {
		failed := attemptResult{status: balancer.StatusConnectFailed, reason: err.Error()}
		return exchangeResult{attemptResult: failed}
	}
	if written, err := conn.Write(out.Bytes()); err != nil {
		if written < out.Len() {
			// The last byte was never sent, and the connection is closed: the request can't execute.
			return conn.unsentResult(err)
		}
		return exchangeResult{attemptResult: attemptResult{status: brokenStatus(err), reason: conn.describeFailure(err)}}
	}
	//nolint:bodyclose // the body has no resources of its own: the pool closes or reuses the connection
	resp, err := readResponseHead(conn.reader, req.Method)
	return p.readResponse(conn, server, resp, err)
}

// unsendable tells whether the message must no longer be sent to a server, and how its attempt ends. The
// connect may have taken long: a draining server allows requests only for a grace time, servers drop duplicates
// only within a window, and the client may have closed its connection meanwhile.
func (m *upstreamMessage) unsendable(server *upstreamServer) (result attemptResult, unsendable bool) {
	switch {
	case !server.isAvailable():
		return attemptResult{status: balancer.StatusConnectFailed, reason: "draining or removed"}, true
	case !m.sendBy.IsZero() && time.Now().After(m.sendBy):
		return attemptResult{status: balancer.StatusUnsent, reason: "the deduplication window is over"}, true
	case m.clientGone != nil && m.clientGone():
		reason := errClientGone.Error()
		return attemptResult{status: balancer.StatusUnsent, reason: reason, clientErr: errClientGone}, true
	}
	return attemptResult{}, false
}
