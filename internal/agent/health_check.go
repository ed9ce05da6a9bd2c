package agent

import (
	"log/slog"

	"fernbeam.example/fernbeam/internal/balancer"
)

// probe validates a backend in the background. The module waits for one end of each
// probe, so one that can't be sent has ended too.
func (l *eventLoop) startHealthCheck(name balancer.Addr) {
	b := l.endpoints.byAddr[name]
	if b == nil || b.addr == "" || b.unavailable.Load() || !l.cfg.Settings.Limits.HealthChecks {
		l.pendingEvents = append(l.pendingEvents, balancer.Event{Kind: balancer.EventHealthCheckDone, Server: name, Status: balancer.StatusUnsent})
		return
	}
	b.inFlight++
	addr := b.addr
	go func() {
		res := l.pool.healthCheck(l.ctx, b, addr, l.cfg.Listen)
		l.post(func() { l.healthCheckDone(b, &res) })
	}()
}

// probed takes the end of a probe.
func (l *eventLoop) healthCheckDone(b *upstreamServer, res *attemptResult) {
	b.inFlight--
	l.metrics.healthChecks[res.status]++
	if res.status != balancer.StatusOK {
		l.log(slog.LevelInfo, "health check failed", "server", b.id, "status", res.status, "reason", res.reason)
	}
	l.handle(&balancer.Event{Kind: balancer.EventHealthCheckDone, Server: b.policyAddr, Status: res.status,
		LatencyMs: res.latencyMs})
	l.endpoints.forget(b)
}
