package membershiptest

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"fernbeam.example/fernbeam/internal/processtest"
)

// Run is the result of running a case: its metrics, or the reason of its failure. The JSON keys are those of a record.
type Run struct {
	Case       string              `json:"case"`
	Agents     int                 `json:"agents"`
	Seed       uint64              `json:"seed"` // seed of the harness
	Commit     string              `json:"commit"`
	Processors int                 `json:"processors"`
	Metrics    processtest.Metrics `json:"figures,omitempty"`
	Failed     string              `json:"failed,omitempty"`
}

// Journal collects the runs of cases and writes each run as soon as it has ended.
type Journal struct {
	Commit     string
	Agents     int
	Processors int
	Out        io.Writer // receives one JSON object per line; nil disables writing
	runs       []Run
}

// Add adds a run and writes it to Out.
func (j *Journal) Add(name string, seed uint64, metrics processtest.Metrics, failed error) error {
	run := Run{
		Case:       name,
		Agents:     j.Agents,
		Seed:       seed,
		Commit:     j.Commit,
		Processors: j.Processors,
		Metrics:    metrics,
	}
	if failed != nil {
		run.Failed = failed.Error()
	}
	j.runs = append(j.runs, run)
	if j.Out == nil {
		return nil
	}
	return json.NewEncoder(j.Out).Encode(run)
}

// Read adds the runs of a record without writing them to Out.
func (j *Journal) Read(from io.Reader) error {
	decoder := json.NewDecoder(from)
	for number := 1; ; number++ {
		var run Run
		err := decoder.Decode(&run)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("run %d: %w", number, err)
		}
		j.runs = append(j.runs, run)
	}
}

// FailedRunsError reports that some runs of a journal failed.
type FailedRunsError struct {
	Failed, Runs int
}

func (e *FailedRunsError) Error() string {
	return fmt.Sprintf("%d of %d runs failed", e.Failed, e.Runs)
}

// tableKey identifies a row of the table.
type tableKey struct {
	agents       int
	name, metric string
}

// Table writes a table with the median, the 99th percentile and the worst value of each metric, by case and number of
// agents. A list of the failed runs with their seeds follows. If there are any, it returns a *FailedRunsError.
func (j *Journal) Table(out io.Writer) error {
	var text strings.Builder
	text.WriteString("| agents | case | figure | runs | median | p99 | worst |\n")
	text.WriteString("| --- | --- | --- | --- | --- | --- | --- |\n")
	keys, values := j.valuesByKey()
	for _, key := range keys {
		sorted := slices.Sorted(slices.Values(values[key]))
		median := processtest.Quantile(sorted, processtest.Median)
		percentile99 := processtest.Quantile(sorted, processtest.Percentile99)
		worst := processtest.Quantile(sorted, processtest.Maximum)
		fmt.Fprintf(&text, "| %d | %s | %s | %d | %.4g | %.4g | %.4g |\n",
			key.agents, key.name, key.metric, len(sorted), median, percentile99, worst)
	}
	failed := j.writeFailed(&text)
	if _, err := io.WriteString(out, text.String()); err != nil {
		return err
	}
	if failed > 0 {
		return &FailedRunsError{Failed: failed, Runs: len(j.runs)}
	}
	return nil
}

// valuesByKey returns the values of each metric of the successful runs, and the keys in the order of the runs.
func (j *Journal) valuesByKey() ([]tableKey, map[tableKey][]float64) {
	var keys []tableKey
	values := map[tableKey][]float64{}
	for _, run := range j.runs {
		if run.Failed != "" {
			continue
		}
		for _, metric := range slices.Sorted(maps.Keys(run.Metrics)) {
			key := tableKey{run.Agents, run.Case, metric}
			if values[key] == nil {
				keys = append(keys, key)
			}
			values[key] = append(values[key], run.Metrics[metric])
		}
	}
	return keys, values
}

// writeFailed writes the failed runs and returns their number.
func (j *Journal) writeFailed(text *strings.Builder) int {
	failed := 0
	for _, run := range j.runs {
		if run.Failed == "" {
			continue
		}
		if failed == 0 {
			text.WriteString("\n")
		}
		failed++
		fmt.Fprintf(text, "FAILED: %s, %d agents, seed %d, commit %s: %s\n", run.Case, run.Agents, run.Seed, run.Commit,
			strings.ReplaceAll(run.Failed, "\n", "; "))
	}
	return failed
}
