package agent

import (
	"net"
	"net/http"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/config"
	"fernbeam.example/fernbeam/internal/balancer"
)

// A retry is not sent once the deduplication window is over, even if its connection is established only after the
// policy has checked the window.
func TestRetryIsNotSentAfterTheDeduplicationWindow(t *testing.T) {
	t.Parallel()
	failing := agenttest.NewServer(t, respondWith(http.StatusInternalServerError, "", ""))
	// The policy selects the first server by a hash of its ID. In one of the two orders of each pair of IDs, that is
	// the failing server.
	for _, ids := range [][2]string{{"s-1", "s-2"}, {"s-2", "s-1"}, {"s-3", "s-4"}, {"s-4", "s-3"}} {
		if checkLateRetry(t, failing, ids[0], ids[1]) {
			return
		}
	}
	t.Error("no request went to the failing server first")
}

// checkLateRetry sends a request through an agent with two servers: one that fails it, and one whose connection is
// established after the deduplication window. It checks that nothing is sent on that connection, and returns false if
// the policy selected that server first, so that there was no retry.
func checkLateRetry(t *testing.T, failing *agenttest.Server, failingID, slowID string) bool {
	t.Helper()
	const (
		dedupWindowMs = 400
		attemptTime   = 100 * time.Millisecond // enough for the attempt at the failing server
		acceptDelay   = 600 * time.Millisecond // after attemptTime; later than the window
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
		response, _ := agenttest.Do(req) // the status is 0 after an error
		status <- response.Status
	}()
	agenttest.WaitUntil(t, "a connect has begun", func() bool { return agent.pool.ConnectCount() > 0 })
	time.Sleep(attemptTime)
	if failing.Count() == before {
		_ = listener.Close()
		agent.stop()
		return false
	}
	// The connect of the retry is pending until the accept queue has space.
	time.AfterFunc(acceptDelay, func() {
		agenttest.AcceptAll(listener, func(conn net.Conn) {
			head := make([]byte, 1000)
			if n, _ := conn.Read(head); n > 0 {
				t.Errorf("retried after the deduplication window: %q", head[:n])
				_ = agenttest.SendResponse(conn, http.StatusOK, "", "")
			}
		})
	})
	agenttest.WantStatus(t, <-status, http.StatusBadGateway)
	if metrics := agent.metricsNow(); metrics.Attempts[balancer.StatusUnsent] != 1 {
		t.Errorf("metrics %+v, want 1 attempt that was not sent", metrics)
	}
	return true
}
