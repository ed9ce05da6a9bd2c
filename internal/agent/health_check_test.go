package agent

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/config"
)

// Where the settings allow health checks a demoted server is restored by one, on the health path and with no
// header of a client's; a draining server gets none.
func TestHealthCheckRestoresADemotedServer(t *testing.T) {
	checks := make(chan *http.Request, 100)
	var healthy atomic.Bool // until the first health check all requests fail
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
			cfg.Settings.Classes[i].LatencyObjectiveMs = 20 // a first failure demotes for this time
		}
	})
	agent.wantOrderStatus(http.StatusBadGateway)
	agenttest.WaitUntil(t, "a health check", func() bool {
		agent.do(agenttest.NewRequest(agent.addr, "order", "x"))
		return len(checks) > 0
	})
	check := <-checks
	if check.Method != http.MethodGet || check.Header.Get("Request-Id") != "" || check.ContentLength != 0 {
		t.Errorf("the health check was %s %s with %v", check.Method, check.URL, check.Header)
	}
	agent.wantOrderStatus(http.StatusOK)
}
