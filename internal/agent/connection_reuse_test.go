package agent

import (
	"net"
	"net/http"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/upstream"
)

func TestConnectionIsReused(t *testing.T) {
	agent, server := startWithServer(t, agenttest.RespondOK)
	for range 3 {
		agent.wantOrderStatus(http.StatusOK)
		time.Sleep(2 * upstream.SettleTime)
	}
	server.Mu.Lock()
	defer server.Mu.Unlock()
	if server.Arrivals != 3 || server.MaxConns != 1 || len(server.ConnsClosed) != 0 {
		t.Errorf("%d arrivals, %d connections at once, %d ended", server.Arrivals, server.MaxConns, len(server.ConnsClosed))
	}
}

// A kept connection that the server has closed must be noticed before it carries a request: a non-idempotent
// one would end as a reset and fail.
func TestClosedKeptConnectionIsNotUsed(t *testing.T) {
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
func TestNoSilentResend(t *testing.T) {
	agent, server := startWithServer(t, func(conn net.Conn, req *http.Request, n int) bool {
		return n == 0 && agenttest.RespondOK(conn, req, n)
	})
	status, _, _ := agent.do(agenttest.NewRequest(agent.addr, "order", ""))
	agenttest.WantStatus(t, status, http.StatusOK)
	time.Sleep(2 * upstream.SettleTime)
	status, _, _ = agent.do(agenttest.NewRequest(agent.addr, "order", ""))
	agenttest.WantStatus(t, status, http.StatusBadGateway)
	if server.Count() != 2 {
		t.Errorf("%d arrivals, want 2", server.Count())
	}
}
