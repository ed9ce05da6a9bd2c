package upstream

import (
	"context"
	"net/http"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/config"
	"fernbeam.example/fernbeam/internal/agent/message"
	"fernbeam.example/fernbeam/internal/balancer"
)

// testMemoryBytes is the agent memory from which the tests' pools derive their budget for buffered bodies.
const testMemoryBytes = 64 << 20

// testStreams is the number of bodies that the tests' pools may stream at a time.
const testStreams = 64

// newTestPool returns a connection pool without an agent.
func newTestPool(connectTimeout time.Duration, maxConns int) *Pool {
	return &Pool{
		budget:         message.NewQuota(testMemoryBytes / 6),
		streams:        message.NewQuota(testStreams),
		dial:           config.DialTCP,
		connectTimeout: connectTimeout,
		keepalive:      time.Minute,
		maxConns:       maxConns,
		idle:           map[string][]*serverConn{},
	}
}

// orderRequest returns a client request of a non-idempotent class.
func orderRequest(addr string, body []byte) *message.Request {
	req := agenttest.NewRequest(addr, "order", "")
	return &message.Request{Method: req.Method, URL: req.URL, Header: req.Header, Body: body}
}

// readyTarget returns the target of an available server at addr.
func readyTarget(addr string) Target { return Target{Server: &Server{}, Addr: addr} }

// attemptNow makes an attempt for a client request, with a deadline after agenttest.Timeout.
func attemptNow(ctx context.Context, pool *Pool, target Target, incoming *message.Request) Result {
	now := time.Now()
	outgoing := &Message{
		NewRequest: func(left time.Duration) *http.Request { return NewRequest(incoming, left) },
		StartedAt:  now,
		Deadline:   now.Add(agenttest.Timeout),
	}
	return pool.Attempt(ctx, target, outgoing)
}

// wantStatus checks the status of an attempt or a health check, which what names.
func wantStatus(t *testing.T, what string, result Result, want balancer.Status) {
	t.Helper()
	if result.Status != want {
		t.Errorf("%s: status %d (%s), want %d", what, result.Status, result.Reason, want)
	}
}
