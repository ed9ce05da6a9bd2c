package experiment

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"fernbeam.example/fernbeam/internal/emulator"
)

// Metric describes a metric as it is printed in reports.
type Metric struct {
	Key   emulator.Metric // in records
	Title string
	Unit  string // empty for metrics that only older versions recorded
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

// metricTable lists the metrics in the order of reports: requests and their outcomes, then client requests and
// attempts, servers in slow start, and the resource usage of the run itself.
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

// String returns the title followed by the unit in parentheses.
func (m Metric) String() string {
	if m.Unit == "" {
		return m.Title
	}
	return m.Title + " (" + m.Unit + ")"
}

// FindMetric returns the metric with the given title or record key. Keys are accepted because metrics once had no
// titles, and command lines from that time name them by key. A metric that is not in the table gets its name as key and
// title.
func FindMetric(name string) Metric {
	for _, metric := range metricTable {
		if metric.Title == name || string(metric.Key) == name {
			return metric
		}
	}
	return Metric{Key: emulator.Metric(name), Title: name}
}

// integerThreshold is the absolute value from which numbers are printed without a fraction; smaller ones have four
// significant digits.
const integerThreshold = 1000

// formatValue formats a metric's value for a table.
func formatValue(value float64) string {
	if math.Abs(value) >= integerThreshold {
		return fmt.Sprintf("%.0f", value)
	}
	return fmt.Sprintf("%.4g", value)
}

// metricsIn returns the metrics that at least one of the records has, in the order of reports. Metrics that only older
// versions recorded come last, sorted by key.
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
