package upstream

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"fernbeam.example/fernbeam/internal/agent/message"
	"fernbeam.example/fernbeam/internal/balancer"
	"fernbeam.example/fernbeam/internal/clock"
)

// ErrClientGone is the error of an attempt whose client has closed its connection.
var ErrClientGone = errors.New("client closed the connection")

// Server is the state of a server that attempts check before they send. The zero value is available.
type Server struct {
	unavailable atomic.Bool
}

// SetAvailable sets whether requests may be sent to the server, that is, whether it is neither draining nor removed.
func (s *Server) SetAvailable(available bool) { s.unavailable.Store(!available) }

// IsAvailable reports whether requests may be sent to the server. Attempts check it immediately before they write.
func (s *Server) IsAvailable() bool { return !s.unavailable.Load() }

// Target is the destination of an attempt or a health check.
type Target struct {
	Server *Server
	Addr   string // the server's network address when the attempt began
}

// Message is what an attempt sends to a server, with its time limits.
type Message struct {
	// NewRequest creates the request, given the time left until the deadline.
	NewRequest func(left time.Duration) *http.Request
	// StartedAt is when the attempt began. Its latency is measured from then, or from the last byte of a streamed
	// request.
	StartedAt time.Time
	// Deadline is when the attempt stops waiting for the response to a buffered request.
	Deadline time.Time
	// SendBy is the latest time at which a retry may be sent. The zero time means no limit.
	SendBy time.Time
	// ClientGone reports whether the client has closed its connection. It is nil if that can't be checked.
	ClientGone func() bool
	// Streamed is the part of the body that is not buffered. It is nil if the whole body is buffered.
	Streamed *message.StreamedBody
	// ResponseTime is the time allowed for the response to a streamed request, measured from its last byte.
	ResponseTime time.Duration
	// OnSent is called when the last byte of a streamed request has been written.
	OnSent func()
}

// Result is the outcome of one attempt.
type Result struct {
	Status    balancer.Status
	Reason    string // why the attempt failed, for the log
	LatencyMs float64
	Header    http.Header
	Body      *message.ResponseBody
	ClientErr error // the client's error that interrupted the request

	connectionLost bool // the connection broke before a response arrived
}

// exchangeResult is the outcome of an exchange on one connection.
type exchangeResult struct {
	Result
	reusable bool // the connection may carry another message
	unsent   bool // the connection broke before the last byte was written
}

// Attempt makes one attempt and returns its outcome. It resends a message only if the message can't have executed, and
// it takes ownership of outgoing. Cancelling ctx cancels the attempt and closes its connection.
func (p *Pool) Attempt(ctx context.Context, target Target, outgoing *Message) Result {
	sent := outgoing.Streamed == nil
	if outgoing.Streamed != nil {
		notify := outgoing.OnSent
		outgoing.OnSent = func() {
			outgoing.StartedAt = time.Now()
			sent = true
			notify()
		}
	}
	result := p.exchange(ctx, target, outgoing)
	// A cancelled attempt gives no information about its server, even if the cancellation interrupted a connect.
	// A response that had already arrived is kept.
	if ctx.Err() != nil && result.Status != balancer.StatusOK && result.Status != balancer.StatusOverloaded {
		result.Status = balancer.StatusCancelled
		if !sent && !outgoing.Streamed.Complete() && result.ClientErr == nil {
			result.Status = balancer.StatusUnsent // the last byte was never sent
		}
	}
	result.LatencyMs = clock.MillisecondsSince(outgoing.StartedAt)
	return result
}

// HealthCheck checks a server's health over the connections that attempts use. Its deadline is twice the connect
// timeout: a server that takes longer for such a cheap response is not healthy.
func (p *Pool) HealthCheck(ctx context.Context, target Target, host string) Result {
	startedAt := time.Now()
	outgoing := &Message{
		NewRequest: func(time.Duration) *http.Request { return newHealthCheck(host) },
		StartedAt:  startedAt,
		Deadline:   startedAt.Add(2 * p.connectTimeLimit()),
	}
	result := p.exchange(ctx, target, outgoing)
	result.Body.Release() // only the status is used
	result.LatencyMs = clock.MillisecondsSince(startedAt)
	return result
}

// exchange writes one message and reads its response. If a reused connection breaks before the last byte is written,
// the request can't have executed and the server is not to blame: the message is sent on the next idle connection,
// and finally on a new one.
func (p *Pool) exchange(ctx context.Context, target Target, outgoing *Message) Result {
	for {
		conn, err := p.acquire(ctx, target.Addr, outgoing.Deadline)
		if err != nil { // nothing was sent
			return connectFailureResult(err)
		}
		reused := conn.uses > 0
		result := p.exchangeOn(ctx, conn, target.Server, outgoing)
		if reused {
			p.recordIdleUse(conn.idledFor, result.unsent || result.connectionLost)
		}
		maySendAgain := result.unsent && reused && ctx.Err() == nil && time.Now().Before(outgoing.Deadline)
		if !maySendAgain || outgoing.Streamed.IsConsumed() {
			return result.Result
		}
	}
}

// exchangeOn makes the exchange on one connection, and then returns the connection to the pool or closes it.
func (p *Pool) exchangeOn(
	ctx context.Context, conn *serverConn, server *Server, outgoing *Message,
) exchangeResult {
	// Cancelling ctx ends pending reads and writes immediately.
	stopCancelling := context.AfterFunc(ctx, conn.expire)
	conn.uses++
	result := p.transfer(ctx, conn, server, outgoing)
	cancelled := !stopCancelling()
	streaming := result.Body != nil && result.Body.Stream != nil
	switch {
	case streaming && !cancelled:
		// The stream owns the connection until it ends.
		result.Body.Stream.UsePerReadDeadline()
	case streaming:
		result.Body.Release()
		result.Result = Result{Status: balancer.StatusCancelled}
	case result.reusable && !cancelled:
		p.release(conn, server)
	default:
		// A cancellation that has begun may not have set its expired deadline yet. If the connection were kept, that
		// deadline would make its next use fail.
		p.discard(conn)
	}
	return result
}

// transfer writes the message to a connection and reads the response.
func (p *Pool) transfer(
	ctx context.Context, conn *serverConn, server *Server, outgoing *Message,
) exchangeResult {
	conn.setDeadline(outgoing.Deadline)
	if ctx.Err() != nil {
		return exchangeResult{Result: Result{Status: balancer.StatusConnectFailed}}
	}
	if result, unsendable := outgoing.unsendable(server); unsendable {
		return exchangeResult{Result: result, reusable: true}
	}
	req := outgoing.NewRequest(time.Until(outgoing.Deadline))
	if outgoing.Streamed != nil {
		return p.newStreamedExchange(conn, server, outgoing).run(ctx, req)
	}
	return p.exchangeBuffered(conn, server, req)
}

// exchangeBuffered makes the exchange of a message whose body is completely buffered.
func (p *Pool) exchangeBuffered(conn *serverConn, server *Server, req *http.Request) exchangeResult {
	if sent, err := writeBuffered(conn.Conn, req); err != nil {
		if !sent {
			// The last byte was never sent, and the connection is closed: the request can't execute.
			return conn.unsentResult(err)
		}
		return exchangeResult{Result: Result{Status: brokenStatus(err), Reason: conn.describeFailure(err)}}
	}
	//nolint:bodyclose // the body has no resources of its own: the pool closes or reuses the connection
	resp, err := conn.readHead(req.Method, p.budget)
	return p.readResponse(conn, server, responseHead{resp: resp, err: err})
}

// unsendable reports whether the message must no longer be sent to a server, and the result of its attempt in that
// case. It is checked after the connect, which may have taken long: a draining server accepts requests only during the
// drain grace, servers drop duplicates only within the deduplication window, and the client may have closed its
// connection meanwhile.
func (m *Message) unsendable(server *Server) (result Result, unsendable bool) {
	switch {
	case !server.IsAvailable():
		return Result{Status: balancer.StatusConnectFailed, Reason: "draining or removed"}, true
	case !m.SendBy.IsZero() && time.Now().After(m.SendBy):
		return Result{Status: balancer.StatusUnsent, Reason: "the deduplication window is over"}, true
	case m.ClientGone != nil && m.ClientGone():
		reason := ErrClientGone.Error()
		return Result{Status: balancer.StatusUnsent, Reason: reason, ClientErr: ErrClientGone}, true
	}
	return Result{}, false
}
