package experiment

import (
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// minPairs is the minimum number of pairs for a confidence interval.
const minPairs = 2

// Interval is the mean of samples and the half width of its 95 % confidence interval (Student's t).
type Interval struct{ Mean, HalfWidth float64 }

// Includes reports whether the interval includes a value.
func (i Interval) Includes(value float64) bool { return math.Abs(i.Mean-value) <= i.HalfWidth }

// Difference is the paired difference of a metric between an arm and a base arm, over runs with the same seeds.
type Difference struct {
	Metric    Metric
	Base, Arm float64  // means
	Interval  Interval // of the arm's value minus the base arm's
	Pairs     int
}

// Compare returns the differences of all metrics between two arms over the seeds for which both have a valid run. If
// an arm has several valid runs of a seed, the last one is used.
func Compare(records []*Record, base, arm string) ([]Difference, error) {
	baseRuns := lastBySeed(validOf(records, base))
	armRuns := lastBySeed(validOf(records, arm))
	var seeds []uint64
	for seed := range baseRuns {
		if armRuns[seed] != nil {
			seeds = append(seeds, seed)
		}
	}
	if len(seeds) < minPairs {
		return nil, fmt.Errorf("arms %q and %q have valid runs on %d common seeds; at least %d are needed",
			base, arm, len(seeds), minPairs)
	}
	slices.Sort(seeds)
	var differences []Difference
	for _, metric := range metricsIn([]*Record{baseRuns[seeds[0]]}) {
		differences = append(differences, difference(metric, seeds, baseRuns, armRuns))
	}
	return differences, nil
}

// difference returns the difference in a metric over the seeds.
func difference(metric Metric, seeds []uint64, baseRuns, armRuns map[uint64]*Record) Difference {
	var baseValues, armValues, pairDifferences []float64
	for _, seed := range seeds {
		baseValue := baseRuns[seed].Metrics()[metric.Key]
		armValue := armRuns[seed].Metrics()[metric.Key]
		baseValues = append(baseValues, baseValue)
		armValues = append(armValues, armValue)
		pairDifferences = append(pairDifferences, armValue-baseValue)
	}
	return Difference{
		Metric:   metric,
		Base:     stat.Mean(baseValues, nil),
		Arm:      stat.Mean(armValues, nil),
		Interval: confidenceInterval(pairDifferences),
		Pairs:    len(seeds),
	}
}

// lastBySeed returns the last record of each seed, by seed.
func lastBySeed(records []*Record) map[uint64]*Record {
	last := map[uint64]*Record{}
	for _, record := range records {
		last[record.Seed] = record
	}
	return last
}

// confidenceInterval returns the mean of the samples with its 95 % confidence interval.
func confidenceInterval(samples []float64) Interval {
	const quantile = 0.975 // two-sided
	mean, deviation := stat.MeanStdDev(samples, nil)
	n := float64(len(samples))
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(quantile)
	return Interval{Mean: mean, HalfWidth: t * deviation / math.Sqrt(n)}
}
