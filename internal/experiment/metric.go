package experiment

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"fernbeam.example/fernbeam/internal/emulator"
)

// Metric is a metric as reports print it.
type Metric struct {
	Key   emulator.Metric // in records
	Title string
	Unit  string // empty: of a metric that only an older version knew
}

// The units of the metrics.
const (
	unitCount            = "count"
	unitOfValue          = "of the requested value"
	unitMilliseconds     = "ms"
	unitPerRequest       = "per request"
	unitOfOverloadLimit  = "of the overload limit"
	unitProcessorSeconds = "s"
)

// metricTable has the metrics in the order in which reports print them: what was asked for and what became of it, then
// the clients' and the agents' requests, the servers in slow start, and what the run itself took.
var metricTable = []Metric{
	{emulator.MetricCalls, "requests", unitCount},
	{emulator.MetricInTime, "served in time", unitOfValue},
	{emulator.MetricLate, "served late", unitOfValue},
	{emulator.MetricRejected, "rejected", unitOfValue},
	{emulator.MetricFailed, "failed", unitOfValue},
	{metricRulesBroken, "rules broken", unitCount},
	{emulator.MetricMeanSojourn, "latency, mean", unitMilliseconds},
	{emulator.MetricLatencyP50, "latency, median", unitMilliseconds},
	{emulator.MetricLatencyP99, "latency, 99th percentile", unitMilliseconds},

	{emulator.MetricMeanWork, "work on a standard core, mean", unitMilliseconds},
	{emulator.MetricRequests, "clients' requests, with retries", unitPerRequest},
	{emulator.MetricAttempts, "attempts", unitPerRequest},
	{emulator.MetricAttemptsFailed, "attempts failed", unitPerRequest},
	{emulator.MetricAttemptsRejected, "attempts rejected", unitPerRequest},
	{emulator.MetricAttemptsCancelled, "attempts cancelled", unitPerRequest},
	{emulator.MetricAttemptsBroken, "attempts on a broken connection", unitPerRequest},
	{emulator.MetricHandshakes, "connections to servers", unitPerRequest},
	{emulator.MetricHealthChecks, "health checks", unitPerRequest},
	{emulator.MetricDiscoveryCalls, "discovery calls", unitPerRequest},
	{emulator.MetricEndpointsSent, "endpoints from discovery", unitPerRequest},

	{emulator.MetricSlowStartLoad, "highest load in slow start", unitOfOverloadLimit},
	{emulator.MetricSlowStartFailures, "servers overloaded in slow start", unitCount},

	{metricAgentsCPU, "agents' processor time", unitProcessorSeconds},
	{metricHarnessCPU, "harness's processor time", unitProcessorSeconds},
	{emulator.MetricTimerDelayP99, "harness's timer delay, 99th percentile", unitMilliseconds},
}

// String returns the title with the unit, for lists that have no column for it.
func (m Metric) String() string {
	if m.Unit == "" {
		return m.Title
	}
	return m.Title + " (" + m.Unit + ")"
}

// FindMetric returns the metric with a title or, for what was written before titles, with the key of records. Of one
// that is in no table, the key is the title.
func FindMetric(name string) Metric {
	for _, metric := range metricTable {
		if metric.Title == name || string(metric.Key) == name {
			return metric
		}
	}
	return Metric{Key: emulator.Metric(name), Title: name}
}

// wholeFrom is the magnitude from which a value is printed without a fraction, and below it with four digits.
const wholeFrom = 1000

// formatValue returns a metric's value for a table.
func formatValue(value float64) string {
	if math.Abs(value) >= wholeFrom {
		return fmt.Sprintf("%.0f", value)
	}
	return fmt.Sprintf("%.4g", value)
}

// metricsIn returns the metrics that any of the records has, in the order of reports; those that only an older version
// knew come last, by their keys.
func metricsIn(records []*Record) (metrics []Metric) {
	present := map[emulator.Metric]bool{}
	for _, record := range records {
		for key := range record.Metrics() {
			present[key] = true
		}
	}
	for _, metric := range metricTable {
		if present[metric.Key] {
			metrics = append(metrics, metric)
			delete(present, metric.Key)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(present)) {
		metrics = append(metrics, Metric{Key: key, Title: string(key)})
	}
	return metrics
}
