package dispatch

import (
	"fmt"
	"log/slog"
	"maps"
	"time"

	"fernbeam.example/fernbeam/internal/balancer"
)

// metricsInterval is how often the metrics are logged.
const metricsInterval = time.Second

// Metrics are counts since the start. They are logged at intervals and at the end, by the
// keys that String gives them.
type Metrics struct {
	// Requests counts the requests that reached the event loop.
	Requests int
	// Served and ServedLate count the requests that were served within their latency objective and after it;
	// Rejected and failed those that were not served; ClientsGone those that their client abandoned.
	Served, ServedLate, Rejected, Failed, ClientsGone int
	// Invalid counts what came in that is not a request of the protocol.
	Invalid int
	// Backstops counts the requests that the policy left without a response until just before their deadline.
	Backstops int
	// Violations counts the actions of the policy that the rules of the request forbade.
	Violations int
	// Aborted counts the responses that were begun and not passed on completely.
	Aborted int
	// Attempts and HealthChecks count these by their status.
	Attempts, HealthChecks map[balancer.Status]int
	// Lists counts the responses of discovery, Endpoints the entries in them, and ListFailures the calls that
	// failed. Over all agents they are the load that discovery bears.
	Lists, Endpoints, ListFailures int
	// Settings counts the settings of the discovery service that were applied, and SettingsRejected those
	// that could not be.
	Settings, SettingsRejected int
	// AcceptFailures counts the accepts of clients that failed temporarily.
	AcceptFailures int
	// Unlogged counts the log lines that were dropped.
	Unlogged int
	// ListIn and ListOut count the bytes of calls to discovery, their heads included, and ListCalls the calls.
	ListIn, ListOut, ListCalls uint64
}

// String has all counts by their keys in the log.
func (m Metrics) String() string {
	return fmt.Sprintf("{requests:%d served:%d servedLate:%d rejected:%d failed:%d clientsGone:%d invalid:%d"+
		" backstops:%d violations:%d aborted:%d attempts:%v healthChecks:%v lists:%d endpoints:%d listFailures:%d"+
		" settings:%d settingsRejected:%d acceptFailures:%d unlogged:%d listIn:%d listOut:%d listCalls:%d}",
		m.Requests, m.Served, m.ServedLate, m.Rejected, m.Failed, m.ClientsGone, m.Invalid,
		m.Backstops, m.Violations, m.Aborted, m.Attempts, m.HealthChecks, m.Lists, m.Endpoints, m.ListFailures,
		m.Settings, m.SettingsRejected, m.AcceptFailures, m.Unlogged, m.ListIn, m.ListOut, m.ListCalls)
}

func newMetrics() Metrics {
	return Metrics{Attempts: map[balancer.Status]int{}, HealthChecks: map[balancer.Status]int{}}
}

// Stats is a copy of what the loop counts, holds and has in force.
type Stats struct {
	Metrics  Metrics
	Policy   balancer.Stats
	Open     int // requests without a final response
	Settings balancer.Settings
}

// Stats returns a copy, which stays as it is. It is called in a function that is posted to the loop, or once the
// loop has ended.
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

// Backlog is the number of functions that wait for the loop. It is exported for tests of the whole agent, which block
// the loop and have to know when an event of another package has been posted to it.
func (l *Loop) Backlog() int { return len(l.inbox) }

// MetricsText has all counts by their keys in the log. It is called where Stats may be.
func (l *Loop) MetricsText() string {
	l.updateMetrics()
	return l.metrics.String()
}

// updateMetrics brings the counts of the log and of the calls to discovery up to date.
func (l *Loop) updateMetrics() {
	l.metrics.Unlogged = l.logger.dropped
	traffic := l.discovery.Traffic()
	l.metrics.ListIn = traffic.BytesIn
	l.metrics.ListOut = traffic.BytesOut
	l.metrics.ListCalls = traffic.Calls
}

// logMetrics writes the metrics and the policy's statistics to the log.
func (l *Loop) logMetrics() {
	l.logger.log(slog.LevelInfo, "metrics",
		"open", l.requests.openCount,
		"server_conns", l.pool.Size(),
		"connects", l.pool.ConnectCount(),
		"idle_limit", l.pool.IdleLimit(),
		"policy", fmt.Sprintf("%+v", l.balancer.Stats()),
		"counts", l.MetricsText())
}
