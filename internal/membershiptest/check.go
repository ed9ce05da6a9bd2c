package membershiptest

import (
	"context"
	"fmt"
	"slices"
	"time"

	"fernbeam.example/fernbeam/internal/membership"
	"fernbeam.example/fernbeam/internal/processtest"
)

// The rules of a history.
const (
	// RuleFalseDeath: a running process is not declared dead, unless that is exempted.
	RuleFalseDeath processtest.Rule = "false death"
	// RuleIncarnation: an incarnation never decreases.
	RuleIncarnation processtest.Rule = "incarnation"
	// RuleNumber: the number of a snapshot grows by one.
	RuleNumber processtest.Rule = "number"
	// RuleReturn: a process that was replaced does not return, and none replaces its successor.
	RuleReturn processtest.Rule = "return"
	// RuleLeaver: a process that left is neither suspected nor dead and does not return.
	RuleLeaver processtest.Rule = "leaver"
)

// Check checks the merged histories of all processes against the rules.
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

// recordChecker checks the changes of one observer, in their order.
type recordChecker struct {
	observer   string
	byProcess  map[string]*ProcessIncarnation
	exemptions []processtest.Exemption
	seen       map[string]membership.Change // the last change of each name
	replaced   map[string]bool              // processes that another one replaced
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

// checkSameProcess checks a change of a process that was seen before.
func (c *recordChecker) checkSameProcess(old, change membership.Change) {
	if change.Incarnation < old.Incarnation {
		c.report(RuleIncarnation, change)
	}
	if old.To == membership.Left && change.To != membership.Left && change.To != "" {
		c.report(RuleLeaver, change)
	}
}

// isFalseDeath tells whether a process was declared dead that runs, without an exemption.
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

// report adds the violation of a rule by a change.
func (c *recordChecker) report(rule processtest.Rule, change membership.Change) {
	text := fmt.Sprintf("%s saw %s/%s go from %q to %q (incarnation %d, by %q) in snapshot %d at %s",
		c.observer, change.Name, change.Process, change.From, change.To, change.Incarnation,
		change.ReportedBy, change.Number, processtest.FormatTime(changeTime(change)))
	c.violations = append(c.violations, processtest.Violation{Rule: rule, Subject: change.Process, Text: text})
}

// Check checks all that the harness's processes saw so far.
func (h *Harness) Check(ctx context.Context) []processtest.Violation {
	h.collectChanges(ctx, h.Running())
	return Check(h.incarnations(), h.sortedRecords(), h.exemptions.All())
}

// runningProcesses are the processes that have not ended.
func runningProcesses(incarnations []*ProcessIncarnation) map[string]bool {
	running := map[string]bool{}
	for _, incarnation := range incarnations {
		running[incarnation.Process] = incarnation.IsRunning()
	}
	return running
}

// flapCounts are how often observers came to suspect running members.
type flapCounts struct {
	most int // of a pair of an observer and a member
	sum  int
}

// countFlaps counts the flaps since a time.
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
				flaps.sum++
				flaps.most = max(flaps.most, perMember[change.Process])
			}
		}
	}
	return flaps
}

// detections are how processes that were killed were detected.
type detections struct {
	times  []time.Duration // from the end of a process until a running process saw it dead, in order
	missed int             // pairs of the two where it never did
}

// detectionsSince are the detections of the processes that were killed since a time.
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
