package emulator

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"fernbeam.example/fernbeam/internal/clock"
)

// MaxTimerDelay bounds the 99th percentile of the delays of the harness's timers in a valid run.
const MaxTimerDelay = 5 * time.Millisecond

// Result holds the measurements of a run and the violations found in it.
type Result struct {
	Seconds    []SecondTotals     `json:"Seconds"`
	Metrics    map[Metric]float64 `json:"Figures"`
	Servers    []ServerMetrics    `json:"Nodes"`
	Violations []Violation        `json:"Broken"`
	Errors     []string           `json:"Faults"` // errors of the harness itself, which make the run invalid
	Attempts   int                `json:"Attempts"`
}

// result returns the result of a run whose last call has ended.
func (e *Emulator) result() *Result {
	r := &Result{Metrics: map[Metric]float64{}}
	history := &History{}
	e.collectCalls(r, history)
	e.collectServers(r, history)
	e.endpoints.mu.Lock()
	history.Removals = slices.Clone(e.endpoints.removals)
	e.endpoints.mu.Unlock()

	delayP99, worstDelay := e.timerDelayQuantiles()
	// The limits allow for the longest timer delay, because the harness cannot measure times more precisely.
	contract := e.config.Contract
	contract.Slack += worstDelay
	r.Violations = append(r.Violations, Judge(history, e.config.Classes, &contract)...)
	if delayP99 > MaxTimerDelay {
		r.Errors = append(r.Errors, fmt.Sprintf("the harness was late by %v at the 99th percentile", delayP99))
	}
	r.Metrics[MetricTimerDelayP99] = delayP99.Seconds() * millisecondsPerSecond
	r.addFractions()
	r.addPerCall(history, e.endpoints)
	return r
}

// collectCalls adds the measurements of the clients to the result and their requests to the history.
func (e *Emulator) collectCalls(r *Result, history *History) {
	c := e.clients
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, request := range c.finished {
		request.mu.Lock()
		record := *request.record
		record.Attempts = slices.Clone(record.Attempts)
		request.mu.Unlock()
		history.Requests = append(history.Requests, &record)
	}
	r.Seconds = slices.Clone(c.seconds)
	r.Metrics[MetricLatencyP50] = clock.Milliseconds(percentile(c.latencies, percentile50))
	r.Metrics[MetricLatencyP99] = clock.Milliseconds(percentile(c.latencies, percentile99))
	if served := float64(c.latencies.TotalCount()); served > 0 {
		r.Metrics[MetricMeanSojourn] = millisecondsPerSecond * c.sojournSeconds / served
		r.Metrics[MetricMeanWork] = millisecondsPerSecond * c.workSeconds / served
	}
}

// collectServers adds the metrics of the servers and the errors to the result, and the overloads to the history.
func (e *Emulator) collectServers(r *Result, history *History) {
	e.mu.Lock()
	defer e.mu.Unlock()
	history.Overloads = slices.Clone(e.overloads)
	r.Errors = slices.Clone(e.errors)
	r.Servers = slices.Clone(e.stoppedServers)
	for _, s := range e.servers {
		r.Servers = append(r.Servers, s.metrics())
	}
	slices.SortFunc(r.Servers, func(a, b ServerMetrics) int { return strings.Compare(a.Server, b.Server) })
	if e.unknownRequests > 0 {
		description := fmt.Sprintf("%d requests at servers that no client sent", e.unknownRequests)
		r.Violations = append(r.Violations, Violation{RuleDuplicate, description, nil})
	}
}

// addFractions adds the fractions of the requested value by the outcome of the calls.
func (r *Result) addFractions() {
	var total SecondTotals
	for _, second := range r.Seconds {
		total.add(second)
	}
	if total.Requested <= 0 {
		return
	}
	r.Metrics[MetricInTime] = total.InTime / total.Requested
	r.Metrics[MetricLate] = total.Late / total.Requested
	r.Metrics[MetricRejected] = total.Rejected / total.Requested
	r.Metrics[MetricFailed] = total.Failed / total.Requested
}

// addPerCall adds the number of calls, the slow-start metrics, and the counts per call.
func (r *Result) addPerCall(history *History, endpoints *endpointList) {
	calls := 0
	outcomes := map[Outcome]int{}
	for _, request := range history.Requests {
		if request.Retry == 0 {
			calls++
		}
		r.Attempts += len(request.Attempts)
		for _, a := range request.Attempts {
			outcomes[a.Outcome]++
		}
	}
	var handshakes, healthChecks, slowStartLoad float64
	for _, s := range r.Servers {
		handshakes += float64(s.Handshakes)
		healthChecks += float64(s.HealthChecks)
		slowStartLoad = max(slowStartLoad, s.SlowStartLoad)
	}
	r.Metrics[MetricCalls] = float64(calls)
	r.Metrics[MetricSlowStartLoad] = slowStartLoad
	r.Metrics[MetricSlowStartFailures] = float64(len(history.Overloads))
	counts := map[Metric]float64{
		MetricRequests:          float64(len(history.Requests)),
		MetricAttempts:          float64(r.Attempts),
		MetricAttemptsFailed:    float64(outcomes[AttemptFailed]),
		MetricAttemptsRejected:  float64(outcomes[AttemptRejected]),
		MetricAttemptsCancelled: float64(outcomes[AttemptCancelled]),
		MetricAttemptsBroken:    float64(outcomes[AttemptBroken]),
		MetricHandshakes:        handshakes,
		MetricHealthChecks:      healthChecks,
		MetricDiscoveryCalls:    float64(endpoints.calls.Load()),
		MetricEndpointsSent:     float64(endpoints.entriesSent.Load()),
	}
	for metric, count := range counts {
		r.Metrics[metric] = count / max(1, float64(calls))
	}
}
