package configtest

import (
	"fmt"
	"time"

	"fernbeam.example/fernbeam/internal/processtest"
)

const (
	// pollInterval is the interval at which awaitLastChange reads the logs.
	pollInterval = 50 * time.Millisecond
	// settleMargin is the time that awaitLastChange waits in addition to Config.Within.
	settleMargin = time.Second
)

// Case is a fault case. Its run function returns once the last change is acknowledged and all faults have ended; the
// metrics it returns are logged.
type Case struct {
	Name string
	run  func(h *Harness) (processtest.Metrics, error)
}

// Cases lists the fault cases. They run on one harness in this order, because the first needs agents that still have
// the settings of their configuration files in force.
var Cases = []Case{
	{"half reject", (*Harness).halfReject},
	{"leader killed in a burst", (*Harness).leaderKilled},
	{"instance paused", func(h *Harness) (processtest.Metrics, error) { return h.instanceGone(h.pause) }},
	{"instance cut off", func(h *Harness) (processtest.Metrics, error) { return h.instanceGone(h.cutOff) }},
	{"instance killed", func(h *Harness) (processtest.Metrics, error) { return h.instanceGone(h.kill) }},
	{"two writers", (*Harness).twoWriters},
	{"region cut", (*Harness).regionCut},
	{"all down", (*Harness).allDown},
}

// RunCase runs a case, waits until its last change has reached all running agents or is overdue, and checks the
// history recorded so far. The error describes the failure, or the violations in the history.
func (h *Harness) RunCase(c Case) error {
	startedAt := time.Now()
	result, err := h.runCase(c)
	if err != nil {
		return fmt.Errorf("%s: %w\n%s", c.Name, err, h.timeline(startedAt))
	}
	delays := result.history.Delays(startedAt)
	h.cfg.Log("%s: %.1f s; in force after p50 %v, p99 %v, worst %v, of %d; %v",
		c.Name,
		time.Since(startedAt).Seconds(),
		processtest.Quantile(delays, processtest.Median),
		processtest.Quantile(delays, processtest.Percentile99),
		processtest.Quantile(delays, processtest.Maximum),
		len(delays),
		result.metrics)
	if violations := Check(result.history, h.cfg.Within); len(violations) > 0 {
		err := &processtest.ViolationsError{Violations: violations, Timeline: h.timeline(startedAt)}
		return fmt.Errorf("%s: %w", c.Name, err)
	}
	return nil
}

// caseResult has the metrics of a case and the history recorded up to its end.
type caseResult struct {
	metrics processtest.Metrics
	history *History
}

// runCase runs a case and waits until its last change has reached all running agents or is overdue.
func (h *Harness) runCase(c Case) (caseResult, error) {
	metrics, err := c.run(h)
	if err != nil {
		return caseResult{}, err
	}
	if err := h.awaitLastChange(); err != nil {
		return caseResult{}, err
	}
	history, err := h.History()
	return caseResult{metrics: metrics, history: history}, err
}

// timeline returns the timeline of process events and faults since the given time.
func (h *Harness) timeline(since time.Time) string {
	timeline := new(processtest.Timeline)
	timeline.AddEvents(h.discovery, since)
	timeline.AddEvents(h.agents, since)
	return timeline.String()
}

// awaitLastChange returns once each running agent has applied or rejected the last change, or when the change is
// overdue.
func (h *Harness) awaitLastChange() error {
	var failure error
	isKnown := func() bool {
		history, err := h.observed()
		if err != nil {
			failure = err
			return true
		}
		return history.allKnow(history.lastWrite())
	}
	// A timeout is ignored here: the checker reports each agent that is late.
	_ = processtest.AwaitEvery(pollInterval, h.cfg.Within+settleMargin, "the last change at all agents", isKnown)
	return failure
}
