package agent

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/config"
)

// Where the settings allow health checks a demoted server is restored by one, on the health path and with no
// header of a client's; a draining server gets none.
func TestHealthCheckRestoresADemotedServer(t *testing.T) {
	probes := make(chan *http.Request, 100)
	var healthy atomic.Bool // until a probe says so everything fails
	server := agenttest.NewServer(t, func(conn net.Conn, req *http.Request, n int) bool {
		if req.URL.Path == "/-/healthy" {
			healthy.Store(true)
			probes <- req
			return agenttest.SendResponse(conn, 200, "", "")
		}
		if !healthy.Load() {
			return agenttest.SendResponse(conn, 500, "", "")
		}
		return agenttest.RespondOK(conn, req, n)
	})
	agent := startAgent(t, agenttest.NewDiscovery(t, agenttest.Endpoint("s-1", server.Addr)), func(cfg *config.Config) {
		cfg.Settings.Limits.HealthChecks = true
		for i := range cfg.Settings.Classes {
			cfg.Settings.Classes[i].LatencyObjectiveMs = 20 // how long a first failure holds
		}
	})
	status, _, _ := agent.do(agenttest.NewRequest(agent.addr, "order", "x"))
	agenttest.WantStatus(t, status, 502)
	var probe *http.Request
	for end := time.Now().Add(agenttest.Timeout); probe == nil && time.Now().Before(end); {
		agent.do(agenttest.NewRequest(agent.addr, "order", "x"))
		select {
		case probe = <-probes:
		default:
		}
	}
	if probe == nil {
		t.Fatal("no probe came")
	}
	if probe.Method != http.MethodGet || probe.Header.Get("Request-Id") != "" || probe.ContentLength != 0 {
		t.Errorf("the probe was %s %s with %v", probe.Method, probe.URL, probe.Header)
	}
	status, _, _ = agent.do(agenttest.NewRequest(agent.addr, "order", "x"))
	agenttest.WantStatus(t, status, 200)
}
