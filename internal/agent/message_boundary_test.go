package agent

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/config"
	"fernbeam.example/fernbeam/internal/agent/upstream"
	"fernbeam.example/fernbeam/internal/balancer"
)

// A second response that comes some milliseconds late on a kept connection is dropped: the next request there
// has its own.
func TestSecondResponseIsNotTheNextRequests(t *testing.T) {
	const lateBy = 5 * time.Millisecond
	agent, server := startWithServer(t, func(conn net.Conn, req *http.Request, n int) bool {
		if !agenttest.RespondOK(conn, req, n) {
			return false
		}
		if n == 0 {
			time.Sleep(lateBy)
			_ = agenttest.SendResponse(conn, http.StatusOK, "", "a second response")
		}
		return true
	})
	client := agent.dialKept()
	for i := range 3 {
		sendf(client, "GET /api/%d HTTP/1.1\r\nHost: x\r\nRequest-Id: %d\r\nRequest-Class: read\r\n"+
			"Request-Timeout-Ms: 4000\r\n\r\n", i, i)
		resp, err := http.ReadResponse(client.Br, nil)
		if err != nil {
			t.Fatal(err)
		}
		body := make([]byte, 100)
		n, _ := resp.Body.Read(body)
		_ = resp.Body.Close()
		if want := fmt.Sprintf("GET /api/%d ", i); string(body[:n]) != want {
			t.Errorf("the response to request %d is %q, want %q", i, body[:n], want)
		}
	}
	if server.Count() != 3 {
		t.Errorf("%d arrivals, want 3", server.Count())
	}
}

// A retry is sent only while servers still drop duplicates, also where its connection is established after
// the policy's check of the time.
func TestRetryIsNotSentPastItsWindow(t *testing.T) {
	t.Parallel()
	failing := agenttest.NewServer(t, responds(http.StatusInternalServerError, "", ""))
	// Which server the policy selects first depends on its hash: one of two ids leads to the failing one.
	for _, ids := range [][2]string{{"s-1", "s-2"}, {"s-2", "s-1"}, {"s-3", "s-4"}, {"s-4", "s-3"}} {
		if retriedInTime(t, failing, ids[0], ids[1]) {
			return
		}
	}
	t.Error("no request came to the failing server first")
}

// retriedInTime runs an agent with a failing server and one whose connection is established after the
// deduplication window. It checks that nothing is sent on that connection, and returns false if the policy
// selected that server first, so that there was no retry.
func retriedInTime(t *testing.T, failing *agenttest.Server, failingID, slowID string) bool {
	t.Helper()
	const (
		dedupWindowMs = 400
		attemptTime   = 100 * time.Millisecond // in which the failing server has its attempt
		acceptDelay   = 600 * time.Millisecond // after that; past the window
	)
	listener := fullListener(t)
	discovery := agenttest.NewDiscovery(t,
		agenttest.Endpoint(failingID, failing.Addr),
		agenttest.Endpoint(slowID, listener.Addr().String()),
	)
	agent := startAgent(t, discovery, func(cfg *config.Config) {
		withLongConnectTimeout(cfg)
		for i := range cfg.Settings.Classes {
			cfg.Settings.Classes[i].DedupWindowMs = dedupWindowMs
		}
	})
	before := failing.Count()
	agent.downstream.ApplySettings(agent.cfg)
	req := agenttest.NewRequest(agent.addr, "send", "x")
	req.Header.Set("Request-Timeout-Ms", "8000")
	status := make(chan int, 1)
	go func() {
		resp, err := agenttest.HTTPClient.Do(req)
		if err != nil {
			status <- 0
			return
		}
		_ = resp.Body.Close()
		status <- resp.StatusCode
	}()
	agenttest.WaitUntil(t, "a connect has begun", func() bool { return agent.pool.ConnectCount() > 0 })
	time.Sleep(attemptTime)
	if failing.Count() == before {
		_ = listener.Close()
		agent.stop()
		return false
	}
	// The retry's connect blocks until the accept queue has space.
	time.AfterFunc(acceptDelay, func() {
		acceptAll(listener, func(conn net.Conn) {
			head := make([]byte, 1000)
			if n, _ := conn.Read(head); n > 0 {
				t.Errorf("retried after the deduplication window: %q", head[:n])
				_ = agenttest.SendResponse(conn, http.StatusOK, "", "")
			}
		})
	})
	agenttest.WantStatus(t, <-status, http.StatusBadGateway)
	if metrics := agent.metricsNow(); metrics.Attempts[balancer.StatusUnsent] != 1 {
		t.Errorf("metrics %+v", metrics)
	}
	return true
}

// A process that knows no server, of a discovery that is silent, is ready in time all the same: its requests
// are rejected within their timeouts, and served once there is a list. The admin endpoint says that it serves
// only then.
func TestReadyWithoutAnEndpointList(t *testing.T) {
	t.Parallel()
	server := agenttest.NewServer(t, agenttest.RespondOK)
	var reachable atomic.Bool
	addr, _ := agenttest.ScriptedDiscovery(t, func(int, agenttest.WatchCall) string {
		if !reachable.Load() {
			return ""
		}
		return fmt.Sprintf(
			`{"version":3,"full":true,"servers":[{"id":"s-1","addr":%q,"state":"up","weight":1}]}`, server.Addr)
	})
	start := time.Now()
	agent := startAgent(t, agenttest.NewDiscovery(t), func(cfg *config.Config) {
		cfg.Discovery = addr
		cfg.Settings.DiscoveryMode = balancer.DiscoveryPushed
	})
	if took := time.Since(start); took > 10*time.Second {
		t.Errorf("ready after %v", took)
	}
	agenttest.WantStatus(t, agent.adminCall("GET", "/ops/readiness"), http.StatusServiceUnavailable)
	req := agenttest.NewRequest(agent.addr, "order", "x")
	req.Header.Set("Request-Timeout-Ms", "500")
	status, _, _ := agent.do(req)
	agenttest.WantStatus(t, status, http.StatusServiceUnavailable)
	reachable.Store(true)
	agenttest.WaitUntil(t, "a request is served", func() bool {
		status, _, _ := agent.do(agenttest.NewRequest(agent.addr, "order", "x"))
		return status == http.StatusOK
	})
	agenttest.WaitUntil(t, "the admin endpoint says that it serves", func() bool {
		return agent.adminCall("GET", "/ops/readiness") == http.StatusOK
	})
}

// Half a line that a server sends on an idle connection makes it unusable: the next request takes another.
func TestPartialLineOnAnIdleConnectionIsDropped(t *testing.T) {
	sent := make(chan struct{})
	agent, server := startWithServer(t, func(conn net.Conn, req *http.Request, n int) bool {
		agenttest.RespondOK(conn, req, n)
		if n == 0 {
			send(conn, "HTTP/1.1 2")
			close(sent)
		}
		return true
	})
	for i := range 2 {
		agent.wantOrderStatus(http.StatusOK)
		if i == 0 {
			<-sent
			time.Sleep(2 * upstream.SettleTime)
		}
	}
	if server.Count() != 2 {
		t.Errorf("%d arrivals, want 2", server.Count())
	}
}

// A client that closes in the middle of a buffered body has sent no request: nothing is forwarded.
func TestClientThatClosesInItsBodyIsNotForwarded(t *testing.T) {
	agent, server := startWithServer(t, agenttest.RespondOK)
	client := agent.dialKept()
	send(client, orderHead(timeoutMs, len("complete"))+"half")
	_ = client.Close()
	agent.waitNoClients(t)
	agenttest.WaitUntil(t, "the invalid request is counted", func() bool { return agent.metricsNow().Invalid == 1 })
	if metrics := agent.metricsNow(); server.StartedCount() != 0 || metrics.Requests != 0 {
		t.Errorf("%d arrivals, metrics %+v", server.StartedCount(), metrics)
	}
}
