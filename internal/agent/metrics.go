package agent

import (
	"fmt"
	"log/slog"
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

func newMetrics() metrics {
	return metrics{attempts: map[balancer.Status]int{}, healthChecks: map[balancer.Status]int{}}
}

// metricsText is all counts by their names. Only the loop calls it, or whoever has seen the loop end.
func (l *eventLoop) metricsText() string { return fmt.Sprintf("%+v", *l.currentMetrics()) }

// currentMetrics brings the counts of others up to date and returns all counts.
func (l *eventLoop) currentMetrics() *metrics {
	l.metrics.unlogged = l.lines.dropped
	traffic := l.discovery.traffic()
	l.metrics.listIn = traffic.bytesIn
	l.metrics.listOut = traffic.bytesOut
	l.metrics.listCalls = traffic.calls
	return &l.metrics
}

func (l *eventLoop) logMetrics() {
	l.lines.always(slog.LevelInfo, "metrics",
		"open", l.requests.unanswered,
		"server_conns", l.pool.size(),
		"connects", l.pool.connectCount(),
		"idle_limit", l.pool.idleLimit(),
		"policy", fmt.Sprintf("%+v", l.balancer.Stats()),
		"counts", l.metricsText())
}
