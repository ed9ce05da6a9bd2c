package configtest

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"fernbeam.example/fernbeam/internal/processtest"
)

// The rules that a history must satisfy.
const (
	// RuleBack requires that the versions that a process puts in force strictly increase.
	RuleBack processtest.Rule = "back"
	// RuleUnaccepted requires that settings in force were acknowledged to a writer or are in the service's history, and
	// are the settings written with that version.
	RuleUnaccepted processtest.Rule = "unaccepted"
	// RuleLost requires that each acknowledged change is in the service's history, as far back as that reaches.
	RuleLost processtest.Rule = "lost"
	// RuleOrder requires that each version belongs to a single change.
	RuleOrder processtest.Rule = "order"
	// RuleLate requires that each process has put in force or rejected a change, or a newer one, by the time it is due.
	RuleLate processtest.Rule = "late"
)

// Check checks a history and returns its violations. A change must be in force or rejected at all agents within the
// given time after its acknowledgement.
func Check(h *History, within time.Duration) []processtest.Violation {
	c := &checker{history: h, accepted: map[uint64]int{}}
	c.checkService()
	for _, incarnation := range h.Incarnations {
		c.checkVersions(incarnation)
	}
	c.checkDelays(within)
	return c.violations
}

// checker checks a single history.
type checker struct {
	history    *History
	accepted   map[uint64]int // markers of the acknowledged and stored changes, by version
	violations []processtest.Violation
}

// report adds a violation by the given process; an empty name stands for the service.
func (c *checker) report(rule processtest.Rule, process, format string, args ...any) {
	violation := processtest.Violation{Rule: rule, Subject: process, Text: fmt.Sprintf(format, args...)}
	c.violations = append(c.violations, violation)
}

// accept records the marker of an acknowledged or stored version.
func (c *checker) accept(version uint64, marker int) {
	if old, ok := c.accepted[version]; ok && old != marker {
		c.report(RuleOrder, "", "version %d belongs to both change %d and change %d", version, old, marker)
	}
	c.accepted[version] = marker
}

// checkService checks the service's history against the acknowledged writes.
func (c *checker) checkService() {
	stored := map[uint64]bool{}
	for _, version := range c.history.Stored {
		c.accept(version.Version, version.Marker)
		stored[version.Version] = true
	}
	for _, w := range c.history.Writes {
		if w.AckedAt.IsZero() {
			continue
		}
		c.accept(w.Version, w.Marker)
		isKept := len(c.history.Stored) > 0 && w.Version >= oldestVersion(c.history.Stored)
		if isKept && !stored[w.Version] {
			c.report(RuleLost, "", "version %d, change %d, was acknowledged but is not in the history", w.Version, w.Marker)
		}
	}
}

// oldestVersion returns the oldest of the stored versions.
func oldestVersion(stored []StoredVersion) uint64 {
	oldest := slices.MinFunc(stored, func(a, b StoredVersion) int { return cmp.Compare(a.Version, b.Version) })
	return oldest.Version
}

// checkVersions checks the order and the content of the versions that a process put in force.
func (c *checker) checkVersions(p *ProcessIncarnation) {
	last := uint64(0)
	for _, o := range p.Observations {
		if o.Rejected {
			continue
		}
		if o.Version <= last {
			c.report(RuleBack, p.Agent, "%s went from version %d to %d at %s",
				p.Agent, last, o.Version, processtest.FormatTime(o.At))
		}
		last = o.Version
		marker, ok := c.accepted[o.Version]
		if !ok || marker != o.Marker {
			c.report(RuleUnaccepted, p.Agent, "%s put change %d in force as version %d, which is change %d (0: none)",
				p.Agent, o.Marker, o.Version, marker)
		}
	}
}

// checkDelays checks that each process had applied or rejected each change when it was due.
func (c *checker) checkDelays(within time.Duration) {
	for _, w := range c.history.Writes {
		for _, p := range c.history.Incarnations {
			due, ok := c.history.dueAt(w, p, within)
			if ok && !p.knew(w.Version, due) {
				c.report(RuleLate, p.Agent, "%s did not have version %d at %s", p.Agent, w.Version, processtest.FormatTime(due))
			}
		}
	}
}
