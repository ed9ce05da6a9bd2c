package upstream

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"fernbeam.example/fernbeam/internal/agent/message"
	"fernbeam.example/fernbeam/internal/balancer"
	"fernbeam.example/fernbeam/internal/clock"
)

// ErrClientGone ends an attempt whose client has closed its connection.
var ErrClientGone = errors.New("client closed the connection")

// Server is what attempts know of a server besides its address. The zero value is available.
type Server struct {
	unavailable atomic.Bool
}

// SetAvailable sets whether the server may be sent requests: it is neither draining nor removed.
func (s *Server) SetAvailable(available bool) { s.unavailable.Store(!available) }

// IsAvailable reports whether the server may be sent requests; attempts read it just before they write.
func (s *Server) IsAvailable() bool { return !s.unavailable.Load() }

// Target is where an attempt or a health check goes.
type Target struct {
	Server *Server
	Addr   string // the server's network address when the attempt began
}

// Message is what an attempt sends to a server, and until when.
type Message struct {
	// NewRequest makes the request for the time that is left.
	NewRequest func(left time.Duration) *http.Request
	// StartedAt is when the attempt began; its latency counts from then, or from the last byte of a streamed request.
	StartedAt time.Time
	// Deadline is until when the response to a buffered request is waited for.
	Deadline time.Time
	// SendBy is until when a retry may be sent. Zero: there is no limit.
	SendBy time.Time
	// ClientGone checks whether the client has closed its connection; nil: that can't be checked.
	ClientGone func() bool
	// Streamed is the part of the body that is not buffered; nil: all of it is.
	Streamed *message.StreamedBody
	// ResponseTime is the time for the response to a streamed request, from its last byte on.
	ResponseTime time.Duration
	// OnSent is called when the last byte of a streamed request is written.
	OnSent func()
}

// Result is how one attempt ended.
type Result struct {
	Status    balancer.Status
	Reason    string // why the attempt failed, for the log
	LatencyMs float64
	Header    http.Header
	Body      *message.ResponseBody
	ClientErr error // the client's error that broke off the request in the middle of its body

	connectionLost bool // the connection broke before any response
}

// exchangeResult is how an exchange on one connection ended.
type exchangeResult struct {
	Result
	reusable bool // the connection may carry another message
	unsent   bool // the connection broke before the last byte was written
}

// Attempt makes one attempt and returns how it ended. It never sends anything twice, and outgoing is its own from
// now on. Cancelling ctx cancels the attempt and closes its connection.
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
	// A cancelled attempt says nothing of its server, also where the cancellation cut off a connect; a response
	// that was already there stands.
	if ctx.Err() != nil && result.Status != balancer.StatusOK && result.Status != balancer.StatusOverloaded {
		result.Status = balancer.StatusCancelled
		if !sent && !outgoing.Streamed.Complete() && result.ClientErr == nil {
			result.Status = balancer.StatusUnsent // its last byte was never sent
		}
	}
	result.LatencyMs = clock.MillisecondsSince(outgoing.StartedAt)
	return result
}

// HealthCheck asks a server whether it is healthy, over the connections that attempts use. It is given up after
// twice the time that a connect may take: a server that delays a cheap response for so long is not healthy.
func (p *Pool) HealthCheck(ctx context.Context, target Target, host string) Result {
	startedAt := time.Now()
	outgoing := &Message{
		NewRequest: func(time.Duration) *http.Request { return newHealthCheck(host) },
		StartedAt:  startedAt,
		Deadline:   startedAt.Add(2 * p.connectTimeLimit()),
	}
	result := p.exchange(ctx, target, outgoing)
	result.Body.Release() // only the status counts
	result.LatencyMs = clock.MillisecondsSince(startedAt)
	return result
}

// exchange writes one message and reads its response. A kept connection that turns out broken before the last
// byte is written has brought nothing to the server and says nothing of it: the message goes out on the next
// kept connection, and finally on a new one.
func (p *Pool) exchange(ctx context.Context, target Target, outgoing *Message) Result {
	for {
		conn, err := p.acquire(ctx, target.Addr, outgoing.Deadline)
		if err != nil { // not a byte was sent
			return connectFailureResult(err)
		}
		kept := conn.uses > 0
		result := p.exchangeOn(ctx, conn, target.Server, outgoing)
		if kept {
			p.recordIdleUse(conn.idledFor, result.unsent || result.connectionLost)
		}
		maySendAgain := result.unsent && kept && ctx.Err() == nil && time.Now().Before(outgoing.Deadline)
		if !maySendAgain || outgoing.Streamed.IsConsumed() {
			return result.Result
		}
	}
}

// exchangeOn makes the exchange on one connection, and gives the connection back or closes it.
func (p *Pool) exchangeOn(
	ctx context.Context, conn *serverConn, server *Server, outgoing *Message,
) exchangeResult {
	// Cancelling makes whatever reads or writes end at once.
	stopCancelling := context.AfterFunc(ctx, conn.expire)
	conn.uses++
	result := p.transfer(ctx, conn, server, outgoing)
	cancelled := !stopCancelling()
	streaming := result.Body != nil && result.Body.Stream != nil
	switch {
	case streaming && !cancelled:
		// The connection is the stream's until that ends.
		result.Body.Stream.UsePerReadDeadline()
	case streaming:
		result.Body.Release()
		result.Result = Result{Status: balancer.StatusCancelled}
	case result.reusable && !cancelled:
		p.release(conn, server)
	default:
		// If the cancellation has begun its deadline would hit the connection's next user.
		p.discard(conn)
	}
	return result
}

// transfer writes the message on a connection and reads the response.
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

// exchangeBuffered makes the exchange of a message that is buffered completely.
func (p *Pool) exchangeBuffered(conn *serverConn, server *Server, req *http.Request) exchangeResult {
	var out bytes.Buffer
	if err := req.Write(&out); err != nil {
		failed := Result{Status: balancer.StatusConnectFailed, Reason: err.Error()}
		return exchangeResult{Result: failed}
	}
	if written, err := conn.Write(out.Bytes()); err != nil {
		if written < out.Len() {
			// The last byte was never sent, and the connection is closed: the request can't execute.
			return conn.unsentResult(err)
		}
		return exchangeResult{Result: Result{Status: brokenStatus(err), Reason: conn.describeFailure(err)}}
	}
	//nolint:bodyclose // the body has no resources of its own: the pool closes or reuses the connection
	resp, err := readResponseHead(conn.reader, req.Method)
	return p.readResponse(conn, server, responseHead{resp: resp, err: err})
}

// unsendable reports whether the message must no longer be sent to a server, and how its attempt ends. The
// connect may have taken long: a draining server allows requests only for a grace time, servers drop duplicates
// only within a window, and the client may have closed its connection meanwhile.
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
