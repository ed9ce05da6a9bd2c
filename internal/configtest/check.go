package configtest

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"fernbeam.example/fernbeam/internal/processtest"
)

// The rules of a history.
const (
	// RuleBack: a version of a process is above the one before.
	RuleBack processtest.Rule = "back"
	// RuleUnaccepted: what is in force was acknowledged to a writer or is in the history, and is what was written.
	RuleUnaccepted processtest.Rule = "unaccepted"
	// RuleLost: an acknowledged change is in the service's history.
	RuleLost processtest.Rule = "lost"
	// RuleOrder: one version is of one change.
	RuleOrder processtest.Rule = "order"
	// RuleLate: a process has put in force or rejected a change, or a newer one, when it is due.
	RuleLate processtest.Rule = "late"
)

// Check checks a history; within is the time from a change's acknowledgement to in force at all agents.
func Check(h *History, within time.Duration) []processtest.Violation {
	c := &checker{history: h, accepted: map[uint64]int{}}
	c.checkService()
	for _, incarnation := range h.Incarnations {
		c.checkVersions(incarnation)
	}
	c.checkDelays(within)
	return c.violations
}

// checker checks one history.
type checker struct {
	history    *History
	accepted   map[uint64]int // marker by version, of all that was acknowledged or stored
	violations []processtest.Violation
}

// report adds a violation by a process; "" is the service.
func (c *checker) report(rule processtest.Rule, process, format string, args ...any) {
	violation := processtest.Violation{Rule: rule, Subject: process, Text: fmt.Sprintf(format, args...)}
	c.violations = append(c.violations, violation)
}

// accept records a version with its marker.
func (c *checker) accept(version uint64, marker int) {
	if old, ok := c.accepted[version]; ok && old != marker {
		c.report(RuleOrder, "", "version %d is of the changes %d and %d", version, old, marker)
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
			c.report(RuleLost, "", "version %d, change %d, was acknowledged and is not in the history", w.Version, w.Marker)
		}
	}
}

// oldestVersion returns the oldest of some stored versions.
func oldestVersion(stored []StoredVersion) uint64 {
	oldest := slices.MinFunc(stored, func(a, b StoredVersion) int { return cmp.Compare(a.Version, b.Version) })
	return oldest.Version
}

// checkVersions checks the versions that a process put in force.
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

// checkDelays checks that each process knew of each change when it was due.
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
