package emulator

// Metric is the key of a metric in the record of a run. Stored records contain these keys, so they must not change.
// Package experiment has the titles and units that reports print.
type Metric string

// Fractions of the requested value by the outcome of the calls. The value of a call is its class's priority weight
// times its work in units of the mean work.
const (
	MetricInTime   Metric = "in time"
	MetricLate     Metric = "late"
	MetricRejected Metric = "refused"
	MetricFailed   Metric = "failed"
)

// Number of calls of a run, and the latencies and mean work of the served ones in ms.
const (
	MetricCalls       Metric = "requests"
	MetricLatencyP50  Metric = "latency p50 ms"
	MetricLatencyP99  Metric = "latency p99 ms"
	MetricMeanSojourn Metric = "sojourn mean ms"
	MetricMeanWork    Metric = "work mean ms"
)

// Counts of a run, each divided by the number of calls.
const (
	MetricRequests          Metric = "tries a request" // from clients, including retries
	MetricAttempts          Metric = "attempts a request"
	MetricAttemptsFailed    Metric = "error a request"
	MetricAttemptsRejected  Metric = "turned away a request"
	MetricAttemptsCancelled Metric = "called off a request"
	MetricAttemptsBroken    Metric = "broken a request"
	MetricHandshakes        Metric = "handshakes a request"
	MetricHealthChecks      Metric = "probes a request"
	MetricDiscoveryCalls    Metric = "list calls a request"
	MetricEndpointsSent     Metric = "list lines a request"
)

const (
	// MetricSlowStartLoad is the highest load of a server in slow start, as a fraction of the overload limit.
	MetricSlowStartLoad Metric = "cold load of its bound"
	// MetricSlowStartFailures counts the servers that failed because of an overload in slow start.
	MetricSlowStartFailures Metric = "cold nodes fallen"
	// MetricTimerDelayP99 is how late the harness's timers fired at the 99th percentile, in ms.
	MetricTimerDelayP99 Metric = "lab late p99 ms"
)
