package processtest

import "time"

// Metrics are the measurements of a case by name. A name includes the unit.
type Metrics map[string]float64

// The quantiles in reports.
const (
	Median       = 0.5
	Percentile99 = 0.99
	Maximum      = 1.0
)

// Quantile returns the quantile q (0 to 1) of sorted values, or 0 if there are none.
func Quantile[T time.Duration | float64](sorted []T, q float64) T {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
