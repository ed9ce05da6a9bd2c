package experiment

import (
	"math"
	"slices"
	"testing"

	"fernbeam.example/fernbeam/internal/emulator"
)

// recordOf returns a record with one metric, "x".
func recordOf(arm string, seed uint64, x float64, valid bool) *Record {
	result := &emulator.Result{Metrics: map[emulator.Metric]float64{"x": x}}
	return &Record{Arm: arm, Seed: seed, Valid: valid, Result: result}
}

// TestCompareIsPaired checks that what differs between seeds alike in both arms is no difference, that a run that is
// not valid is left out, and that one pair is refused.
func TestCompareIsPaired(t *testing.T) {
	var records []*Record
	for seed, x := range []float64{1, 5, 9, 40} {
		records = append(records,
			recordOf("a", uint64(seed), x, true),
			recordOf("b", uint64(seed), x+1+0.1*float64(seed%2), true))
	}
	records = append(records, recordOf("b", 9, 1e9, true), recordOf("a", 9, 0, false))
	differences, err := Compare(records, "a", "b")
	if err != nil {
		t.Fatal(err)
	}
	index := slices.IndexFunc(differences, func(d Difference) bool { return d.Metric.Key == "x" })
	if index < 0 {
		t.Fatalf("no difference of the metric: %+v", differences)
	}
	d := differences[index]
	interval := d.Interval
	// By hand: differences 1, 1.1, 1, 1.1; t of 3 degrees of freedom 3.182; standard deviation 0.0577.
	if math.Abs(interval.Mean-1.05) > 1e-9 || math.Abs(interval.HalfWidth-0.0919) > 1e-3 || interval.Includes(0) ||
		d.Pairs != 4 {
		t.Errorf("%+v", d)
	}
	if _, err := Compare(records[:2], "a", "b"); err == nil {
		t.Error("one pair makes an interval")
	}
}
