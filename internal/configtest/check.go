package configtest

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Rule is a rule that every history keeps.
type Rule string

// The rules of a history.
const (
	// RuleBack: a version of a process is above the one before.
	RuleBack Rule = "back"
	// RuleUnaccepted: what is in force was acknowledged to a writer or is in the history, and is what was written.
	RuleUnaccepted Rule = "unaccepted"
	// RuleLost: an acknowledged change is in the service's history.
	RuleLost Rule = "lost"
	// RuleOrder: one version is of one change.
	RuleOrder Rule = "order"
	// RuleLate: a process has put in force or rejected a change, or a newer one, when it is due.
	RuleLate Rule = "late"
)

// Violation is a rule that a history breaks, and how.
type Violation struct {
	Rule Rule
	Text string
}

func (v Violation) String() string { return string(v.Rule) + ": " + v.Text }

// Check checks a history; within is the time from a change's acknowledgement to in force at all agents.
func Check(h *History, within time.Duration) []Violation {
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
	violations []Violation
}

func (c *checker) report(rule Rule, format string, args ...any) {
	c.violations = append(c.violations, Violation{rule, fmt.Sprintf(format, args...)})
}

// accept records a version with its marker.
func (c *checker) accept(version uint64, marker int) {
	if old, ok := c.accepted[version]; ok && old != marker {
		c.report(RuleOrder, "version %d is of the changes %d and %d", version, old, marker)
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
			c.report(RuleLost, "version %d, change %d, was acknowledged and is not in the history", w.Version, w.Marker)
		}
	}
}

// oldestVersion is the oldest of some stored versions.
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
			c.report(RuleBack, "%s went from version %d to %d at %s", p.Agent, last, o.Version, formatTime(o.At))
		}
		last = o.Version
		marker, ok := c.accepted[o.Version]
		if !ok || marker != o.Marker {
			c.report(RuleUnaccepted, "%s put change %d in force as version %d, which is change %d (0: none)",
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
				c.report(RuleLate, "%s did not have version %d at %s", p.Agent, w.Version, formatTime(due))
			}
		}
	}
}

// formatTime is a time in a violation: seconds of the minute.
func formatTime(t time.Time) string { return t.Format("05.000") }
