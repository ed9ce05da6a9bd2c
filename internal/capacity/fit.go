package capacity

import (
	"fmt"
	"math"
	"slices"
	"sync"

	"gonum.org/v1/gonum/floats"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Shape is how a figure grows with the number of agents n.
type Shape string

// The shapes, from the plainest; Square is an alarm and never chosen for being as good as another.
const (
	ShapeFlat      Shape = "flat"
	ShapeLog       Shape = "log n"
	ShapeLinear    Shape = "n"
	ShapePerChange Shape = "n × changes" // acknowledged a second
	ShapeQuadratic Shape = "n²"
)

// x is what a shape's slope is by.
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
	}
	return 0
}

// Point is one run's figure.
type Point struct {
	Size    int
	Changes float64 // acknowledged a second
	Value   float64
}

// Interval is one of 95 %.
type Interval struct{ Lo, Hi float64 }

// Holds tells whether a value lies in it.
func (i Interval) Contains(v float64) bool { return v >= i.Lo && v <= i.Hi }

func (i Interval) union(o Interval) Interval {
	return Interval{math.Min(i.Lo, o.Lo), math.Max(i.Hi, o.Hi)}
}

// Fit is a figure over sizes: least squares with an intercept, by the shape with the least AICc
// (Hurvich and Tsai 1989). AICc because its correction is made for few points, and as all shapes
// but flat have as many parameters it decides among these by the residuals alone; the error of
// leaving out a size would rest on the two or three that then are left.
type Fit struct {
	Shape              Shape
	Indistinguishable  []Shape // others that are not told apart at these sizes (see apart)
	Slope              float64 // by what the shape names; 0 for flat
	SlopeInterval      Interval
	Sizes              []int // fitted
	Runs               int   // fitted
	GrowsQuadratically bool  // n² and told apart from all others
	HeldOutSize        int   // the largest size, which was not fitted; 0 with three sizes, where none is left out
	Measured           float64
	Predicted          float64 // of the mean there
	PredictedInterval  Interval

	best         regression
	alternatives []regression
}

// NewFit fits points; the error says why there is no fit.
func NewFit(points []Point) (*Fit, error) {
	var sizes []int
	for _, p := range points {
		if invalidValue(p.Value) || invalidValue(p.Changes) {
			return nil, fmt.Errorf("a run's figure is %v", p.Value)
		}
		sizes = append(sizes, p.Size)
	}
	slices.Sort(sizes)
	sizes = slices.Compact(sizes)
	if len(sizes) < 3 {
		return nil, fmt.Errorf("%d of 3 sizes", len(sizes))
	}
	f := &Fit{Sizes: sizes}
	var in, out []Point
	for _, p := range points {
		if len(sizes) > 3 && p.Size == sizes[len(sizes)-1] {
			out = append(out, p)
		} else {
			in = append(in, p)
		}
	}
	if f.Runs = len(in); f.Runs < 5 {
		return nil, fmt.Errorf("%d of 5 runs", f.Runs)
	}
	f.selectShape(in)
	if len(out) > 0 {
		f.Sizes, f.HeldOutSize = sizes[:len(sizes)-1], out[0].Size
		f.validate(out)
	}
	return f, nil
}

// choose takes the shape. One that falls is none: what shrinks with the size is taken as flat,
// which is above it. A shape that can't be told from a plainer one by its x, such as n² where
// the changes grow with n, is left out. Flat is, too, where the interval of n's slope lies above
// zero: with few points AICc asks for much more before it grants a slope.
func (f *Fit) selectShape(in []Point) {
	var lines []regression
	for _, s := range []Shape{ShapeFlat, ShapeLog, ShapeLinear, ShapePerChange, ShapeQuadratic} {
		l, ok := fitRegression(s, in)
		if ok && (l.slope >= 0 || s == ShapeFlat) && !slices.ContainsFunc(lines, l.collinearWith) {
			lines = append(lines, l)
		}
	}
	n, grows := fitRegression(ShapeLinear, in)
	if grows = grows && n.slopeInterval().Lo > 0; grows {
		lines = lines[1:]
	}
	least := func(square bool) (regression, bool) {
		best, found := regression{aicc: math.Inf(1)}, false
		for _, l := range lines {
			if (l.shape != ShapeQuadratic || square) && l.aicc < best.aicc-1e-9 {
				best, found = l, true
			}
		}
		return best, found
	}
	best, _ := least(false)
	if any, _ := least(true); any.shape == ShapeQuadratic && best.aicc > any.aicc+any.distinctionThreshold() {
		best, f.GrowsQuadratically = any, true
	}
	f.best, f.Shape, f.Slope, f.SlopeInterval = best, best.shape, best.slope, best.slopeInterval()
	for _, l := range lines {
		if l.shape != best.shape && math.Abs(l.aicc-best.aicc) < best.distinctionThreshold() {
			f.Indistinguishable, f.alternatives = append(f.Indistinguishable, l.shape), append(f.alternatives, l)
		}
	}
	// That no slope was seen does not say that there is none: flat's interval is that of n, too.
	if best.shape == ShapeFlat && n.sumSquaresX > 0 && !slices.Contains(f.Indistinguishable, ShapeLinear) {
		f.alternatives = append(f.alternatives, n)
	}
}

// predict holds the fit to the runs of the largest size.
func (f *Fit) validate(out []Point) {
	var values, changes []float64
	for _, p := range out {
		values, changes = append(values, p.Value), append(changes, p.Changes)
	}
	f.Measured = stat.Mean(values, nil)
	f.Predicted, f.PredictedInterval = f.predictMean(float64(f.HeldOutSize), stat.Mean(changes, nil), len(out))
}

// Miss is what was measured at the largest size over what was predicted, less one.
func (f *Fit) RelativeError() (float64, bool) {
	if f.HeldOutSize == 0 || f.Predicted <= 0 {
		return 0, false
	}
	return f.Measured/f.Predicted - 1, true
}

// At predicts one run's figure at a size and rate of changes. The interval is the prediction's, by
// Student's t, and holds those of the shapes that are not told apart; none of it is below zero.
func (f *Fit) Predict(n, changes float64) (float64, Interval) { return f.predictMean(n, changes, 1) }

func (f *Fit) predictMean(n, changes float64, runs int) (float64, Interval) {
	v, in := f.best.predictMean(n, changes, runs)
	for _, l := range f.alternatives {
		_, other := l.predictMean(n, changes, runs)
		in = in.union(other)
	}
	return math.Max(v, 0), Interval{math.Max(in.Lo, 0), math.Max(in.Hi, 0)}
}

// line is a least-squares line over one shape's x.
type regression struct {
	shape              Shape
	intercept, slope   float64
	xs                 []float64
	meanX, sumSquaresX float64 // of xs, and the sum of squares about it
	residualDeviation  float64 // of the residuals
	degreesOfFreedom   float64 // degrees of freedom
	aicc               float64
}

// fitLine is not ok where the shape's x does not differ between points.
func fitRegression(s Shape, in []Point) (regression, bool) {
	l := regression{shape: s}
	var ys []float64
	for _, p := range in {
		l.xs, ys = append(l.xs, s.regressor(float64(p.Size), p.Changes)), append(ys, p.Value)
	}
	n, params := float64(len(ys)), 3.0 // intercept, slope, variance
	l.meanX = stat.Mean(l.xs, nil)
	for _, x := range l.xs {
		l.sumSquaresX += (x - l.meanX) * (x - l.meanX)
	}
	if s == ShapeFlat {
		params, l.intercept = 2, stat.Mean(ys, nil)
	} else if l.sumSquaresX <= 1e-9*l.meanX*l.meanX {
		return l, false
	} else {
		l.intercept, l.slope = stat.LinearRegression(l.xs, ys, nil, false)
	}
	rss := 0.0
	for i, y := range ys {
		r := y - l.intercept - l.slope*l.xs[i]
		rss += r * r
	}
	// What rounding leaves of exact figures decides nothing.
	if floor := 1e-18 * floats.Dot(ys, ys); rss <= floor {
		rss, l.slope = floor, dropRoundingSlope(l.slope, l.xs, ys)
	}
	l.degreesOfFreedom = n - params + 1
	l.residualDeviation = math.Sqrt(rss / l.degreesOfFreedom)
	l.aicc = 2*params + 2*params*(params+1)/(n-params-1)
	if rss > 0 {
		l.aicc += n * math.Log(rss/n)
	}
	return l, true
}

// tiny is a slope without what rounding makes of none.
func dropRoundingSlope(slope float64, xs, ys []float64) float64 {
	if math.Abs(slope)*(floats.Max(xs)-floats.Min(xs)) < 1e-9*floats.Norm(ys, math.Inf(1)) {
		return 0
	}
	return slope
}

// like tells whether another's x is in effect a multiple of this one's, so that the points can't
// tell them apart: n × changes and n where the changes are as many at each size, or n² where they
// grow with it; there the changes are drawn, and what they vary by is no ground for an alarm.
func (l regression) collinearWith(o regression) bool {
	if l.shape == ShapeFlat || o.shape == ShapeFlat || (l.shape != ShapePerChange && o.shape != ShapePerChange) {
		return false
	}
	alike := 0.999
	if l.shape == ShapeQuadratic || o.shape == ShapeQuadratic {
		alike = 0.98
	}
	return math.Abs(stat.Correlation(l.xs, o.xs, nil)) > alike
}

func (l regression) tQuantile() float64 { return studentQuantile(l.degreesOfFreedom) }

// quantiles are those already asked for: gonum searches for each anew.
var quantileCache sync.Map

// student is the 97.5 % quantile of Student's t.
func studentQuantile(free float64) float64 {
	if q, ok := quantileCache.Load(free); ok {
		return q.(float64)
	}
	q := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: free}.Quantile(0.975)
	quantileCache.Store(free, q)
	return q
}

// apart is the difference of AICc from which two shapes are told apart: that of an interval of 95 %
// by the profile of the likelihood, with F in place of chi-squared as the points are few. It is 3.84
// with many points, 4.8 with 12, 6.4 with 6; with Burnham and Anderson's 2 and 4 predictions of laws that
// noise hides held 0.90 (TestSlopesOfKnownLaws, 12 and 6 runs).
func (l regression) distinctionThreshold() float64 {
	n := float64(len(l.xs))
	t := studentQuantile(n - 2)
	return n * math.Log1p(t*t/(n-2))
}

func (l regression) slopeInterval() Interval {
	if l.shape == ShapeFlat {
		return Interval{}
	}
	half := l.tQuantile() * l.residualDeviation / math.Sqrt(l.sumSquaresX)
	return Interval{l.slope - half, l.slope + half}
}

// at predicts the mean of some runs.
func (l regression) predictMean(n, changes float64, runs int) (float64, Interval) {
	x := l.shape.regressor(n, changes)
	v, spread := l.intercept+l.slope*x, 1/float64(runs)+1/float64(len(l.xs))
	if l.shape != ShapeFlat {
		spread += (x - l.meanX) * (x - l.meanX) / l.sumSquaresX
	}
	half := l.tQuantile() * l.residualDeviation * math.Sqrt(spread)
	return v, Interval{v - half, v + half}
}
