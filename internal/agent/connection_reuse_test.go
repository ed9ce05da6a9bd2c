package agent

import (
	"net"
	"net/http"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
)

// reuseDelay is how soon after a response the agent has to use its connection for the next request. It lets the
// connection rest for half of that, so tests that need a kept connection wait for it before their next request.
const reuseDelay = 40 * time.Millisecond

func TestConnectionIsReused(t *testing.T) {
	agent, server := startWithServer(t, agenttest.RespondOK)
	for range 3 {
		agent.wantOrderStatus(http.StatusOK)
		time.Sleep(reuseDelay)
	}
	if server.Count() != 3 || server.MaxConns() != 1 || len(server.ConnsClosed) != 0 {
		t.Errorf("%d arrivals, %d connections at once, %d ended", server.Count(), server.MaxConns(), len(server.ConnsClosed))
	}
}

// A kept connection that the server has closed must be noticed before it carries a request: a non-idempotent
// one would end as a reset and fail.
func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	agent, server := startWithServer(t, func(conn net.Conn, req *http.Request, n int) bool {
		agenttest.RespondOK(conn, req, n)
		return n > 0
	})
	agent.wantOrderStatus(http.StatusOK)
	waitConnEnded(t, server)
	agent.wantOrderStatus(http.StatusOK)
	if server.Count() != 2 {
		t.Errorf("%d arrivals, want 2", server.Count())
	}
}

// A kept connection breaks on a request whose last byte was written: the request may have executed and is
// never sent again without the policy, not even with the key or without the body that make http.Transport do
// so.
func TestNoAutomaticResend(t *testing.T) {
	agent, server := startWithServer(t, func(conn net.Conn, req *http.Request, n int) bool {
		return n == 0 && agenttest.RespondOK(conn, req, n)
	})
	status := agent.do(agenttest.NewRequest(agent.addr, "order", "")).Status
	agenttest.WantStatus(t, status, http.StatusOK)
	time.Sleep(reuseDelay)
	status = agent.do(agenttest.NewRequest(agent.addr, "order", "")).Status
	agenttest.WantStatus(t, status, http.StatusBadGateway)
	if server.Count() != 2 || agent.pool.ConnectCount() != 1 {
		t.Errorf("%d arrivals, %d connects, want 2 and 1", server.Count(), agent.pool.ConnectCount())
	}
}
