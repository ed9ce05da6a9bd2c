package agent

import (
	"fmt"
	"log/slog"
	"time"

	"fernbeam.example/fernbeam/internal/balancer"
)

// figuresEvery is how often the counts go to the log.
const metricsInterval = time.Second

// figures are counted for the log: every few seconds, and at the end.
type metrics struct {
	requests, served, servedLate, rejected, failed, clientsGone, invalid, backstops, violations int
	// broken counts answers that were begun and not passed on whole.
	aborted int
	// ends counts the attempts by how they ended.
	attempts map[balancer.Status]int
	// probes counts the probes by how they ended.
	healthChecks map[balancer.Status]int
	// lists counts the answers of discovery, lines what they listed, and unlisted the
	// calls that failed: over all agents, the load that discovery bears.
	lists, endpoints, listFailures int
	// settings counts settings of the list service that were taken over, and settingsRefused those
	// that could not be.
	settings, settingsRejected int
	// acceptFailures counts the accepts of clients that failed for a moment.
	acceptFailures int
	// unlogged counts the lines that the log's bound left out.
	unlogged int
	// listIn and listOut count the bytes of calls to discovery, heads and all, and listCalls
	// the calls.
	listIn, listOut, listCalls uint64
}

// counts are the figures as they are now.
func (l *eventLoop) currentMetrics() *metrics {
	n := &l.discovery.counters
	l.metrics.listIn, l.metrics.listOut, l.metrics.listCalls = n.bytesIn.Load(), n.bytesOut.Load(), n.calls.Load()
	return &l.metrics
}

func (l *eventLoop) logMetrics() {
	l.logAlways(slog.LevelInfo, "metrics", "open", l.unanswered, "server_conns", l.pool.size(), "connects", l.pool.connectCount(), "idle_limit", l.pool.idleLimit(),
		"policy", fmt.Sprintf("%+v", l.balancer.Stats()),
		"counts", fmt.Sprintf("%+v", *l.currentMetrics()))
}
