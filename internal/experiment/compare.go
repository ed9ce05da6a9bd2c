package experiment

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strings"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Write adds a record to a journal, a JSON object a line.
func (rec *Record) Write(to io.Writer) error { return json.NewEncoder(to).Encode(rec) }

// ReadRecords reads a journal.
func ReadRecords(from io.Reader) (recs []*Record, err error) {
	for dec := json.NewDecoder(from); ; {
		rec := new(Record)
		if err := dec.Decode(rec); errors.Is(err, io.EOF) {
			return recs, nil
		} else if err != nil {
			return recs, fmt.Errorf("record %d: %w", len(recs)+1, err)
		}
		if rec.Result == nil {
			return recs, fmt.Errorf("record %d: has no result", len(recs)+1)
		}
		recs = append(recs, rec)
	}
}

// Difference is how an arm's figure lies against another's: the mean over pairs of one seed, and
// half the width of its 95 % interval (Student's t).
type Difference struct {
	Metric          string
	Base, Arm       float64 // means
	Mean, HalfWidth float64
	Pairs           int
}

// HoldsZero tells whether the interval holds no difference.
func (d Difference) IncludesZero() bool { return math.Abs(d.Mean) <= d.HalfWidth }

// Compare gives the differences of all figures between two arms, over the seeds on which both
// have a run that counts; the last run of each counts. Two pairs are needed.
func Compare(recs []*Record, base, arm string) ([]Difference, error) {
	runs := map[string]map[uint64]map[string]float64{base: {}, arm: {}}
	for _, r := range recs {
		if runs[r.Arm] != nil && r.Valid {
			runs[r.Arm][r.Seed] = r.Metrics()
		}
	}
	var seeds []uint64
	for seed := range runs[base] {
		if runs[arm][seed] != nil {
			seeds = append(seeds, seed)
		}
	}
	if len(seeds) < 2 {
		return nil, fmt.Errorf("%q and %q have %d seeds in common on which both count; 2 are needed", base, arm, len(seeds))
	}
	slices.Sort(seeds)
	var out []Difference
	for _, f := range slices.Sorted(maps.Keys(runs[base][seeds[0]])) {
		var x, y, diff []float64
		for _, s := range seeds {
			a, b := runs[base][s][f], runs[arm][s][f]
			x, y, diff = append(x, a), append(y, b), append(diff, b-a)
		}
		mean, sd := stat.MeanStdDev(diff, nil)
		n := float64(len(diff))
		t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(0.975)
		out = append(out, Difference{Metric: f, Base: stat.Mean(x, nil), Arm: stat.Mean(y, nil), Mean: mean, HalfWidth: t * sd / math.Sqrt(n), Pairs: len(diff)})
	}
	return out, nil
}

// Arms are the arms of records, in the order in which they first come.
func Arms(recs []*Record) (arms []string) {
	for _, r := range recs {
		if !slices.Contains(arms, r.Arm) {
			arms = append(arms, r.Arm)
		}
	}
	return arms
}

// Report writes what the records hold: each arm against the first, what did not count, and each
// broken rule with its request's course.
func Report(out io.Writer, recs []*Record) error {
	arms := Arms(recs)
	if len(arms) == 0 {
		return errors.New("there are no records")
	}
	broken, lost := 0, 0
	for _, r := range recs {
		if !r.Valid {
			lost++
			fmt.Fprintf(out, "does not count: arm %q, seed %d: %s\n", r.Arm, r.Seed, strings.Join(r.Result.Errors, "; "))
		}
		if r.AgentError != "" {
			fmt.Fprintf(out, "agent: arm %q, seed %d: %s\n", r.Arm, r.Seed, r.AgentError)
		}
		for _, v := range r.Result.Violations {
			if broken++; broken <= 20 {
				fmt.Fprintf(out, "rule broken: arm %q, seed %d: %v\n", r.Arm, r.Seed, v)
			}
		}
	}
	fmt.Fprintf(out, "%d runs, %d of them do not count, %d rules broken\n", len(recs), lost, broken)
	for _, arm := range arms[1:] {
		diffs, err := Compare(recs, arms[0], arm)
		if err != nil {
			fmt.Fprintf(out, "\nno intervals: %v\n", err)
			writeSummary(out, recs, arms[0])
			writeSummary(out, recs, arm)
			continue
		}
		fmt.Fprintf(out, "\n| figure | %s | %s | difference, 95 %% over %d seeds | |\n| --- | --- | --- | --- | --- |\n", arms[0], arm, diffs[0].Pairs)
		held := 0
		for _, d := range diffs {
			verdict := "differs"
			if d.IncludesZero() {
				verdict = ""
				held++
			}
			fmt.Fprintf(out, "| %s | %.4g | %.4g | %+.4g ± %.4g | %s |\n", d.Metric, d.Base, d.Arm, d.Mean, d.HalfWidth, verdict)
		}
		fmt.Fprintf(out, "\nthe interval holds 0 for %d of %d figures\n", held, len(diffs))
	}
	if len(arms) == 1 {
		writeSummary(out, recs, arms[0])
	}
	return nil
}

// single prints the figures of one arm over its runs that count.
func writeSummary(out io.Writer, recs []*Record, arm string) {
	by := map[string][]float64{}
	for _, r := range recs {
		if r.Valid && r.Arm == arm {
			for f, v := range r.Metrics() {
				by[f] = append(by[f], v)
			}
		}
	}
	fmt.Fprintln(out, "\n| "+arm+" | runs | least | mean | most |\n| --- | --- | --- | --- | --- |")
	for _, f := range slices.Sorted(maps.Keys(by)) {
		fmt.Fprintf(out, "| %s | %d | %.4g | %.4g | %.4g |\n", f, len(by[f]), slices.Min(by[f]), stat.Mean(by[f], nil), slices.Max(by[f]))
	}
}
