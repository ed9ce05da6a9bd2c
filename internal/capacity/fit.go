package capacity

import (
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Shape is the functional form of a metric's growth with the number of agents n.
type Shape string

// The shapes, simplest first. ShapeQuadratic raises an alarm and is selected only where it fits
// better than every other shape.
const (
	ShapeFlat      Shape = "flat"
	ShapeLog       Shape = "log n"
	ShapeLinear    Shape = "n"
	ShapePerChange Shape = "n × changes" // acknowledged changes a second
	ShapeQuadratic Shape = "n²"
)

// shapes lists all shapes, simplest first.
var shapes = []Shape{ShapeFlat, ShapeLog, ShapeLinear, ShapePerChange, ShapeQuadratic}

// regressor returns the variable in which the shape is linear.
func (s Shape) regressor(n, changes float64) float64 {
	switch s {
	case ShapeLog:
		return math.Log(n)
	case ShapeLinear:
		return n
	case ShapePerChange:
		return n * changes
	case ShapeQuadratic:
		return n * n
	default: // ShapeFlat has no regressor
		return 0
	}
}

// Point is the value of a metric in one run.
type Point struct {
	Size    int     // agents
	Changes float64 // acknowledged changes a second
	Value   float64
}

const (
	minFitSizes = 3 // with more sizes, the largest is held out
	minFitRuns  = 5
	// aiccTolerance is the AICc difference that rounding can cause; up to it, the simpler shape is kept.
	aiccTolerance = 1e-9
)

// Fit models a metric as a function of the size: least squares with an intercept, for the shape with
// the lowest AICc (Hurvich and Tsai 1989). AICc is used because it corrects for small samples. All
// shapes but flat have the same number of parameters, so among these AICc compares only the residuals.
// Cross-validation by size is not used, because each of its fits would have only two or three sizes left.
//
// With more than three sizes the largest is held out, and its prediction is compared with the
// measured value.
type Fit struct {
	Shape              Shape
	Indistinguishable  []Shape // shapes that fit about as well (see distinctionThreshold)
	Slope              float64 // per unit of the shape's regressor; 0 for flat
	SlopeInterval      Interval
	Sizes              []int // sizes fitted
	Runs               int   // number of runs fitted
	GrowsQuadratically bool  // n² fits better than every other shape

	HeldOutSize int        // 0 with three sizes, as none is held out then
	Measured    float64    // mean at the held-out size
	Predicted   Prediction // prediction of Measured

	best         regression
	alternatives []regression
}

// NewFit fits the points. The error gives the reason why there is no fit.
func NewFit(points []Point) (*Fit, error) {
	sizes, err := distinctSizes(points)
	if err != nil {
		return nil, err
	}
	if len(sizes) < minFitSizes {
		return nil, fmt.Errorf("%d of %d sizes", len(sizes), minFitSizes)
	}
	f := &Fit{Sizes: sizes}
	if len(sizes) > minFitSizes {
		f.Sizes = sizes[:len(sizes)-1]
		f.HeldOutSize = sizes[len(sizes)-1]
	}
	var fitted, heldOut []Point
	for _, p := range points {
		if p.Size == f.HeldOutSize {
			heldOut = append(heldOut, p)
		} else {
			fitted = append(fitted, p)
		}
	}
	f.Runs = len(fitted)
	if f.Runs < minFitRuns {
		return nil, fmt.Errorf("%d of %d runs", f.Runs, minFitRuns)
	}
	f.selectShape(fitted)
	if len(heldOut) > 0 {
		f.validate(heldOut)
	}
	return f, nil
}

// distinctSizes returns the distinct sizes of the points in ascending order, or an error for a point
// with an invalid value.
func distinctSizes(points []Point) ([]int, error) {
	var sizes []int
	for _, p := range points {
		if invalidValue(p.Value) || invalidValue(p.Changes) {
			return nil, fmt.Errorf("a run's value is %v", p.Value)
		}
		sizes = append(sizes, p.Size)
	}
	slices.Sort(sizes)
	return slices.Compact(sizes), nil
}

// selectShape selects the shape with the lowest AICc. ShapeQuadratic is selected only if it can be
// distinguished from the best of the others.
func (f *Fit) selectShape(points []Point) {
	linear, varies := fitRegression(ShapeLinear, points)
	candidates := candidateRegressions(points)
	if varies && linear.slopeInterval().Lo > 0 {
		// The growth is significant, so flat is not a candidate: with few points, AICc may prefer flat
		// although the slope is clear.
		candidates = candidates[1:]
	}
	best := leastAICc(candidates, func(line regression) bool { return line.shape != ShapeQuadratic })
	if all := leastAICc(candidates, nil); all.shape == ShapeQuadratic && best.aicc > all.aicc+all.distinctionThreshold() {
		best = all
		f.GrowsQuadratically = true
	}
	f.best = best
	f.Shape = best.shape
	f.Slope = best.slope
	f.SlopeInterval = best.slopeInterval()
	for _, line := range candidates {
		if line.shape != best.shape && math.Abs(line.aicc-best.aicc) < best.distinctionThreshold() {
			f.Indistinguishable = append(f.Indistinguishable, line.shape)
			f.alternatives = append(f.alternatives, line)
		}
	}
	// A slope that is not significant may still be nonzero, so flat's interval includes that of n.
	if best.shape == ShapeFlat && linear.sumSquaresX > 0 && !slices.Contains(f.Indistinguishable, ShapeLinear) {
		f.alternatives = append(f.alternatives, linear)
	}
}

// candidateRegressions returns the regressions to select from, flat first. It omits a shape with a negative
// slope, because flat is the safer assumption then. It also omits a shape that is collinear with a simpler
// one: for example, n² is collinear with n × changes if the rate of changes grows with n.
func candidateRegressions(points []Point) []regression {
	var candidates []regression
	for _, s := range shapes {
		line, ok := fitRegression(s, points)
		if !ok || line.slope < 0 && s != ShapeFlat {
			continue
		}
		if !slices.ContainsFunc(candidates, line.collinearWith) {
			candidates = append(candidates, line)
		}
	}
	return candidates
}

// leastAICc returns the regression with the lowest AICc among those that allowed accepts, or the first of
// several within aiccTolerance. If allowed is nil, all are accepted.
func leastAICc(candidates []regression, allowed func(regression) bool) regression {
	best := regression{aicc: math.Inf(1)}
	for _, line := range candidates {
		if (allowed == nil || allowed(line)) && line.aicc < best.aicc-aiccTolerance {
			best = line
		}
	}
	return best
}

// validate compares the fit with the runs of the held-out size.
func (f *Fit) validate(heldOut []Point) {
	var values, changes []float64
	for _, p := range heldOut {
		values = append(values, p.Value)
		changes = append(changes, p.Changes)
	}
	f.Measured = stat.Mean(values, nil)
	f.Predicted = f.predictMean(float64(f.HeldOutSize), stat.Mean(changes, nil), len(heldOut))
}

// RelativeError returns the value measured at the held-out size divided by the predicted one, minus
// one. It returns false if no size was held out or the prediction is zero.
func (f *Fit) RelativeError() (float64, bool) {
	if f.HeldOutSize == 0 || f.Predicted.Value <= 0 {
		return 0, false
	}
	return f.Measured/f.Predicted.Value - 1, true
}

// Predict predicts the metric of one run with n agents and the given number of changes per second. The
// interval is the prediction interval by Student's t. It is extended to include the intervals of the
// shapes that could not be distinguished, and clamped at zero.
func (f *Fit) Predict(n, changes float64) Prediction { return f.predictMean(n, changes, 1) }

// predictMean is like Predict for the mean over a number of runs.
func (f *Fit) predictMean(n, changes float64, runs int) Prediction {
	prediction := f.best.predictMean(n, changes, runs)
	interval := prediction.Interval
	for _, line := range f.alternatives {
		interval = interval.union(line.predictMean(n, changes, runs).Interval)
	}
	return Prediction{Value: math.Max(prediction.Value, 0), Interval: interval.nonNegative()}
}

// outsideInterval reports whether the mean at the held-out size lies outside the prediction interval
// by more than a rounding error.
func (f *Fit) outsideInterval() bool {
	return f.HeldOutSize > 0 && !f.Predicted.Interval.Contains(f.Measured) &&
		math.Abs(f.Measured-f.Predicted.Value) > relativeRounding*f.Measured
}

// maxReliableError is the largest relative error at the held-out size for which the prediction at the
// target always counts as reliable.
const maxReliableError = 0.1

// unreliable reports whether the held-out size contradicts the fit: its mean lies outside the
// prediction interval and differs from the prediction by more than maxReliableError.
func (f *Fit) unreliable() bool {
	return f.outsideInterval() && math.Abs(f.Measured-f.Predicted.Value) > maxReliableError*f.Predicted.Value
}
