package agent

import (
	"fmt"
	"log/slog"
	"maps"
	"time"

	"fernbeam.example/fernbeam/internal/balancer"
)

// metricsInterval is how often the metrics are logged.
const metricsInterval = time.Second

// metrics are counts since the start. They are logged at intervals and at the end; the log's "counts" show the
// fields under their names here.
type metrics struct {
	// requests counts the requests that reached the event loop.
	requests int
	// served and servedLate count the requests that were served within their latency objective and after it;
	// rejected and failed those that were not served; clientsGone those that their client abandoned.
	served, servedLate, rejected, failed, clientsGone int
	// invalid counts what came in that is not a request of the protocol.
	invalid int
	// backstops counts the requests that the policy left without a response until just before their deadline.
	backstops int
	// violations counts the actions of the policy that the rules of the request forbade.
	violations int
	// aborted counts the responses that were begun and not passed on completely.
	aborted int
	// attempts and healthChecks count these by their status.
	attempts, healthChecks map[balancer.Status]int
	// lists counts the responses of discovery, endpoints the entries in them, and listFailures the calls that
	// failed. Over all agents they are the load that discovery bears.
	lists, endpoints, listFailures int
	// settings counts the settings of the discovery service that were applied, and settingsRejected those
	// that could not be.
	settings, settingsRejected int
	// acceptFailures counts the accepts of clients that failed temporarily.
	acceptFailures int
	// unlogged counts the log lines that were dropped.
	unlogged int
	// listIn and listOut count the bytes of calls to discovery, their heads included, and listCalls the calls.
	listIn, listOut, listCalls uint64
}

// String has all counts by their keys in the log.
func (m metrics) String() string {
	return fmt.Sprintf("{requests:%d served:%d servedLate:%d rejected:%d failed:%d clientsGone:%d invalid:%d"+
		" backstops:%d violations:%d aborted:%d attempts:%v healthChecks:%v lists:%d endpoints:%d listFailures:%d"+
		" settings:%d settingsRejected:%d acceptFailures:%d unlogged:%d listIn:%d listOut:%d listCalls:%d}",
		m.requests, m.served, m.servedLate, m.rejected, m.failed, m.clientsGone, m.invalid,
		m.backstops, m.violations, m.aborted, m.attempts, m.healthChecks, m.lists, m.endpoints, m.listFailures,
		m.settings, m.settingsRejected, m.acceptFailures, m.unlogged, m.listIn, m.listOut, m.listCalls)
}

func newMetrics() metrics {
	return metrics{attempts: map[balancer.Status]int{}, healthChecks: map[balancer.Status]int{}}
}

// loopStats is a snapshot of what the loop counts and holds.
type loopStats struct {
	metrics  metrics
	policy   balancer.Stats
	open     int // requests without a final response
	settings balancer.Settings
}

// stats returns a snapshot. It is called in a function that is posted to the loop, or once the loop has ended.
func (l *eventLoop) stats() loopStats {
	return loopStats{
		metrics:  l.currentMetrics(),
		policy:   l.balancer.Stats(),
		open:     l.requests.unanswered,
		settings: l.cfg.Settings,
	}
}

// backlog is the number of functions that wait for the loop.
func (l *eventLoop) backlog() int { return len(l.inbox) }

// currentMetrics brings the counts of others up to date and returns a copy of all counts.
func (l *eventLoop) currentMetrics() metrics {
	l.metrics.unlogged = l.lines.dropped
	traffic := l.discovery.traffic()
	l.metrics.listIn = traffic.bytesIn
	l.metrics.listOut = traffic.bytesOut
	l.metrics.listCalls = traffic.calls
	current := l.metrics
	current.attempts = maps.Clone(l.metrics.attempts)
	current.healthChecks = maps.Clone(l.metrics.healthChecks)
	return current
}

func (l *eventLoop) logMetrics() {
	stats := l.stats()
	l.lines.always(slog.LevelInfo, "metrics",
		"open", stats.open,
		"server_conns", l.pool.size(),
		"connects", l.pool.connectCount(),
		"idle_limit", l.pool.idleLimit(),
		"policy", fmt.Sprintf("%+v", stats.policy),
		"counts", stats.metrics.String())
}
