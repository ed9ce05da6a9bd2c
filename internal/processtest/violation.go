package processtest

import (
	"fmt"
	"strings"
)

// maxReportedViolations is how many violations a ViolationsError names.
const maxReportedViolations = 5

// Rule names a rule that the histories of all cases keep.
type Rule string

// Violation is a rule that a history breaks.
type Violation struct {
	Rule    Rule
	Subject string // the process that it is about
	Text    string // how the rule is broken
}

// String returns the rule and how it is broken.
func (v Violation) String() string { return string(v.Rule) + ": " + v.Text }

// ViolationsError tells that the history of a case breaks rules.
type ViolationsError struct {
	Violations []Violation
	Timeline   string // what led to the first of them
}

// Error returns the first violations, one a line, and the timeline.
func (e *ViolationsError) Error() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%d violations, the first:", len(e.Violations))
	for _, violation := range e.Violations[:min(len(e.Violations), maxReportedViolations)] {
		fmt.Fprintf(&text, "\n%v", violation)
	}
	fmt.Fprintf(&text, "\n%s", e.Timeline)
	return text.String()
}
