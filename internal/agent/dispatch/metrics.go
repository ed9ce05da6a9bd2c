package dispatch

import (
	"fmt"
	"log/slog"
	"maps"
	"time"

	"fernbeam.example/fernbeam/internal/balancer"
)

const metricsInterval = time.Second

// Metrics are counters since the agent's start. They are logged periodically and at shutdown, in the format of String.
type Metrics struct {
	// Requests counts the requests that reached the event loop.
	Requests int
	// Served counts the requests served within their latency objective, and ServedLate those served after it. Rejected
	// and Failed count the requests that were not served, and ClientsGone those abandoned by their client.
	Served, ServedLate, Rejected, Failed, ClientsGone int
	// Invalid counts the requests that did not conform to the protocol.
	Invalid int
	// RepeatedIDs counts the requests that failed because an earlier one with the same id may have executed and was
	// abandoned by its client.
	RepeatedIDs int
	// Backstops counts the requests for which the policy had returned no response just before their deadline.
	Backstops int
	// Violations counts the actions of the policy that violated the rules of a request.
	Violations int
	// Aborted counts the responses that were started but not written to the client completely.
	Aborted int
	// Attempts and HealthChecks are counted by status.
	Attempts, HealthChecks map[balancer.Status]int
	// Lists counts the responses of discovery, Endpoints the entries in them, and ListFailures the failed calls.
	// Their sums over all agents are the load of discovery.
	Lists, Endpoints, ListFailures int
	// Settings counts the settings of the discovery service that were applied, and SettingsRejected those that were
	// not.
	Settings, SettingsRejected int
	// AcceptFailures counts the temporary errors on accepting client connections.
	AcceptFailures int
	// Unlogged counts the log lines that were dropped.
	Unlogged int
	// ListIn and ListOut count the bytes received and sent in calls to discovery, including headers. ListCalls counts the
	// calls.
	ListIn, ListOut, ListCalls uint64
}

// String returns all counters in the format of the log.
func (m Metrics) String() string {
	return fmt.Sprintf("{requests:%d served:%d servedLate:%d rejected:%d failed:%d clientsGone:%d invalid:%d"+
		" backstops:%d violations:%d aborted:%d attempts:%v healthChecks:%v lists:%d endpoints:%d listFailures:%d"+
		" settings:%d settingsRejected:%d acceptFailures:%d unlogged:%d listIn:%d listOut:%d listCalls:%d"+
		" repeatedIDs:%d}",
		m.Requests, m.Served, m.ServedLate, m.Rejected, m.Failed, m.ClientsGone, m.Invalid,
		m.Backstops, m.Violations, m.Aborted, m.Attempts, m.HealthChecks, m.Lists, m.Endpoints, m.ListFailures,
		m.Settings, m.SettingsRejected, m.AcceptFailures, m.Unlogged, m.ListIn, m.ListOut, m.ListCalls,
		m.RepeatedIDs)
}

func newMetrics() Metrics {
	return Metrics{Attempts: map[balancer.Status]int{}, HealthChecks: map[balancer.Status]int{}}
}

// Stats is a snapshot of the loop's metrics, state and settings.
type Stats struct {
	Metrics  Metrics
	Policy   balancer.Stats
	Open     int // requests without a final response
	Settings balancer.Settings
}

// Stats returns a snapshot. It must be called from a function posted to the loop, or after the loop has ended.
func (l *Loop) Stats() Stats {
	l.updateMetrics()
	metrics := l.metrics
	metrics.Attempts = maps.Clone(l.metrics.Attempts)
	metrics.HealthChecks = maps.Clone(l.metrics.HealthChecks)
	return Stats{
		Metrics:  metrics,
		Policy:   l.balancer.Stats(),
		Open:     l.requests.openCount,
		Settings: l.cfg.Settings,
	}
}

// Backlog returns the number of functions queued for the loop. It is exported for tests of the whole agent, which block
// the loop and need to know when another package has posted an event.
func (l *Loop) Backlog() int { return len(l.inbox) }

// MetricsText returns all counters in the format of the log. The same restrictions apply as for Stats.
func (l *Loop) MetricsText() string {
	l.updateMetrics()
	return l.metrics.String()
}

// updateMetrics copies the counters of the logger and the discovery client into the metrics.
func (l *Loop) updateMetrics() {
	l.metrics.Unlogged = l.logger.dropped
	traffic := l.discovery.Traffic()
	l.metrics.ListIn = traffic.BytesIn
	l.metrics.ListOut = traffic.BytesOut
	l.metrics.ListCalls = traffic.Calls
}

// logMetrics writes the metrics and the policy's statistics to the log.
func (l *Loop) logMetrics() {
	resources := ""
	if l.resources != nil {
		resources = l.resources()
	}
	l.logger.log(slog.LevelInfo, "metrics",
		"open", l.requests.openCount,
		"server_conns", l.pool.Size(),
		"connects", l.pool.ConnectCount(),
		"idle_limit", l.pool.IdleLimit(),
		"resources", resources,
		"policy", fmt.Sprintf("%+v", l.balancer.Stats()),
		"counts", l.MetricsText())
}
