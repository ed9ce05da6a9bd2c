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

// backend is one listed server. Its fields belong to the loop, but for closed.
type upstreamServer struct {
	id          string
	policyAddr  balancer.Addr // what the module calls it
	addr        string        // where it listens, as told to this agent last
	removed     bool
	inFlight    int         // attempts out
	unavailable atomic.Bool // told to drain or gone: read by attempts just before they write
}

// result is how one attempt ended.
type attemptResult struct {
	status         balancer.Status
	reason         string // what ended a failed attempt, for the log
	connectionLost bool   // the connection broke before any answer
	latencyMs      float64
	header         http.Header
	body           *responseBody
	clientErr      error // what the client broke off in the middle of its body
}

// message is what goes to a backend.
type upstreamMessage struct {
	// request is made for the time that is left.
	newRequest func(left time.Duration) *http.Request
	// sendBy is when a repeat's time is over: nothing is begun later. Zero: it is none.
	sendBy time.Time
	// gone tells whether who sent it has left; nil: it can't be told.
	clientGone func() bool
	// long is the part of its body that is not kept; nil: there is none.
	streamed *streamedBody
	// within is the time that the answer to a long one has from its last byte on.
	responseTime time.Duration
	// written is told when the last byte of a long one is written.
	onSent func()
}

// barred tells whether the message must not be begun at b any more, and how its attempt ends. The
// connect may have taken long: the drain grace runs from the telling, backends drop repeats for a
// time only, and the client may have left meanwhile.
func (m *upstreamMessage) unsendable(b *upstreamServer) (r attemptResult, yes bool) {
	switch {
	case b.unavailable.Load():
		return attemptResult{status: balancer.StatusConnectFailed, reason: "draining or removed"}, true
	case !m.sendBy.IsZero() && time.Now().After(m.sendBy):
		return attemptResult{status: balancer.StatusUnsent, reason: "the deduplication window is over"}, true
	case m.clientGone != nil && m.clientGone():
		return attemptResult{status: balancer.StatusUnsent, reason: errClientGone.Error(), clientErr: errClientGone}, true
	}
	return attemptResult{}, false
}

var errClientGone = errors.New("client closed the connection")

// do makes one attempt and returns how it ended, exactly once. It never sends
// anything twice. Cancelling ctx withdraws the attempt and closes its connection.
func (p *connectionPool) attempt(ctx context.Context, b *upstreamServer, addr string, m *upstreamMessage, sent, deadline time.Time) attemptResult {
	whole := m.streamed == nil
	if written := m.onSent; m.streamed != nil {
		m.onSent = func() {
			sent, whole = time.Now(), true
			written()
		}
	}
	r := p.exchange(ctx, b, addr, m, deadline)
	// A withdrawn attempt says nothing of its backend, also where the withdrawal cut
	// off a connect; an answer that was already there stands.
	if ctx.Err() != nil && r.status != balancer.StatusOK && r.status != balancer.StatusOverloaded {
		if r.status = balancer.StatusCancelled; !whole && !m.streamed.complete() && r.clientErr == nil {
			r.status = balancer.StatusUnsent // its last byte was never sent
		}
	}
	r.latencyMs = float64(time.Since(sent).Microseconds()) / 1000
	return r
}

// probe asks a backend whether it is healthy, over the connections that attempts use.
// It is given up after twice the time that a connect may take: a backend that lets a
// cheap answer wait for so long is not validated.
func (p *connectionPool) healthCheck(ctx context.Context, b *upstreamServer, addr, host string) attemptResult {
	m := &upstreamMessage{newRequest: func(time.Duration) *http.Request {
		return &http.Request{Method: http.MethodGet, URL: &url.URL{Path: "/-/healthy"}, Host: host,
			Header: http.Header{"User-Agent": {""}}}
	}}
	sent := time.Now()
	r := p.exchange(ctx, b, addr, m, sent.Add(2*p.connectTimeLimit()))
	r.body.release() // only its status counts
	r.latencyMs = float64(time.Since(sent).Microseconds()) / 1000
	return r
}

// exchange writes one message and reads its answer. A kept connection that turns out
// broken before the last byte is written has brought nothing to the backend and says
// nothing of it: the message goes out on the next one, and on a new one at the last.
func (p *connectionPool) exchange(ctx context.Context, b *upstreamServer, addr string, m *upstreamMessage, deadline time.Time) attemptResult {
	for {
		cn, err := p.acquire(ctx, addr, deadline)
		if err != nil { // not a byte was sent
			return connectFailureResult(err)
		}
		kept := cn.uses > 0
		r, unsent := p.exchangeOn(ctx, cn, b, m, deadline)
		if kept {
			p.recordIdleUse(cn.idledFor, unsent || r.connectionLost)
		}
		if !unsent || !kept || ctx.Err() != nil || !time.Now().Before(deadline) || m.streamed.isConsumed() {
			return r
		}
	}
}

// over makes the exchange on one connection; unsent tells that the connection broke
// before the last byte was written.
func (p *connectionPool) exchangeOn(ctx context.Context, cn *serverConn, b *upstreamServer, m *upstreamMessage, deadline time.Time) (r attemptResult, unsent bool) {
	reusable := false
	// Withdrawing makes whatever reads or writes end at once.
	stop := context.AfterFunc(ctx, func() { cn.SetDeadline(time.Unix(1, 0)) })
	cn.uses++
	defer func() {
		withdrawn := !stop()
		switch {
		case r.body != nil && r.body.stream != nil && !withdrawn:
			// The connection is the stream's until that ends.
			r.body.stream.extendDeadline(true)
		case r.body != nil && r.body.stream != nil:
			r.body.release()
			r = attemptResult{status: balancer.StatusCancelled}
		case reusable && !withdrawn:
			p.release(cn, b)
		default:
			// If the withdrawal has begun its deadline would hit the next user.
			p.discard(cn)
		}
	}()
	cn.SetDeadline(deadline)
	if ctx.Err() != nil {
		return attemptResult{status: balancer.StatusConnectFailed}, false
	}
	if r, reusable = m.unsendable(b); reusable {
		return r, false
	}
	req := m.newRequest(time.Until(deadline))
	if m.streamed != nil {
		return p.exchangeStreamed(ctx, cn, b, m, req, &reusable)
	}
	var out bytes.Buffer
	if err := req.Write(&out); err != nil {
		return attemptResult{status: balancer.StatusConnectFailed, reason: err.Error()}, false
	}
	if n, err := cn.Write(out.Bytes()); err != nil {
		if n < out.Len() {
			// The last byte never left, and the connection is closed: it cannot run.
			return attemptResult{status: writeFailureStatus(err), reason: cn.describeFailure(err)}, true
		}
		return attemptResult{status: brokenStatus(err), reason: cn.describeFailure(err)}, false
	}
	resp, err := readResponseHead(cn.reader, req.Method)
	r, reusable = p.readResponse(cn, b, resp, err)
	return r, false
}
