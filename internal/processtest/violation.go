package processtest

import (
	"fmt"
	"strings"
)

// maxReportedViolations is the maximum number of violations in the text of a ViolationsError.
const maxReportedViolations = 5

// Rule is the name of a rule that the history of every case has to follow.
type Rule string

// Violation describes a place where a recorded history breaks a rule.
type Violation struct {
	Rule    Rule
	Subject string // the process that it concerns
	Text    string // description of the violation
}

// String returns the rule and the description.
func (v Violation) String() string { return string(v.Rule) + ": " + v.Text }

// ViolationsError is the error of a case whose history violates rules.
type ViolationsError struct {
	Violations []Violation
	Timeline   string // the events that led to the first violation
}

// Error returns the first violations, one per line, and the timeline.
func (e *ViolationsError) Error() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%d violations, the first:", len(e.Violations))
	for _, violation := range e.Violations[:min(len(e.Violations), maxReportedViolations)] {
		fmt.Fprintf(&text, "\n%v", violation)
	}
	fmt.Fprintf(&text, "\n%s", e.Timeline)
	return text.String()
}
