package agent

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/config"
)

// If the settings allow health checks, a successful one restores a demoted server. The health check goes to the health
// path and has no headers of a client's request.
func TestHealthCheckRestoresADemotedServer(t *testing.T) {
	checks := make(chan *http.Request, 100)
	var healthy atomic.Bool // set by the first health check; all requests before it fail
	server := agenttest.NewServer(t, func(conn net.Conn, req *http.Request, n int) bool {
		if req.URL.Path == "/-/healthy" {
			healthy.Store(true)
			checks <- req
			return agenttest.SendResponse(conn, http.StatusOK, "", "")
		}
		if !healthy.Load() {
			return agenttest.SendResponse(conn, http.StatusInternalServerError, "", "")
		}
		return agenttest.RespondOK(conn, req, n)
	})
	agent := startAgent(t, discoveryWith(t, server.Addr), func(cfg *config.Config) {
		cfg.Settings.Limits.HealthChecks = true
		for i := range cfg.Settings.Classes {
			cfg.Settings.Classes[i].LatencyObjectiveMs = 20 // a server is demoted for this time after its first failure
		}
	})
	agent.wantOrderStatus(http.StatusBadGateway)
	agenttest.WaitUntil(t, "a health check", func() bool {
		agent.do(agenttest.NewRequest(agent.addr, "order", "x"))
		return len(checks) > 0
	})
	check := <-checks
	if check.Method != http.MethodGet || check.Header.Get("Request-Id") != "" || check.ContentLength != 0 {
		t.Errorf("health check is %s %s with header %v, want GET without headers of a client",
			check.Method, check.URL, check.Header)
	}
	agent.wantOrderStatus(http.StatusOK)
}
