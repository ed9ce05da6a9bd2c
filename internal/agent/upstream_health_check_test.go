package agent

import (
	"net"
	"net/http"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/balancer"
)

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
