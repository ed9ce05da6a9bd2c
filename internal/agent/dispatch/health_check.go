package dispatch

import (
	"log/slog"

	"fernbeam.example/fernbeam/internal/agent/upstream"
	"fernbeam.example/fernbeam/internal/balancer"
)

// startHealthCheck starts a health check of a server in the background. The policy expects exactly one result per
// health check, so a health check that can't be sent ends immediately with StatusUnsent.
func (l *Loop) startHealthCheck(policyAddr balancer.Addr) {
	server := l.endpoints.byAddr[policyAddr]
	if server == nil || server.addr == "" || !server.IsAvailable() || !l.cfg.Settings.Limits.HealthChecks {
		l.pendingEvents = append(l.pendingEvents, balancer.Event{
			Kind:   balancer.EventHealthCheckDone,
			Server: policyAddr,
			Status: balancer.StatusUnsent,
		})
		return
	}
	server.inFlight++
	target := upstream.Target{Server: &server.Server, Addr: server.addr}
	go func() {
		result := l.pool.HealthCheck(l.ctx, target, l.cfg.Listen)
		l.Post(func() { l.healthCheckDone(server, &result) })
	}()
}

// healthCheckDone handles the result of a health check.
func (l *Loop) healthCheckDone(server *listedServer, result *upstream.Result) {
	server.inFlight--
	l.metrics.HealthChecks[result.Status]++
	if result.Status != balancer.StatusOK {
		l.logger.logLimited(slog.LevelInfo, "health check failed", "server", server.id, "status", result.Status,
			"reason", result.Reason)
	}
	l.handle(&balancer.Event{
		Kind:      balancer.EventHealthCheckDone,
		Server:    server.policyAddr,
		Status:    result.Status,
		LatencyMs: result.LatencyMs,
	})
	l.endpoints.forget(server)
}
