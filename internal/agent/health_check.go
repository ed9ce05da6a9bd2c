package agent

import (
	"log/slog"

	"fernbeam.example/fernbeam/internal/balancer"
)

// startHealthCheck checks a server in the background. The policy waits for one end of each health check, so
// one that can't be sent ends at once with StatusUnsent.
func (l *eventLoop) startHealthCheck(policyAddr balancer.Addr) {
	server := l.endpoints.byAddr[policyAddr]
	if server == nil || server.addr == "" || !server.isAvailable() || !l.cfg.Settings.Limits.HealthChecks {
		l.pendingEvents = append(l.pendingEvents, balancer.Event{
			Kind:   balancer.EventHealthCheckDone,
			Server: policyAddr,
			Status: balancer.StatusUnsent,
		})
		return
	}
	server.inFlight++
	addr := server.addr
	go func() {
		result := l.pool.healthCheck(l.ctx, &server.upstreamServer, addr, l.cfg.Listen)
		l.post(func() { l.healthCheckDone(server, &result) })
	}()
}

// healthCheckDone takes the end of a health check.
func (l *eventLoop) healthCheckDone(server *listedServer, result *attemptResult) {
	server.inFlight--
	l.metrics.healthChecks[result.status]++
	if result.status != balancer.StatusOK {
		l.lines.limited(slog.LevelInfo, "health check failed", "server", server.id, "status", result.status,
			"reason", result.reason)
	}
	l.handle(&balancer.Event{
		Kind:      balancer.EventHealthCheckDone,
		Server:    server.policyAddr,
		Status:    result.status,
		LatencyMs: result.latencyMs,
	})
	l.endpoints.forget(server)
}
