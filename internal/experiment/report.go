package experiment

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"gonum.org/v1/gonum/stat"
)

// maxViolations bounds how many violations a report prints.
const maxViolations = 20

// Report writes, as Markdown, the runs that are not valid, the violations, and each arm against the first one.
func Report(out io.Writer, records []*Record) error {
	arms := Arms(records)
	if len(arms) == 0 {
		return errors.New("there are no records")
	}
	var text bytes.Buffer
	writeRunErrors(&text, records)
	for _, arm := range arms[1:] {
		differences, err := Compare(records, arms[0], arm)
		if err != nil {
			fmt.Fprintf(&text, "\nno intervals: %v\n", err)
			writeSummary(&text, records, arms[0])
			writeSummary(&text, records, arm)
			continue
		}
		writeDifferences(&text, arms[0], arm, differences)
	}
	if len(arms) == 1 {
		writeSummary(&text, records, arms[0])
	}
	_, err := text.WriteTo(out)
	return err
}

// writeRunErrors writes the runs that are not valid, the agents that failed, and the violations.
func writeRunErrors(out *bytes.Buffer, records []*Record) {
	violations, invalid := 0, 0
	for _, record := range records {
		run := fmt.Sprintf("arm %q, seed %d", record.Arm, record.Seed)
		if !record.Valid {
			invalid++
			fmt.Fprintf(out, "not valid: %s: %s\n", run, strings.Join(record.Result.Errors, "; "))
		}
		if record.AgentError != "" {
			fmt.Fprintf(out, "agent: %s: %s\n", run, record.AgentError)
		}
		for _, violation := range record.Result.Violations {
			violations++
			if violations <= maxViolations {
				fmt.Fprintf(out, "violation: %s: %v\n", run, violation)
			}
		}
	}
	fmt.Fprintf(out, "%d runs, %d of them not valid, %d violations\n", len(records), invalid, violations)
}

// writeDifferences writes a table of the differences between two arms.
func writeDifferences(out *bytes.Buffer, base, arm string, differences []Difference) {
	fmt.Fprintf(out, "\n| metric | %s | %s | difference, 95 %% over %d seeds | |\n", base, arm, differences[0].Pairs)
	fmt.Fprintf(out, "| --- | --- | --- | --- | --- |\n")
	equal := 0
	for _, d := range differences {
		verdict := "differs"
		if d.IncludesZero() {
			verdict = ""
			equal++
		}
		fmt.Fprintf(out, "| %s | %.4g | %.4g | %+.4g ± %.4g | %s |\n",
			d.Metric, d.Base, d.Arm, d.Mean, d.HalfWidth, verdict)
	}
	fmt.Fprintf(out, "\nthe interval includes 0 for %d of %d metrics\n", equal, len(differences))
}

// writeSummary writes a table of an arm's metrics over its valid runs.
func writeSummary(out *bytes.Buffer, records []*Record, arm string) {
	values := map[string][]float64{}
	for _, record := range validOf(records, arm) {
		for metric, value := range record.Metrics() {
			values[metric] = append(values[metric], value)
		}
	}
	fmt.Fprintf(out, "\n| %s | runs | least | mean | greatest |\n| --- | --- | --- | --- | --- |\n", arm)
	for _, metric := range slices.Sorted(maps.Keys(values)) {
		v := values[metric]
		fmt.Fprintf(out, "| %s | %d | %.4g | %.4g | %.4g |\n",
			metric, len(v), slices.Min(v), stat.Mean(v, nil), slices.Max(v))
	}
}
