package agent

import (
	"net"
	"net/http"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
)

// reuseDelay is how long tests wait after a response if their next request must reuse its connection. It is twice the
// time for which the agent leaves a connection idle before it reuses it.
const reuseDelay = 40 * time.Millisecond

func TestConnectionIsReused(t *testing.T) {
	agent, server := startWithServer(t, agenttest.RespondOK)
	for range 3 {
		agent.wantOrderStatus(http.StatusOK)
		time.Sleep(reuseDelay)
	}
	if server.Count() != 3 || server.MaxConns() != 1 || len(server.ConnsClosed) != 0 {
		t.Errorf("%d requests, %d concurrent connections, %d closed; want 3, 1, 0",
			server.Count(), server.MaxConns(), len(server.ConnsClosed))
	}
}

// The agent must notice that a server has closed an idle connection before it sends a request on it. Otherwise the
// reset would make a non-idempotent request fail, because the request may have executed.
func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	agent, server := startWithServer(t, func(conn net.Conn, req *http.Request, n int) bool {
		agenttest.RespondOK(conn, req, n)
		return n > 0
	})
	agent.wantOrderStatus(http.StatusOK)
	waitConnEnded(t, server)
	agent.wantOrderStatus(http.StatusOK)
	if server.Count() != 2 {
		t.Errorf("server received %d requests, want 2", server.Count())
	}
}

// A request whose reused connection breaks after its last byte was written may have executed. It must not be sent again
// unless the policy retries it. http.Transport would resend it automatically if it had an idempotency key or no body.
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
		t.Errorf("%d requests, %d connects; want 2, 1", server.Count(), agent.pool.ConnectCount())
	}
}
