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
	agent, server := startWithServer(t, func(conn net.Conn, req *http.Request, n int) bool {
		if !agenttest.RespondOK(conn, req, n) {
			return false
		}
		if n == 0 {
			time.Sleep(5 * time.Millisecond)
			_ = agenttest.SendResponse(conn, 200, "", "a second answer")
		}
		return true
	})
	client := agent.dialKept()
	for i := range 3 {
		fmt.Fprintf(client, "GET /api/%d HTTP/1.1\r\nHost: x\r\nRequest-Id: %d\r\nRequest-Class: read\r\nRequest-Timeout-Ms: 4000\r\n\r\n", i, i)
		resp, err := http.ReadResponse(client.Br, nil)
		if err != nil {
			t.Fatal(err)
		}
		body := make([]byte, 100)
		n, _ := resp.Body.Read(body)
		resp.Body.Close()
		if want := fmt.Sprintf("GET /api/%d ", i); string(body[:n]) != want {
			t.Errorf("request %d was answered %q, want %q", i, body[:n], want)
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
	fails := agenttest.NewServer(t, func(conn net.Conn, _ *http.Request, _ int) bool { return agenttest.SendResponse(conn, 500, "", "") })
	// Which server the policy selects first depends on its hash: one of two ids leads to the failing one.
	for _, ids := range [][2]string{{"s-1", "s-2"}, {"s-2", "s-1"}, {"s-3", "s-4"}, {"s-4", "s-3"}} {
		ln := fullListener(t)
		agent := startAgent(t, agenttest.NewDiscovery(t, agenttest.Endpoint(ids[0], fails.Addr), agenttest.Endpoint(ids[1], ln.Addr().String())), func(cfg *config.Config) {
			cfg.Settings.Limits.ConnectTimeoutMs = 10_000
			for i := range cfg.Settings.Classes {
				cfg.Settings.Classes[i].DedupWindowMs = 400
			}
		})
		before := fails.Count()
		agent.downstream.ApplySettings(agent.cfg)
		req := agenttest.NewRequest(agent.addr, "send", "x")
		req.Header.Set("Request-Timeout-Ms", "8000")
		got := make(chan int, 1)
		go func() {
			resp, err := agenttest.HTTPClient.Do(req)
			if err != nil {
				got <- 0
				return
			}
			resp.Body.Close()
			got <- resp.StatusCode
		}()
		agenttest.WaitUntil(t, "a connect is under way", func() bool { return agent.pool.ConnectCount() > 0 })
		time.Sleep(100 * time.Millisecond)
		if fails.Count() == before { // the slow one came first: no repeat is on its way
			ln.Close()
			agent.stop()
			continue
		}
		// The retry's connect blocks until the queue has space, past the window by then.
		time.AfterFunc(600*time.Millisecond, func() {
			for {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				go func() {
					defer conn.Close()
					head := make([]byte, 1000)
					if n, _ := conn.Read(head); n > 0 {
						t.Errorf("repeated after its window: %q", head[:n])
						_ = agenttest.SendResponse(conn, 200, "", "")
					}
				}()
			}
		})
		if status := <-got; status != 502 {
			t.Errorf("answered %d, want 502", status)
		}
		if metrics := agent.metricsNow(); metrics.Attempts[balancer.StatusUnsent] != 1 {
			t.Errorf("figures %+v", metrics)
		}
		return
	}
	t.Error("no request came to the failing backend first")
}

// A process that knows no server, of a discovery that is silent, is ready in time all the same: its requests
// are rejected within their timeouts, and served once there is a list. The admin endpoint says that it serves
// only then.
func TestReadyWithoutAnEndpointList(t *testing.T) {
	t.Parallel()
	server := agenttest.NewServer(t, agenttest.RespondOK)
	var up atomic.Bool
	addr, _ := agenttest.ScriptedDiscovery(t, func(int, agenttest.WatchCall) string {
		if !up.Load() {
			return ""
		}
		return fmt.Sprintf(`{"version":3,"full":true,"servers":[{"id":"s-1","addr":%q,"state":"up","weight":1}]}`, server.Addr)
	})
	from := time.Now()
	agent := startAgent(t, agenttest.NewDiscovery(t), func(cfg *config.Config) { cfg.Discovery, cfg.Settings.DiscoveryMode = addr, "pushed" })
	if took := time.Since(from); took > 10*time.Second {
		t.Errorf("ready after %v", took)
	}
	agenttest.WantStatus(t, agent.adminCall("GET", "/ops/readiness"), 503)
	req := agenttest.NewRequest(agent.addr, "order", "x")
	req.Header.Set("Request-Timeout-Ms", "500")
	status, _, _ := agent.do(req)
	agenttest.WantStatus(t, status, 503)
	up.Store(true)
	agenttest.WaitUntil(t, "a request is served", func() bool {
		status, _, _ := agent.do(agenttest.NewRequest(agent.addr, "order", "x"))
		return status == 200
	})
	agenttest.WaitUntil(t, "operators are told", func() bool { return agent.adminCall("GET", "/ops/readiness") == 200 })
}

// Half a line that a server sends on an idle connection makes it unusable: the next request takes another.
func TestPartialLineOnAnIdleConnectionIsDropped(t *testing.T) {
	more := make(chan struct{})
	agent, server := startWithServer(t, func(conn net.Conn, req *http.Request, n int) bool {
		if agenttest.RespondOK(conn, req, n); n == 0 {
			fmt.Fprint(conn, "HTTP/1.1 2")
			close(more)
		}
		return true
	})
	for i := range 2 {
		status, _, _ := agent.do(agenttest.NewRequest(agent.addr, "order", "x"))
		agenttest.WantStatus(t, status, 200)
		if i == 0 {
			<-more
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
	fmt.Fprint(client, "POST /api/a HTTP/1.1\r\nHost: x\r\nRequest-Id: 1\r\nRequest-Class: order\r\nRequest-Timeout-Ms: 4000\r\nContent-Length: 9\r\n\r\nhalf")
	client.Close()
	agent.wantNoneOpen(t)
	agenttest.WaitUntil(t, "it is counted", func() bool { return agent.metricsNow().Invalid == 1 })
	if metrics := agent.metricsNow(); server.StartedCount() != 0 || metrics.Requests != 0 {
		t.Errorf("%d arrivals, figures %+v", server.StartedCount(), metrics)
	}
}
