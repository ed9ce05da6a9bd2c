package agent

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/config"
	"fernbeam.example/fernbeam/internal/agent/upstream"
)

func TestConnectionIsReused(t *testing.T) {
	agent, server := startWithServer(t, agenttest.RespondOK)
	for range 3 {
		status, _, _ := agent.do(agenttest.NewRequest(agent.addr, "order", "x"))
		agenttest.WantStatus(t, status, 200)
		time.Sleep(2 * upstream.SettleTime)
	}
	server.Mu.Lock()
	defer server.Mu.Unlock()
	if server.Arrivals != 3 || server.Most != 1 || len(server.Ended) != 0 {
		t.Errorf("%d arrivals, %d connections at once, %d ended", server.Arrivals, server.Most, len(server.Ended))
	}
}

// A kept connection that the server has closed must be noticed before it carries a request: a non-idempotent
// one would end as a reset and fail.
func TestClosedKeptConnectionIsNotUsed(t *testing.T) {
	agent, server := startWithServer(t, func(conn net.Conn, req *http.Request, n int) bool {
		agenttest.RespondOK(conn, req, n)
		return n > 0
	})
	wantServed := func() {
		t.Helper()
		status, _, _ := agent.do(agenttest.NewRequest(agent.addr, "order", "x"))
		agenttest.WantStatus(t, status, 200)
	}
	wantServed()
	select {
	case <-server.Ended:
	case <-time.After(agenttest.Timeout):
		t.Fatal("the backend did not close")
	}
	wantServed()
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
	agenttest.WantStatus(t, status, 200)
	time.Sleep(2 * upstream.SettleTime)
	status, _, _ = agent.do(agenttest.NewRequest(agent.addr, "order", ""))
	agenttest.WantStatus(t, status, 502)
	if server.Count() != 2 {
		t.Errorf("%d arrivals, want 2", server.Count())
	}
}

// Idle clients are closed for new ones, and attempts beyond the limit don't open connections: neither side
// can use up the descriptors.
func TestDescriptorLimit(t *testing.T) {
	release := make(chan struct{})
	server := agenttest.NewServer(t, func(conn net.Conn, req *http.Request, n int) bool {
		<-release
		return agenttest.RespondOK(conn, req, n)
	})
	agent := startAgent(t, agenttest.NewDiscovery(t, agenttest.Endpoint("s-1", server.Addr)), func(cfg *config.Config) { cfg.Sockets = config.MinSockets })
	most := agent.cfg.ClientConns()
	for range 2 * most { // clients that stay connected and idle
		conn, err := net.Dial("tcp", agent.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(agenttest.Timeout))
		fmt.Fprint(conn, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
		if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || resp.StatusCode != 200 {
			t.Fatalf("%v, %v", resp, err)
		}
	}
	close(release)
	status, _, _ := agent.do(agenttest.NewRequest(agent.addr, "order", "x"))
	agenttest.WantStatus(t, status, 200)
}
