package upstream

import (
	"net"
	"net/http"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/balancer"
)

// How a health check ends, as the policy sees it.
func TestHealthCheckOutcomes(t *testing.T) {
	for name, test := range map[string]struct {
		answer func(net.Conn, *http.Request, int) bool
		want   balancer.Status
	}{
		"healthy":     {func(c net.Conn, _ *http.Request, _ int) bool { return agenttest.SendResponse(c, 200, "", "") }, balancer.StatusOK},
		"not healthy": {func(c net.Conn, _ *http.Request, _ int) bool { return agenttest.SendResponse(c, 503, "", "") }, balancer.StatusError},
		"full": {func(c net.Conn, _ *http.Request, _ int) bool {
			return agenttest.SendResponse(c, 503, "Not-Started: 1\r\n", "")
		},
			balancer.StatusOverloaded},
		"reset":  {func(c net.Conn, _ *http.Request, _ int) bool { return agenttest.ResetConn(c) }, balancer.StatusReset},
		"silent": {func(net.Conn, *http.Request, int) bool { return true }, balancer.StatusTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			b := agenttest.NewServer(t, test.answer)
			p := newTestPool(200*time.Millisecond, 8)
			if res := p.HealthCheck(t.Context(), &Server{}, b.Addr, "x"); res.Status != test.want {
				t.Errorf("ended as %d, want %d", res.Status, test.want)
			}
			drained := &Server{}
			drained.SetAvailable(false)
			if res := p.HealthCheck(t.Context(), drained, b.Addr, "x"); res.Status != balancer.StatusConnectFailed {
				t.Errorf("drained: ended as %d, want %d", res.Status, balancer.StatusConnectFailed)
			}
			if b.Count() != 1 {
				t.Errorf("%d arrivals, want 1", b.Count())
			}
		})
	}
}
