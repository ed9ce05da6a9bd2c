package upstream

import (
	"net"
	"net/http"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/balancer"
)

// healthConnectTimeout is the connect timeout of the tests' pools. A health check may take twice as long.
const healthConnectTimeout = 200 * time.Millisecond

// respond returns a responder that sends the same status and header lines for each request.
func respond(status int, header string) agenttest.Responder {
	return func(conn net.Conn, _ *http.Request, _ int) bool {
		return agenttest.SendResponse(conn, status, header, "")
	}
}

// Each outcome of a health check is reported with its own status, and a draining server is not checked.
func TestHealthCheckOutcomes(t *testing.T) {
	reset := func(conn net.Conn, _ *http.Request, _ int) bool { return agenttest.ResetConn(conn) }
	silent := func(net.Conn, *http.Request, int) bool { return true }
	for name, test := range map[string]struct {
		answer agenttest.Responder
		want   balancer.Status
	}{
		"healthy":     {answer: respond(http.StatusOK, ""), want: balancer.StatusOK},
		"not healthy": {answer: respond(http.StatusServiceUnavailable, ""), want: balancer.StatusError},
		"full": {
			answer: respond(http.StatusServiceUnavailable, "Not-Started: 1\r\n"),
			want:   balancer.StatusOverloaded,
		},
		"reset":  {answer: reset, want: balancer.StatusReset},
		"silent": {answer: silent, want: balancer.StatusTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			server := agenttest.NewServer(t, test.answer)
			pool := newTestPool(healthConnectTimeout, 8)
			available := readyTarget(server.Addr)
			wantStatus(t, "available", pool.HealthCheck(t.Context(), available, "x"), test.want)
			draining := readyTarget(server.Addr)
			draining.Server.SetAvailable(false)
			result := pool.HealthCheck(t.Context(), draining, "x")
			wantStatus(t, "draining", result, balancer.StatusConnectFailed)
			if server.Count() != 1 {
				t.Errorf("%d arrivals, want 1", server.Count())
			}
		})
	}
}
