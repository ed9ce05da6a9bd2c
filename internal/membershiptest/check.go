package membershiptest

import (
	"context"
	"fmt"
	"slices"
	"time"

	"fernbeam.example/fernbeam/internal/membership"
	"fernbeam.example/fernbeam/internal/processtest"
)

// The rules that a history must satisfy.
const (
	// RuleFalseDeath requires that no running process is declared dead, except under an exemption.
	RuleFalseDeath processtest.Rule = "false death"
	// RuleIncarnation requires that the incarnation of a process never decreases.
	RuleIncarnation processtest.Rule = "incarnation"
	// RuleNumber requires that consecutive snapshots of an observer have consecutive numbers.
	RuleNumber processtest.Rule = "number"
	// RuleReturn requires that a replaced process does not return, and that no process replaces its successor.
	RuleReturn processtest.Rule = "return"
	// RuleLeaver requires that a process that left is not suspected or declared dead afterwards and does not return.
	RuleLeaver processtest.Rule = "leaver"
)

// Check checks the merged histories of all processes and returns the violations.
func Check(
	incarnations []*ProcessIncarnation, records []*Record, exemptions []processtest.Exemption,
) []processtest.Violation {
	byProcess := map[string]*ProcessIncarnation{}
	for _, incarnation := range incarnations {
		byProcess[incarnation.Process] = incarnation
	}
	var violations []processtest.Violation
	for _, record := range records {
		checker := &recordChecker{
			observer:   record.Observer,
			byProcess:  byProcess,
			exemptions: exemptions,
			seen:       map[string]membership.Change{},
			replaced:   map[string]bool{},
		}
		for _, change := range record.Changes {
			checker.check(change)
		}
		violations = append(violations, checker.violations...)
	}
	return violations
}

// recordChecker checks the changes of one observer in order.
type recordChecker struct {
	observer   string
	byProcess  map[string]*ProcessIncarnation
	exemptions []processtest.Exemption
	seen       map[string]membership.Change // latest change of each name
	replaced   map[string]bool              // processes replaced by another one
	number     uint64
	violations []processtest.Violation
}

// check checks the next change.
func (c *recordChecker) check(change membership.Change) {
	if change.Number != c.number && change.Number != c.number+1 {
		c.report(RuleNumber, change)
	}
	c.number = change.Number
	old, known := c.seen[change.Name]
	if known && old.Process != change.Process {
		c.replaced[old.Process] = true
	}
	replacesSuccessor := known && c.byProcess[change.Process].endedBefore(c.byProcess[old.Process])
	if c.replaced[change.Process] || replacesSuccessor {
		c.report(RuleReturn, change)
	}
	if known && old.Process == change.Process {
		c.checkSameProcess(old, change)
	}
	if change.To == membership.Dead && c.isFalseDeath(change) {
		c.report(RuleFalseDeath, change)
	}
	c.seen[change.Name] = change
}

// checkSameProcess checks a change of a name whose process is the same as in the previous change.
func (c *recordChecker) checkSameProcess(old, change membership.Change) {
	if change.Incarnation < old.Incarnation {
		c.report(RuleIncarnation, change)
	}
	if old.To == membership.Left && change.To != membership.Left && change.To != "" {
		c.report(RuleLeaver, change)
	}
}

// isFalseDeath reports whether a change declared a running process dead without an exemption.
func (c *recordChecker) isFalseDeath(change membership.Change) bool {
	at := changeTime(change)
	incarnation := c.byProcess[change.Process]
	if incarnation == nil || !incarnation.IsRunning() && at.After(incarnation.End) {
		return false
	}
	return !slices.ContainsFunc(c.exemptions, func(e processtest.Exemption) bool {
		return e.Covers(at, c.observer, change.Name)
	})
}

// report adds a violation of a rule by a change.
func (c *recordChecker) report(rule processtest.Rule, change membership.Change) {
	text := fmt.Sprintf("%s saw %s/%s go from %q to %q (incarnation %d, by %q) in snapshot %d at %s",
		c.observer, change.Name, change.Process, change.From, change.To, change.Incarnation,
		change.ReportedBy, change.Number, processtest.FormatTime(changeTime(change)))
	c.violations = append(c.violations, processtest.Violation{Rule: rule, Subject: change.Process, Text: text})
}

// Check collects the changes of the running processes, checks the histories of all processes so far and returns the
// violations.
func (h *Harness) Check(ctx context.Context) []processtest.Violation {
	h.collectChanges(ctx, h.Running())
	return Check(h.incarnations(), h.sortedRecords(), h.exemptions.All())
}

// runningProcesses returns, for each process, whether it is running.
func runningProcesses(incarnations []*ProcessIncarnation) map[string]bool {
	running := map[string]bool{}
	for _, incarnation := range incarnations {
		running[incarnation.Process] = incarnation.IsRunning()
	}
	return running
}

// flapCounts counts the transitions of running members from alive to suspect.
type flapCounts struct {
	maxPerPair int // maximum of all pairs of an observer and a member
	total      int // sum over all such pairs
}

// countFlaps counts the flaps since the given time.
func (h *Harness) countFlaps(ctx context.Context, since time.Time) flapCounts {
	h.collectChanges(ctx, h.Running())
	running := runningProcesses(h.incarnations())
	var flaps flapCounts
	for _, record := range h.sortedRecords() {
		perMember := map[string]int{}
		for _, change := range record.Changes {
			suspected := change.To == membership.Suspect && change.From == membership.Alive
			if suspected && running[change.Process] && changeTime(change).After(since) {
				perMember[change.Process]++
				flaps.total++
				flaps.maxPerPair = max(flaps.maxPerPair, perMember[change.Process])
			}
		}
	}
	return flaps
}

// detections describes how running observers detected the deaths of killed processes.
type detections struct {
	times  []time.Duration // from the end of a process until an observer declared it dead, in ascending order
	missed int             // number of pairs of a killed process and an observer without a detection
}

// detectionsSince returns the detections of the processes killed since the given time.
func (h *Harness) detectionsSince(ctx context.Context, since time.Time) detections {
	h.collectChanges(ctx, h.Running())
	incarnations := h.incarnations()
	running := runningProcesses(incarnations)
	var found detections
	for _, record := range h.sortedRecords() {
		if !running[record.Process] {
			continue
		}
		for _, incarnation := range incarnations {
			if incarnation.IsRunning() || incarnation.Graceful || incarnation.End.Before(since) {
				continue
			}
			i := slices.IndexFunc(record.Changes, func(change membership.Change) bool {
				return change.Process == incarnation.Process && change.To == membership.Dead &&
					changeTime(change).After(incarnation.End)
			})
			if i < 0 {
				found.missed++
				continue
			}
			found.times = append(found.times, changeTime(record.Changes[i]).Sub(incarnation.End))
		}
	}
	slices.Sort(found.times)
	return found
}
