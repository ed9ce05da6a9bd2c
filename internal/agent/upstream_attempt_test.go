package agent

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
)

func TestInterimResponseIsSkipped(t *testing.T) {
	agent, _ := startWithServer(t, func(conn net.Conn, req *http.Request, n int) bool {
		fmt.Fprint(conn, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
		return agenttest.RespondOK(conn, req, n)
	})
	status, _, _ := agent.do(agenttest.NewRequest(agent.addr, "order", "x"))
	agenttest.WantStatus(t, status, 200)
}

func TestRefusedConnectDidNotExecute(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	agent := startAgent(t, agenttest.NewDiscovery(t, agenttest.Endpoint("s-1", addr)), nil)
	status, header, _ := agent.do(agenttest.NewRequest(agent.addr, "order", "x"))
	agenttest.WantStatus(t, status, 503)
	if header.Get("Retry-After") == "" {
		t.Error("refused without Retry-After")
	}
}

// A server that sends nothing: the request fails within its timeout, and the connection is closed, as the
// late response would be taken for the next one's.
func TestSilentServer(t *testing.T) {
	agent, server := startWithServer(t, func(net.Conn, *http.Request, int) bool { return true })
	req := agenttest.NewRequest(agent.addr, "order", "x")
	req.Header.Set("Request-Timeout-Ms", "600")
	from := time.Now()
	status, _, _ := agent.do(req)
	if status != 502 && status != 504 {
		t.Errorf("answered %d, want a failure", status)
	}
	if took := time.Since(from); took < 400*time.Millisecond {
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
