package capacity

import "math"

// Interval is a 95 % confidence or prediction interval.
type Interval struct{ Lo, Hi float64 }

// Prediction is a predicted value with its interval.
type Prediction struct {
	Value    float64
	Interval Interval
}

// Contains reports whether a value lies in the interval.
func (i Interval) Contains(v float64) bool { return v >= i.Lo && v <= i.Hi }

// union returns the smallest interval that contains both intervals.
func (i Interval) union(other Interval) Interval {
	return Interval{math.Min(i.Lo, other.Lo), math.Max(i.Hi, other.Hi)}
}

// nonNegative returns the interval clamped at zero, because no metric is negative.
func (i Interval) nonNegative() Interval {
	return Interval{math.Max(i.Lo, 0), math.Max(i.Hi, 0)}
}

// finite reports whether both ends are finite.
func (i Interval) finite() bool {
	return !math.IsNaN(i.Lo) && !math.IsInf(i.Lo, 0) && !math.IsNaN(i.Hi) && !math.IsInf(i.Hi, 0)
}
