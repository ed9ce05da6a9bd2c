package experiment

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"gonum.org/v1/gonum/stat"
)

// maxViolations is the maximum number of violations that a report prints.
const maxViolations = 20

// Report writes a report in Markdown: the runs that are not valid, the violations, and the differences of each arm
// from the first one.
func Report(out io.Writer, records []*Record) error {
	arms := Arms(records)
	if len(arms) == 0 {
		return errors.New("no records")
	}
	var text bytes.Buffer
	writeRunErrors(&text, records)
	for _, arm := range arms[1:] {
		differences, err := Compare(records, arms[0], arm)
		if err != nil {
			fmt.Fprintf(&text, "\nno confidence intervals: %v\n", err)
			writeSummary(&text, records, arms[0])
			writeSummary(&text, records, arm)
			continue
		}
		fmt.Fprintln(&text)
		writeDifferences(&text, arms[0], arm, differences)
	}
	if len(arms) == 1 {
		writeSummary(&text, records, arms[0])
	}
	_, err := text.WriteTo(out)
	return err
}

// ReportDifferences writes the differences of an arm from a base arm as a Markdown table.
func ReportDifferences(out io.Writer, records []*Record, base, arm string) error {
	differences, err := Compare(records, base, arm)
	if err != nil {
		return err
	}
	var text bytes.Buffer
	writeDifferences(&text, base, arm, differences)
	_, err = text.WriteTo(out)
	return err
}

// writeRunErrors writes the runs that are not valid, the agents that failed, and the violations, followed by the
// numbers of runs, runs that are not valid, and violations.
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
	fmt.Fprintf(out, "runs: %d, not valid: %d, violations of the operating rules: %d\n", len(records), invalid, violations)
}

// writeDifferences writes a table of the differences between two arms.
func writeDifferences(out *bytes.Buffer, base, arm string, differences []Difference) {
	heading := fmt.Sprintf("difference, 95 %% over %d seeds", differences[0].Pairs)
	table := newTable("metric", base, arm, heading, "", "unit")
	equal := 0
	for _, d := range differences {
		verdict := "differs"
		if d.Interval.Includes(0) {
			verdict = ""
			equal++
		}
		interval := fmt.Sprintf("%+.4g ± %.4g", d.Interval.Mean, d.Interval.HalfWidth)
		table.addRow(d.Metric.Title, formatValue(d.Base), formatValue(d.Arm), interval, verdict, d.Metric.Unit)
	}
	table.write(out)
	fmt.Fprintf(out, "\nthe interval includes 0 for %d of %d metrics\n", equal, len(differences))
}

// writeSummary writes a table of an arm's metrics over its valid runs. If the arm has no valid run, the table shows its
// last run and marks it as not valid.
func writeSummary(out *bytes.Buffer, records []*Record, arm string) {
	runs := validOf(records, arm)
	switch len(runs) {
	case 0:
		writeInvalidRun(out, records, arm)
	case 1:
		fmt.Fprintln(out)
		writeRun(out, runs[0])
	default:
		fmt.Fprintln(out)
		writeRuns(out, arm, runs)
	}
}

// writeInvalidRun writes the last run of an arm without valid runs, marked as not valid.
func writeInvalidRun(out *bytes.Buffer, records []*Record, arm string) {
	for _, record := range slices.Backward(records) {
		if record.Arm == arm {
			fmt.Fprintf(out, "\n%s has no valid run. Its last run, which is not valid:\n\n", arm)
			writeRun(out, record)
			return
		}
	}
}

// writeRun writes a table of the metrics of one run.
func writeRun(out *bytes.Buffer, run *Record) {
	table := newTable(run.Arm, "value", "unit")
	values := run.Metrics()
	for _, metric := range metricsIn([]*Record{run}) {
		table.addRow(metric.Title, formatValue(values[metric.Key]), metric.Unit)
	}
	table.write(out)
}

// writeRuns writes a table of the metrics of several runs of an arm. A metric that some runs lack, such as the latency
// of served requests, is summarized over the runs that have it.
func writeRuns(out *bytes.Buffer, arm string, runs []*Record) {
	table := newTable(arm, "runs", "least", "mean", "greatest", "unit")
	for _, metric := range metricsIn(runs) {
		var values []float64
		for _, run := range runs {
			if value, ok := run.Metrics()[metric.Key]; ok {
				values = append(values, value)
			}
		}
		table.addRow(metric.Title, strconv.Itoa(len(values)), formatValue(slices.Min(values)),
			formatValue(stat.Mean(values, nil)), formatValue(slices.Max(values)), metric.Unit)
	}
	table.write(out)
}
