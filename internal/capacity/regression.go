package capacity

import (
	"math"
	"sync"

	"gonum.org/v1/gonum/floats"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

const (
	// relativeRounding is the relative difference below which values differ only by rounding.
	relativeRounding = 1e-9
	// collinearCorrelation is the correlation above which two regressors count as collinear.
	collinearCorrelation = 0.999
	// quadraticCollinearCorrelation replaces collinearCorrelation if one of the two regressors is n². It is
	// lower because the number of changes varies at random, and this variation must not raise an alarm.
	quadraticCollinearCorrelation = 0.98
	// lineParameters is the number of parameters of a line: intercept and slope.
	lineParameters = 2
	// aiccFactor is the factor of the number of parameters in Akaike's criterion.
	aiccFactor = 2
)

// regression is a least-squares line over one shape's regressor.
type regression struct {
	shape             Shape
	intercept, slope  float64
	xs                []float64
	meanX             float64
	sumSquaresX       float64 // sum of squared deviations of xs from meanX
	residualDeviation float64
	degreesOfFreedom  float64
	aicc              float64 // corrected Akaike information criterion
}

// fitRegression fits a shape to the points. It returns false if the shape's regressor has the same
// value at all points.
func fitRegression(s Shape, points []Point) (regression, bool) {
	line := regression{shape: s}
	var ys []float64
	for _, p := range points {
		line.xs = append(line.xs, s.regressor(float64(p.Size), p.Changes))
		ys = append(ys, p.Value)
	}
	line.meanX = stat.Mean(line.xs, nil)
	for _, x := range line.xs {
		line.sumSquaresX += (x - line.meanX) * (x - line.meanX)
	}
	parameters := 3.0 // intercept, slope, variance
	switch {
	case s == ShapeFlat:
		parameters = 2
		line.intercept = stat.Mean(ys, nil)
	case line.sumSquaresX <= relativeRounding*line.meanX*line.meanX:
		return line, false
	default:
		line.intercept, line.slope = stat.LinearRegression(line.xs, ys, nil, false)
	}
	line.setResiduals(ys, parameters)
	return line, true
}

// setResiduals computes the residuals' deviation, the degrees of freedom and AICc.
func (line *regression) setResiduals(ys []float64, parameters float64) {
	residualSum := 0.0 // sum of squared residuals
	for i, y := range ys {
		r := y - line.intercept - line.slope*line.xs[i]
		residualSum += r * r
	}
	// Rounding errors of an exact fit must not determine the shape.
	floor := relativeRounding * relativeRounding * floats.Dot(ys, ys)
	if residualSum <= floor {
		residualSum = floor
		line.slope = dropRoundingSlope(line.slope, line.xs, ys)
	}
	n := float64(len(ys))
	line.degreesOfFreedom = n - parameters + 1
	line.residualDeviation = math.Sqrt(residualSum / line.degreesOfFreedom)
	line.aicc = aiccFactor * (parameters + parameters*(parameters+1)/(n-parameters-1))
	if residualSum > 0 {
		line.aicc += n * math.Log(residualSum/n)
	}
}

// dropRoundingSlope returns the slope, or zero if the slope is within the rounding error.
func dropRoundingSlope(slope float64, xs, ys []float64) float64 {
	if math.Abs(slope)*(floats.Max(xs)-floats.Min(xs)) < relativeRounding*floats.Norm(ys, math.Inf(1)) {
		return 0
	}
	return slope
}

// collinearWith reports whether the regressors of the two shapes are so nearly proportional that the points
// can't distinguish the shapes. Only n × changes can be collinear with another shape: with n if the rate of
// changes is the same at every size, and with n² if the rate of changes grows in proportion to the size.
func (line regression) collinearWith(other regression) bool {
	if line.shape == ShapeFlat || other.shape == ShapeFlat {
		return false
	}
	if line.shape != ShapePerChange && other.shape != ShapePerChange {
		return false
	}
	limit := collinearCorrelation
	if line.shape == ShapeQuadratic || other.shape == ShapeQuadratic {
		limit = quadraticCollinearCorrelation
	}
	return math.Abs(stat.Correlation(line.xs, other.xs, nil)) > limit
}

// distinctionThreshold returns the least AICc difference at which two shapes count as distinguished. It is
// the threshold of a 95 % profile-likelihood interval, computed with the F distribution instead of
// chi-squared because there are few points. It is 3.84 with many points, 4.8 with 12 and 6.4 with 6.
func (line regression) distinctionThreshold() float64 {
	n := float64(len(line.xs))
	residualDegrees := n - lineParameters
	t := studentQuantile(residualDegrees)
	return n * math.Log1p(t*t/residualDegrees)
}

// slopeInterval returns the 95 % confidence interval of the slope.
func (line regression) slopeInterval() Interval {
	if line.shape == ShapeFlat {
		return Interval{}
	}
	halfWidth := studentQuantile(line.degreesOfFreedom) * line.residualDeviation / math.Sqrt(line.sumSquaresX)
	return Interval{line.slope - halfWidth, line.slope + halfWidth}
}

// predictMean predicts the mean over a number of runs with n agents.
func (line regression) predictMean(n, changes float64, runs int) Prediction {
	x := line.shape.regressor(n, changes)
	value := line.intercept + line.slope*x
	varianceFactor := 1/float64(runs) + 1/float64(len(line.xs))
	if line.shape != ShapeFlat {
		varianceFactor += (x - line.meanX) * (x - line.meanX) / line.sumSquaresX
	}
	halfWidth := studentQuantile(line.degreesOfFreedom) * line.residualDeviation * math.Sqrt(varianceFactor)
	return Prediction{Value: value, Interval: Interval{value - halfWidth, value + halfWidth}}
}

// quantileCache holds the quantiles computed so far, because gonum finds each by a numerical search.
var quantileCache sync.Map

// studentQuantile returns the 97.5 % quantile of Student's t: the half width of a 95 % interval in
// standard errors.
func studentQuantile(degreesOfFreedom float64) float64 {
	if q, ok := quantileCache.Load(degreesOfFreedom); ok {
		return q.(float64)
	}
	distribution := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: degreesOfFreedom}
	const tails = 2
	q := distribution.Quantile((1 + confidence) / tails)
	quantileCache.Store(degreesOfFreedom, q)
	return q
}
