package experiment

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"fernbeam.example/fernbeam/internal/emulator"
)

// Record is the result of one run of an arm with a seed. A file of records has one JSON object per line.
type Record struct {
	Scenario   string           `json:"scenario"`
	Arm        string           `json:"arm"`
	Seed       uint64           `json:"seed"`
	Commit     string           `json:"commit"` // of the agent's program; see Revision
	Machine    string           `json:"machine"`
	Length     time.Duration    `json:"length_ns"`
	Valid      bool             `json:"counts"` // false if the harness failed or was late; see Result.Errors
	Result     *emulator.Result `json:"result"`
	AgentsCPU  float64          `json:"agents_cpu_s"`
	HarnessCPU float64          `json:"lab_cpu_s"`
	AgentError string           `json:"agent_fault,omitempty"` // set if an agent exited by itself
	// Views has the views of the sampled agents by second. It is empty if the agents have no membership section.
	Views []ViewRange `json:"views,omitempty"`
}

// Metrics of a record in addition to those of the emulator's result.
const (
	metricAgentsCPU   emulator.Metric = "agents' CPU s"
	metricHarnessCPU  emulator.Metric = "lab's CPU s"
	metricRulesBroken emulator.Metric = "rules broken"
)

// Metrics returns the metrics of the run: those of its result, the processor times, and the number of violations.
func (r *Record) Metrics() map[emulator.Metric]float64 {
	metrics := maps.Clone(r.Result.Metrics)
	metrics[metricAgentsCPU] = r.AgentsCPU
	metrics[metricHarnessCPU] = r.HarnessCPU
	metrics[metricRulesBroken] = float64(len(r.Result.Violations))
	return metrics
}

// Write writes the record as a line of a file of records.
func (r *Record) Write(to io.Writer) error { return json.NewEncoder(to).Encode(r) }

// ReadRecords reads records until the end of the file. On an error it also returns the records before it.
func ReadRecords(from io.Reader) (records []*Record, err error) {
	decoder := json.NewDecoder(from)
	for {
		record := new(Record)
		err := decoder.Decode(record)
		if errors.Is(err, io.EOF) {
			return records, nil
		}
		if err != nil {
			return records, fmt.Errorf("record %d: %w", len(records)+1, err)
		}
		if record.Result == nil {
			return records, fmt.Errorf("record %d: has no result", len(records)+1)
		}
		records = append(records, record)
	}
}

// Arms returns the names of the arms in records, in order of first appearance.
func Arms(records []*Record) (arms []string) {
	for _, record := range records {
		if !slices.Contains(arms, record.Arm) {
			arms = append(arms, record.Arm)
		}
	}
	return arms
}

// validOf returns the records of an arm's valid runs.
func validOf(records []*Record, arm string) (valid []*Record) {
	for _, record := range records {
		if record.Valid && record.Arm == arm {
			valid = append(valid, record)
		}
	}
	return valid
}
