package experiment

import (
	"bytes"
	"slices"
	"strings"
	"testing"

	"fernbeam.example/fernbeam/internal/emulator"
)

// reportOf returns the report of some records.
func reportOf(t *testing.T, records ...*Record) string {
	t.Helper()
	var out bytes.Buffer
	if err := Report(&out, records); err != nil {
		t.Fatal(err)
	}
	return out.String()
}

// TestReportOfOneRun checks the report of a single run: the rows are in the order of metricTable with title, value and
// unit, and a metric that is not in the table comes last.
func TestReportOfOneRun(t *testing.T) {
	record := recordOf("agent", 1, 7, true)
	record.Result.Metrics[emulator.MetricCalls] = 12345
	record.Result.Metrics[emulator.MetricInTime] = 0.99705
	record.Result.Metrics[emulator.MetricLatencyP99] = 438.783
	record.Result.Metrics[emulator.MetricAttempts] = 1.002976
	record.AgentsCPU = 0.5
	const want = `runs: 1, not valid: 0, violations of the operating rules: 0

| agent                    | value | unit                   |
| ------------------------ | ----- | ---------------------- |
| requests                 | 12345 | count                  |
| served in time           | 0.997 | of the requested value |
| rules broken             | 0     | count                  |
| latency, 99th percentile | 438.8 | ms                     |
| attempts                 | 1.003 | per request            |
| agents' processor time   | 0.5   | s                      |
| harness's processor time | 0     | s                      |
| x                        | 7     |                        |
`
	if got := reportOf(t, record); got != want {
		t.Errorf("report is:\n%s\nwant:\n%s", got, want)
	}
}

// TestReportOfSeveralRuns checks that the report of several runs of an arm has the least, mean and greatest value of
// each metric, and that runs that are not valid are left out.
func TestReportOfSeveralRuns(t *testing.T) {
	got := reportOf(t, recordOf("agent", 1, 1, true), recordOf("agent", 2, 4, true), recordOf("agent", 3, 100, false))
	for _, want := range []string{
		"runs: 3, not valid: 1, violations of the operating rules: 0\n",
		"| agent                    | runs | least | mean | greatest | unit  |\n",
		"| x                        | 2    | 1     | 2.5  | 4        |       |\n",
	} {
		if !strings.Contains(got, want) {
			t.Errorf("report is:\n%s\nwant it to contain %q", got, want)
		}
	}
}

// TestReportOfInvalidRun checks that the metrics of a run that is not valid are printed, and marked, only if its arm
// has no valid run.
func TestReportOfInvalidRun(t *testing.T) {
	invalid := recordOf("agent", 1, 7, false)
	invalid.Result.Errors = []string{"late"}
	const reason = "not valid: arm \"agent\", seed 1: late\n"
	const heading = "agent has no valid run. Its last run, which is not valid:\n"
	const row = "| x                        | 7     |       |\n"
	got := reportOf(t, invalid)
	if !strings.HasPrefix(got, reason) || !strings.Contains(got, heading) || !strings.Contains(got, row) {
		t.Errorf("report is:\n%s\nwant it to start with %q and contain %q and %q", got, reason, heading, row)
	}
	got = reportOf(t, recordOf("agent", 2, 8, true), invalid)
	if !strings.HasPrefix(got, reason) || strings.Contains(got, heading) || strings.Contains(got, row) {
		t.Errorf("with a valid run, the report has the table of the one that is not valid:\n%s", got)
	}
}

// TestMetricTable checks that each metric of the table is complete and unique and is found by its title and its key.
func TestMetricTable(t *testing.T) {
	var keys []emulator.Metric
	var titles []string
	for _, metric := range metricTable {
		if metric.Title == "" || metric.Unit == "" {
			t.Errorf("%+v lacks a title or a unit", metric)
		}
		keys = append(keys, metric.Key)
		titles = append(titles, metric.Title)
	}
	slices.Sort(keys)
	slices.Sort(titles)
	if len(slices.Compact(keys)) != len(metricTable) || len(slices.Compact(titles)) != len(metricTable) {
		t.Error("the table has a duplicate key or title")
	}
	for _, metric := range metricTable {
		if FindMetric(metric.Title) != metric || FindMetric(string(metric.Key)) != metric {
			t.Errorf("FindMetric does not find %v by its title and its key", metric)
		}
	}
}
