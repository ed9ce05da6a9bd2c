package membershiptest

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// Run is one run of a case: its figures, or why it failed.
type Run struct {
	Case       string  `json:"case"`
	Agents     int     `json:"agents"`
	Seed       uint64  `json:"seed"` // of the lab that played it
	Commit     string  `json:"commit"`
	Processors int     `json:"processors"`
	Metrics    Metrics `json:"figures,omitempty"`
	Failed     string  `json:"failed,omitempty"`
}

// Journal is what runs gave, each written out as soon as it has ended.
type Journal struct {
	Commit     string
	Agents     int
	Processors int
	Out        io.Writer // a JSON object a line; nil: nowhere
	runs       []Run
}

// Add notes a run; the error is that of writing it.
func (j *Journal) Add(name string, seed uint64, metrics Metrics, failed error) error {
	r := Run{Case: name, Agents: j.Agents, Seed: seed, Commit: j.Commit, Processors: j.Processors, Metrics: metrics}
	if failed != nil {
		r.Failed = failed.Error()
	}
	j.runs = append(j.runs, r)
	if j.Out == nil {
		return nil
	}
	return json.NewEncoder(j.Out).Encode(r)
}

// Read adds the runs of a record.
func (j *Journal) Read(from io.Reader) error {
	for dec, n := json.NewDecoder(from), 1; ; n++ {
		var r Run
		if err := dec.Decode(&r); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return fmt.Errorf("run %d: %w", n, err)
		}
		j.runs = append(j.runs, r)
	}
}

// Table writes the median, 99th percentile and worst of each figure of each case by number of
// agents, and the runs that failed, by their seeds; if any did, that is the error.
func (j *Journal) Table(out io.Writer) error {
	fmt.Fprintln(out, "| agents | case | figure | runs | median | p99 | worst |\n| --- | --- | --- | --- | --- | --- | --- |")
	type key struct {
		agents       int
		name, figure string
	}
	figures := map[key][]float64{}
	var order []key
	failed := 0
	for _, r := range j.runs {
		if r.Failed != "" {
			failed++
			continue
		}
		for _, f := range slices.Sorted(maps.Keys(r.Metrics)) {
			k := key{r.Agents, r.Case, f}
			if figures[k] == nil {
				order = append(order, k)
			}
			figures[k] = append(figures[k], r.Metrics[f])
		}
	}
	for _, k := range order {
		v := figures[k]
		slices.Sort(v)
		fmt.Fprintf(out, "| %d | %s | %s | %d | %.4g | %.4g | %.4g |\n", k.agents, k.name, k.figure, len(v), Quantile(v, 0.5), Quantile(v, 0.99), v[len(v)-1])
	}
	if failed == 0 {
		return nil
	}
	fmt.Fprintln(out)
	for _, r := range j.runs {
		if r.Failed != "" {
			fmt.Fprintf(out, "FAILED: %s, %d agents, seed %d, commit %s: %s\n", r.Case, r.Agents, r.Seed, r.Commit, strings.ReplaceAll(r.Failed, "\n", "; "))
		}
	}
	return fmt.Errorf("%d of %d runs failed", failed, len(j.runs))
}
