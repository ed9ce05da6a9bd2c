package capacity

import (
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Ratio is the metric of hollow agents divided by that of real ones in the same runs: the geometric
// mean with its 95 % confidence interval (Student's t on the logarithms).
type Ratio struct {
	Mean     float64
	Interval Interval
	Runs     int
	Stable   bool // the means of any two sizes differ by at most the factor maxUsableRatio
}

// The hollow agents' metric is used uncorrected if its ratio to the real agents' metric lies between these bounds.
const (
	minUsableRatio = 0.8
	maxUsableRatio = 1.25
)

// minRatioRuns is the least number of runs for which a ratio has a confidence interval.
const minRatioRuns = 2

// hollowRatio returns the ratio of hollow to real agents for a metric. It returns false if fewer than
// minRatioRuns runs have values above zero for both.
func hollowRatio(runs []*Run, m Metric) (Ratio, bool) {
	var logarithms []float64
	bySize := map[int][]float64{}
	for _, r := range runs {
		hollowValue, hasHollow := m.value(r, RoleHollow)
		realValue, hasReal := m.value(r, RoleReal)
		if !hasHollow || !hasReal || hollowValue <= 0 || realValue <= 0 {
			continue
		}
		logarithm := math.Log(hollowValue / realValue)
		logarithms = append(logarithms, logarithm)
		bySize[r.Size] = append(bySize[r.Size], logarithm)
	}
	if len(logarithms) < minRatioRuns {
		return Ratio{}, false
	}
	mean, deviation := stat.MeanStdDev(logarithms, nil)
	n := float64(len(logarithms))
	halfWidth := studentQuantile(n-1) * deviation / math.Sqrt(n)
	return Ratio{
		Mean:     math.Exp(mean),
		Interval: Interval{math.Exp(mean - halfWidth), math.Exp(mean + halfWidth)},
		Runs:     len(logarithms),
		Stable:   spreadOfMeans(bySize) <= math.Log(maxUsableRatio),
	}, true
}

// spreadOfMeans returns the difference between the largest and the smallest mean of the groups.
func spreadOfMeans(groups map[int][]float64) float64 {
	smallest := math.Inf(1)
	largest := math.Inf(-1)
	for _, values := range groups {
		mean := stat.Mean(values, nil)
		smallest = math.Min(smallest, mean)
		largest = math.Max(largest, mean)
	}
	return largest - smallest
}

// Source describes which agents a metric is taken from, and how.
type Source struct {
	Role        Role
	Corrected   bool   // the hollow agents' values are divided by Ratio
	Description string // for the tables
	Ratio       Ratio
	HasRatio    bool
}

// selectSource selects the agents from which a metric of the runs is taken. If both kinds were measured and
// have a ratio, it selects
//   - the hollow agents, if the ratio of hollow to real is close to one;
//   - the hollow agents divided by the ratio, if the ratio is stable over the sizes and the ends of its
//     interval differ by at most the factor maxUsableRatio;
//   - the real agents otherwise.
//
// Without a ratio it selects the real agents, or the hollow ones if the real ones were not measured or all
// values of both are 0.
func selectSource(runs []*Run, m Metric) Source {
	ratio, hasRatio := hollowRatio(runs, m)
	s := Source{Role: RoleHollow, Ratio: ratio, HasRatio: hasRatio}
	realPoints := collectPoints(runs, func(r *Run) (float64, bool) { return m.value(r, RoleReal) })
	hollowPoints := collectPoints(runs, func(r *Run) (float64, bool) { return m.value(r, RoleHollow) })
	switch {
	case len(hollowPoints) == 0 && len(realPoints) == 0:
		s.Description = notMeasured
	case len(hollowPoints) == 0:
		s.Role = RoleReal
		s.Description = "real; hollow not measured"
	case !hasRatio && len(realPoints) > 0 && allZero(hollowPoints) && allZero(realPoints):
		s.Description = "hollow; both 0"
	case !hasRatio && len(realPoints) > 0:
		s.Role = RoleReal
		s.Description = "real; no ratio to hollow"
	case !hasRatio:
		s.Description = "hollow, not compared with real"
	case ratio.Mean >= minUsableRatio && ratio.Mean <= maxUsableRatio:
		s.Description = "hollow"
	case ratio.Stable && ratio.Interval.Hi/ratio.Interval.Lo <= maxUsableRatio:
		s.Corrected = true
		s.Description = fmt.Sprintf("hollow ÷ %s", formatNumber(ratio.Mean))
	default:
		s.Role = RoleReal
		s.Description = "real; hollow not used"
	}
	return s
}

// allZero reports whether all values are 0.
func allZero(points []Point) bool {
	return !slices.ContainsFunc(points, func(p Point) bool { return p.Value != 0 })
}

// collectPoints returns the points of the source's agents, divided by the ratio if Corrected is set.
func (s Source) collectPoints(runs []*Run, m Metric) []Point {
	return collectPoints(runs, func(r *Run) (float64, bool) {
		value, ok := m.value(r, s.Role)
		if s.Corrected {
			value /= s.Ratio.Mean
		}
		return value, ok
	})
}

// widen adds the uncertainty of the ratio to a prediction's interval if the points were divided by the
// ratio.
func (s Source) widen(prediction Prediction) Prediction {
	if !s.Corrected {
		return prediction
	}
	value, interval := prediction.Value, prediction.Interval
	relativeBelow := 1 - s.Ratio.Mean/s.Ratio.Interval.Hi
	relativeAbove := s.Ratio.Mean/s.Ratio.Interval.Lo - 1
	lo := value - math.Hypot(value-interval.Lo, value*relativeBelow)
	hi := value + math.Hypot(interval.Hi-value, value*relativeAbove)
	return Prediction{Value: value, Interval: Interval{math.Max(lo, 0), hi}}
}
