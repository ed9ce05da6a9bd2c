package processtest

import "time"

// Metrics are a case's measurements by name, with their unit in the name.
type Metrics map[string]float64

// The quantiles that reports have.
const (
	Median       = 0.5
	Percentile99 = 0.99
	Maximum      = 1.0
)

// Quantile returns a quantile (0 to 1) of values in order; 0 of none.
func Quantile[T time.Duration | float64](sorted []T, q float64) T {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
