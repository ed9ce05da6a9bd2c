package capacity

import (
	"math"
	"testing"
)

func TestRescaleToTarget(t *testing.T) {
	near := func(got, want float64) bool { return math.Abs(got-want) <= 1e-9 }
	const scaled = 100*0.75 + 500*0.25
	for _, c := range []struct {
		name       string
		rateFactor float64
		value      float64
		interval   Interval
	}{
		{"four times the rate", 4, scaled, Interval{scaled - math.Hypot(7.5, 25), scaled + math.Hypot(15, 50)}},
		{"the target's rate", 1, 500, Interval{400, 700}},
	} {
		t.Run(c.name, func(t *testing.T) {
			quiet := Prediction{100, Interval{90, 120}}
			accelerated := Prediction{500, Interval{400, 700}}
			got := rescaleToTarget(quiet, accelerated, c.rateFactor)
			if got.Value != c.value || !near(got.Interval.Lo, c.interval.Lo) || !near(got.Interval.Hi, c.interval.Hi) {
				t.Errorf("%+v, want %v (%v)", got, c.value, c.interval)
			}
		})
	}
}
