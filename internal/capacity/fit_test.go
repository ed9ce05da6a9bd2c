package capacity

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// samplePoints draws points from a known law: a line over the shape's regressor with normal noise, and
// no value below zero.
func samplePoints(rng *rand.Rand, s Shape, intercept, slope, noise float64, repeats int, sizes ...int) []Point {
	var points []Point
	for _, n := range sizes {
		for range repeats {
			// As in a plan, the changes grow with the size and vary by run.
			p := Point{Size: n, Changes: float64(n) * (0.9 + 0.2*rng.Float64())}
			if s != ShapePerChange {
				p.Changes = 0
			}
			p.Value = math.Max(intercept+slope*s.regressor(float64(n), p.Changes)+noise*rng.NormFloat64(), 0)
			points = append(points, p)
		}
	}
	return points
}

// knownLaw is a law from which points are drawn, with the fractions of draws that the test requires:
// minFound is the least fraction in which the fit finds the shape. minSlopeCoverage and minTargetCoverage
// are the least fractions in which the intervals contain the slope and the target's value.
type knownLaw struct {
	shape                                         Shape
	repeats                                       int
	intercept, slope, noise                       float64
	minFound, minSlopeCoverage, minTargetCoverage float64
}

// samplePoints draws points from the law at the given sizes.
func (law knownLaw) samplePoints(rng *rand.Rand, repeats int, sizes ...int) []Point {
	return samplePoints(rng, law.shape, law.intercept, law.slope, law.noise, repeats, sizes...)
}

// coverage counts the draws in which the shape was found, and the draws that raised an alarm. It also counts
// the draws in which each interval contained the true value: the slope (only where the shape was found), the
// target's value and the largest size's mean.
type coverage struct{ found, slope, target, heldOut, alarms float64 }

// coverageDraws is the number of draws from each law.
const coverageDraws = 1000

// TestFitCoverageOfKnownLaws checks on points drawn from known laws that the shape is found, and that
// the intervals contain the true slope, the largest size's mean and the target's value, in at least the
// required fraction of draws.
func TestFitCoverageOfKnownLaws(t *testing.T) {
	for _, law := range []knownLaw{
		// shape, repeats, intercept, slope, noise, minFound, minSlopeCoverage, minTargetCoverage
		{ShapeFlat, 4, 5, 0, 0.2, 0.75, 0, 0.93},
		{ShapeLog, 4, 1, 3, 0.1, 0.95, 0.92, 0.93},
		{ShapeLinear, 4, 10, 0.5, 2, 0.95, 0.92, 0.93},
		{ShapePerChange, 4, 10, 0.01, 5, 0.95, 0.92, 0.93},
		{ShapeQuadratic, 4, 10, 0.01, 5, 0.95, 0.92, 0.93},
		// Too noisy to find the shape: the prediction intervals must still cover the value.
		{ShapeLinear, 4, 100, 0.5, 40, 0, 0, 0.93},
		{ShapeLog, 4, 10, 3, 2, 0, 0, 0.93},
		{ShapeLinear, 4, 100, 0.1, 20, 0, 0, 0.93},
		// Two runs per size.
		{ShapeFlat, 2, 5, 0, 0.2, 0.75, 0, 0.93},
		{ShapeLinear, 2, 10, 0.5, 2, 0.95, 0.92, 0.93},
		{ShapeLinear, 2, 100, 0.5, 20, 0, 0, 0.93},
		{ShapeQuadratic, 2, 10, 0.01, 5, 0.95, 0.92, 0.93},
	} {
		t.Run(fmt.Sprintf("%s noise %v runs %d", law.shape, law.noise, law.repeats), func(t *testing.T) {
			checkCoverage(t, law, measureCoverage(t, law))
		})
	}
}

// measureCoverage fits coverageDraws draws from a law and counts the results.
func measureCoverage(t *testing.T, law knownLaw) (c coverage) {
	t.Helper()
	rng := rand.New(rand.NewPCG(32, 1))
	for range coverageDraws {
		f, err := NewFit(law.samplePoints(rng, law.repeats, 50, 100, 200, 400))
		if err != nil {
			t.Fatal(err)
		}
		if f.HeldOutSize != 400 || len(f.Sizes) != 3 || f.Runs != 3*law.repeats {
			t.Fatalf("held out %d, fitted %d runs at %v", f.HeldOutSize, f.Runs, f.Sizes)
		}
		if f.GrowsQuadratically {
			c.alarms++
		}
		next := law.samplePoints(rng, 1, 1500)[0]
		if f.Predict(1500, next.Changes).Interval.Contains(next.Value) {
			c.target++
		}
		if f.Predicted.Interval.Contains(f.Measured) {
			c.heldOut++
		}
		if f.Shape == law.shape {
			c.found++
			if f.SlopeInterval.Contains(law.slope) {
				c.slope++
			}
		}
	}
	return c
}

// checkCoverage compares the counts with the rates that the law requires.
func checkCoverage(t *testing.T, law knownLaw, c coverage) {
	t.Helper()
	t.Logf("shape found in %.3f of the draws, slope covered in %.3f of these, target covered in %.3f,"+
		" held-out size covered in %.3f, alarm in %.3f",
		c.found/coverageDraws, c.slope/c.found, c.target/coverageDraws, c.heldOut/coverageDraws, c.alarms/coverageDraws)
	if c.found/coverageDraws < law.minFound {
		t.Errorf("shape found in %.3f of the draws, want %.3f", c.found/coverageDraws, law.minFound)
	}
	if rate := c.slope / c.found; law.minSlopeCoverage > 0 && (rate < law.minSlopeCoverage || rate > 0.98) {
		t.Errorf("slope covered in %.3f of the draws that found the shape, want 0.95", rate)
	}
	if c.target/coverageDraws < law.minTargetCoverage || c.heldOut/coverageDraws < law.minTargetCoverage {
		t.Errorf("prediction intervals cover %.3f at the target and %.3f at the held-out size, want %.3f",
			c.target/coverageDraws, c.heldOut/coverageDraws, law.minTargetCoverage)
	}
	quadratic := law.shape == ShapeQuadratic
	if rate := c.alarms / coverageDraws; quadratic && rate < 0.95 || !quadratic && rate > 0.05 {
		t.Errorf("alarm in %.3f of the draws", rate)
	}
}

func TestFitOfExactLaws(t *testing.T) {
	for _, s := range []Shape{ShapeFlat, ShapeLog, ShapeLinear, ShapeQuadratic} {
		rng := rand.New(rand.NewPCG(1, 1))
		f, err := NewFit(samplePoints(rng, s, 3, 0.25, 0, 3, 50, 100, 200, 400))
		if err != nil {
			t.Fatal(err)
		}
		if f.Shape != s || f.GrowsQuadratically != (s == ShapeQuadratic) {
			t.Errorf("exact %s: found %s, alarm %v", s, f.Shape, f.GrowsQuadratically)
		}
		if relativeError, ok := f.RelativeError(); !ok || math.Abs(relativeError) > 1e-6 {
			t.Errorf("exact %s: relative error %v (%v)", s, relativeError, ok)
		}
		if want := 3 + 0.25*s.regressor(1500, 0); s != ShapeFlat {
			if v := f.Predict(1500, 0).Value; math.Abs(v/want-1) > 1e-6 {
				t.Errorf("exact %s: %v at 1500, want %v", s, v, want)
			}
		}
	}
	zeroFit, err := NewFit(samplePoints(rand.New(rand.NewPCG(1, 1)), ShapeFlat, 0, 0, 0, 3, 50, 100, 200, 400))
	if err != nil || zeroFit.Shape != ShapeFlat {
		t.Errorf("all values 0: %+v, %v", zeroFit, err)
	}
	if interval := zeroFit.Predict(1500, 0).Interval; interval != (Interval{}) {
		t.Errorf("all values 0: %v at 1500", interval)
	}
}

// TestCollinearShapesRaiseNoAlarm checks that the simpler of n × changes and n² is selected where a
// plan's changes grow with the size, which makes the two collinear.
func TestCollinearShapesRaiseNoAlarm(t *testing.T) {
	var points []Point
	for _, n := range []int{50, 100, 200, 400} {
		for r := range 3 {
			changes := float64(n) / 100 * (1 + 0.05*float64(r-1)) // varies by run
			points = append(points, Point{Size: n, Changes: changes, Value: 1 + float64(n*n)/1000 + float64(r%2)/10})
		}
	}
	f, err := NewFit(points)
	if err != nil || f.Shape != ShapePerChange || f.GrowsQuadratically ||
		slices.Contains(f.Indistinguishable, ShapeQuadratic) {
		t.Errorf("%+v, %v", f, err)
	}
}

// TestFallingMetricIsFlat checks that a metric that falls with the size is not extrapolated downwards.
func TestFallingMetricIsFlat(t *testing.T) {
	f, err := NewFit(samplePoints(rand.New(rand.NewPCG(2, 2)), ShapeLinear, 100, -0.2, 1, 3, 50, 100, 200, 400))
	if err != nil || f.Shape != ShapeFlat {
		t.Fatalf("%+v, %v", f, err)
	}
	if p := f.Predict(1500, 0); p.Value < 60 || p.Interval.Lo < 0 || !p.Interval.Contains(p.Value) {
		t.Errorf("%+v at 1500", p)
	}
}

func TestNewFitErrors(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 3))
	for _, c := range []struct {
		points []Point
		want   string
	}{
		{nil, "0 of 3 sizes"},
		{samplePoints(rng, ShapeFlat, 1, 0, 1, 5, 50, 100), "2 of 3 sizes"},
		{samplePoints(rng, ShapeFlat, 1, 0, 1, 1, 50, 100, 200, 400), "3 of 5 runs"},
		{[]Point{{50, 0, math.NaN()}}, "NaN"},
	} {
		if f, err := NewFit(c.points); err == nil || f != nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%d points: %v, %v; want %q", len(c.points), f, err, c.want)
		}
	}
	f, err := NewFit(samplePoints(rng, ShapeLinear, 1, 1, 0.1, 2, 50, 100, 200))
	if err != nil || f.HeldOutSize != 0 || len(f.Sizes) != 3 {
		t.Errorf("three sizes: %+v, %v; want no size held out", f, err)
	}
}

// TestFitIsFinite checks for arbitrary points that all results of the fit are finite, and that the
// prediction interval contains the predicted value.
func TestFitIsFinite(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		points := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Point {
			value := rapid.OneOf(rapid.Just(0.0), rapid.Just(7.0), rapid.Float64Range(0, 1e12))
			return Point{
				Size:    rapid.SampledFrom([]int{1, 2, 50, 100, 200, 400}).Draw(t, "size"),
				Changes: rapid.SampledFrom([]float64{0, 0.1, 5}).Draw(t, "changes"),
				Value:   value.Draw(t, "value"),
			}
		}), 0, 20).Draw(t, "points")
		f, err := NewFit(points)
		if err != nil {
			return
		}
		p := f.Predict(1500, 0.06)
		relativeError, _ := f.RelativeError()
		for _, x := range []float64{
			f.Slope, f.SlopeInterval.Lo, f.SlopeInterval.Hi, p.Value, p.Interval.Lo, p.Interval.Hi,
			f.Measured, f.Predicted.Value, f.Predicted.Interval.Lo, f.Predicted.Interval.Hi, relativeError,
		} {
			if math.IsNaN(x) || math.IsInf(x, 0) {
				t.Fatalf("%+v, %+v at 1500", f, p)
			}
		}
		if !p.Interval.Contains(p.Value) || p.Value < 0 || p.Interval.Lo < 0 {
			t.Fatalf("%v is outside %v", p.Value, p.Interval)
		}
	})
}

// TestSignificantGrowthIsNotFlat checks that points with a significant slope over n are never fitted as
// flat, even if there are few.
func TestSignificantGrowthIsNotFlat(t *testing.T) {
	rng := rand.New(rand.NewPCG(4, 4))
	significant := 0
	for range 500 {
		points := samplePoints(rng, ShapeLinear, 100, 0.5, 30, 2, 50, 100, 200)
		line, _ := fitRegression(ShapeLinear, points)
		if line.slopeInterval().Lo <= 0 {
			continue
		}
		significant++
		if f, err := NewFit(points); err != nil || f.Shape == ShapeFlat || slices.Contains(f.Indistinguishable, ShapeFlat) {
			t.Fatalf("%v, slope %v: %+v, %v", points, line.slopeInterval(), f, err)
		}
	}
	if significant < 50 {
		t.Errorf("%d draws have a significant slope", significant)
	}
}
