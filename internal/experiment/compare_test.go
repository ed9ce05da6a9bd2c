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

// TestCompareIsPaired checks that variation between seeds that is the same in both arms does not count as a
// difference, that runs that are not valid are left out, and that a single pair is an error.
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
		t.Fatalf("no difference for metric x: %+v", differences)
	}
	d := differences[index]
	interval := d.Interval
	// Computed by hand: differences 1, 1.1, 1, 1.1; standard deviation 0.0577; t = 3.182 for 3 degrees of freedom.
	if math.Abs(interval.Mean-1.05) > 1e-9 || math.Abs(interval.HalfWidth-0.0919) > 1e-3 || interval.Includes(0) ||
		d.Pairs != 4 {
		t.Errorf("Compare() = %+v, want interval 1.05 ± 0.0919 over 4 pairs", d)
	}
	if _, err := Compare(records[:2], "a", "b"); err == nil {
		t.Error("Compare() with one pair returned no error")
	}
}
