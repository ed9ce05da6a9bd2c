package configtest

import (
	"fmt"
	"time"

	"fernbeam.example/fernbeam/internal/processtest"
)

const (
	// pollInterval is how often awaitLastChange reads the logs, and settleMargin how much longer it waits than a
	// change may take.
	pollInterval = 50 * time.Millisecond
	settleMargin = time.Second
)

// Case is one fault case. Its run returns once the last change is acknowledged and all faults are over; the metrics
// that it returns are for the log.
type Case struct {
	Name string
	run  func(h *Harness) (processtest.Metrics, error)
}

// Cases are run on one harness in this order: the first needs agents that have their files' settings.
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

// RunCase runs a case, waits until all that was changed is in force where it must be, and checks all that was seen so
// far. The error tells what failed, or the rules that the history breaks.
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

// caseResult is what a case measured, and all that was seen until its end.
type caseResult struct {
	metrics processtest.Metrics
	history *History
}

// runCase runs a case, and waits until all that was changed is in force.
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

// timeline returns what was done to the processes since a time.
func (h *Harness) timeline(since time.Time) string {
	timeline := new(processtest.Timeline)
	timeline.AddEvents(h.discovery, since)
	timeline.AddEvents(h.agents, since)
	return timeline.String()
}

// awaitLastChange returns once each running agent knows the last change, or this was due.
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
	// The checker reports the agents that do not know it in time.
	_ = processtest.AwaitEvery(pollInterval, h.cfg.Within+settleMargin, "the last change at all agents", isKnown)
	return failure
}
