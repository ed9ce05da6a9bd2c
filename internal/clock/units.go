package clock

import "time"

// FromMilliseconds converts a number of milliseconds.
func FromMilliseconds(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

// microsecondsPerMillisecond converts durations and moments.
const microsecondsPerMillisecond = 1000

// Milliseconds is a duration in ms, to the microsecond.
func Milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / microsecondsPerMillisecond
}

// MillisecondsSince is the time since a moment in ms, to the microsecond.
func MillisecondsSince(t time.Time) float64 { return Milliseconds(time.Since(t)) }

// UnixMilliseconds is a moment in Unix time, in ms.
func UnixMilliseconds(t time.Time) float64 {
	return float64(t.UnixMicro()) / microsecondsPerMillisecond
}

// Earliest is the earlier of two moments.
func Earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
