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
	b := agenttest.NewServer(t, func(c net.Conn, req *http.Request, n int) bool {
		if req.URL.Path == "/-/healthy" {
			healthy.Store(true)
			probes <- req
			return agenttest.SendResponse(c, 200, "", "")
		}
		if !healthy.Load() {
			return agenttest.SendResponse(c, 500, "", "")
		}
		return agenttest.RespondOK(c, req, n)
	})
	a := startAgent(t, agenttest.NewDiscovery(t, agenttest.Endpoint("s-1", b.Addr)), func(c *config.Config) {
		c.Settings.Limits.HealthChecks = true
		for i := range c.Settings.Classes {
			c.Settings.Classes[i].LatencyObjectiveMs = 20 // how long a first failure holds
		}
	})
	status, _, _ := a.do(agenttest.NewRequest(a.addr, "order", "x"))
	agenttest.WantStatus(t, status, 502)
	var probe *http.Request
	for end := time.Now().Add(agenttest.Timeout); probe == nil && time.Now().Before(end); {
		a.do(agenttest.NewRequest(a.addr, "order", "x"))
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
	status, _, _ = a.do(agenttest.NewRequest(a.addr, "order", "x"))
	agenttest.WantStatus(t, status, 200)
}
