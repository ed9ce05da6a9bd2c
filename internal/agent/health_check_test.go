package agent

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/balancer"
)

// Where the settings allow health checks a demoted server is restored by one, on the health path and with no
// header of a client's; a draining server gets none.
func TestHealthCheckRestoresADemotedServer(t *testing.T) {
	probes := make(chan *http.Request, 100)
	var healthy atomic.Bool // until a probe says so everything fails
	b := newFakeServer(t, func(c net.Conn, req *http.Request, n int) bool {
		if req.URL.Path == "/-/healthy" {
			healthy.Store(true)
			probes <- req
			return sendResponse(c, 200, "", "")
		}
		if !healthy.Load() {
			return sendResponse(c, 500, "", "")
		}
		return respondOK(c, req, n)
	})
	a := startAgent(t, newDiscoveryServer(t, target("s-1", b.addr)), func(c *Config) {
		c.Settings.Limits.HealthChecks = true
		for i := range c.Settings.Classes {
			c.Settings.Classes[i].LatencyObjectiveMs = 20 // how long a first failure holds
		}
	})
	status, _, _ := a.do(newRequest(a.addr, "order", "x"))
	wantStatus(t, status, 502)
	var probe *http.Request
	for end := time.Now().Add(testTimeout); probe == nil && time.Now().Before(end); {
		a.do(newRequest(a.addr, "order", "x"))
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
	status, _, _ = a.do(newRequest(a.addr, "order", "x"))
	wantStatus(t, status, 200)
}

// How a health check ends, as the policy sees it.
func TestHealthCheckOutcomes(t *testing.T) {
	for name, test := range map[string]struct {
		answer func(net.Conn, *http.Request, int) bool
		want   balancer.Status
	}{
		"healthy":     {func(c net.Conn, _ *http.Request, _ int) bool { return sendResponse(c, 200, "", "") }, balancer.StatusOK},
		"not healthy": {func(c net.Conn, _ *http.Request, _ int) bool { return sendResponse(c, 503, "", "") }, balancer.StatusError},
		"full": {func(c net.Conn, _ *http.Request, _ int) bool { return sendResponse(c, 503, "Not-Started: 1\r\n", "") },
			balancer.StatusOverloaded},
		"reset":  {func(c net.Conn, _ *http.Request, _ int) bool { return resetConn(c) }, balancer.StatusReset},
		"silent": {func(net.Conn, *http.Request, int) bool { return true }, balancer.StatusTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			b := newFakeServer(t, test.answer)
			p := newTestPool(200*time.Millisecond, 8)
			if res := p.healthCheck(t.Context(), &upstreamServer{}, b.addr, "x"); res.status != test.want {
				t.Errorf("ended as %d, want %d", res.status, test.want)
			}
			drained := &upstreamServer{}
			drained.setAvailable(false)
			if res := p.healthCheck(t.Context(), drained, b.addr, "x"); res.status != balancer.StatusConnectFailed {
				t.Errorf("drained: ended as %d, want %d", res.status, balancer.StatusConnectFailed)
			}
			if b.count() != 1 {
				t.Errorf("%d arrivals, want 1", b.count())
			}
		})
	}
}
