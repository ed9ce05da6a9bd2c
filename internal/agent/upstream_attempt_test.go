package agent

import (
	"net"
	"net/http"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
)

func TestInterimResponseIsSkipped(t *testing.T) {
	agent, _ := startWithServer(t, func(conn net.Conn, req *http.Request, n int) bool {
		send(conn, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
		return agenttest.RespondOK(conn, req, n)
	})
	agent.wantOrderStatus(http.StatusOK)
}

func TestRefusedConnectDidNotExecute(t *testing.T) {
	listener := newListener(t)
	addr := listener.Addr().String()
	_ = listener.Close()
	agent := startAgent(t, listing(t, addr), nil)
	status, header, _ := agent.do(agenttest.NewRequest(agent.addr, "order", "x"))
	agenttest.WantStatus(t, status, http.StatusServiceUnavailable)
	if header.Get("Retry-After") == "" {
		t.Error("rejected without Retry-After")
	}
}

// A server that sends nothing: the request fails within its timeout, and the connection is closed, as the
// late response would be taken for the next one's.
func TestSilentServer(t *testing.T) {
	agent, server := startWithServer(t, func(net.Conn, *http.Request, int) bool { return true })
	req := agenttest.NewRequest(agent.addr, "order", "x")
	req.Header.Set("Request-Timeout-Ms", "600")
	start := time.Now()
	status, _, _ := agent.do(req)
	if status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
		t.Errorf("response %d, want a failure", status)
	}
	if took := time.Since(start); took < 400*time.Millisecond {
		t.Errorf("gave up after %v", took)
	}
	select {
	case <-server.Ended:
	case <-time.After(agenttest.Timeout):
		t.Error("the connection stays open")
	}
	if server.Count() != 1 {
		t.Errorf("%d arrivals, want 1", server.Count())
	}
}
