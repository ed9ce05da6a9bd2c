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

// Record is the outcome of one run: an arm on a seed. A file of records has one JSON object per line.
type Record struct {
	Scenario   string           `json:"scenario"`
	Arm        string           `json:"arm"`
	Seed       uint64           `json:"seed"`
	Commit     string           `json:"commit"` // of the agent's program, see Revision
	Machine    string           `json:"machine"`
	Length     time.Duration    `json:"length_ns"`
	Valid      bool             `json:"counts"` // false: the harness failed or was late, see Result.Errors
	Result     *emulator.Result `json:"result"`
	AgentsCPU  float64          `json:"agents_cpu_s"`
	HarnessCPU float64          `json:"lab_cpu_s"`
	AgentError string           `json:"agent_fault,omitempty"` // an agent that ended by itself
	// Views has what the sampled agents saw in each second; it is empty without a membership section.
	Views []ViewRange `json:"views,omitempty"`
}

// The metrics that a record has beside those of the emulator's result.
const (
	metricAgentsCPU   emulator.Metric = "agents' CPU s"
	metricHarnessCPU  emulator.Metric = "lab's CPU s"
	metricRulesBroken emulator.Metric = "rules broken"
)

// Metrics returns the metrics of the run: those of its result, of its processes, and the number of violations.
func (r *Record) Metrics() map[emulator.Metric]float64 {
	metrics := maps.Clone(r.Result.Metrics)
	metrics[metricAgentsCPU] = r.AgentsCPU
	metrics[metricHarnessCPU] = r.HarnessCPU
	metrics[metricRulesBroken] = float64(len(r.Result.Violations))
	return metrics
}

// Write appends a record to a file of records.
func (r *Record) Write(to io.Writer) error { return json.NewEncoder(to).Encode(r) }

// ReadRecords reads a file of records.
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

// Arms returns the names of the arms in records, in the order of their first record.
func Arms(records []*Record) (arms []string) {
	for _, record := range records {
		if !slices.Contains(arms, record.Arm) {
			arms = append(arms, record.Arm)
		}
	}
	return arms
}

// validOf returns the valid records of an arm.
func validOf(records []*Record, arm string) (valid []*Record) {
	for _, record := range records {
		if record.Valid && record.Arm == arm {
			valid = append(valid, record)
		}
	}
	return valid
}
