package clock

import "time"

// FromMilliseconds returns the duration of a number of milliseconds.
func FromMilliseconds(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

const microsecondsPerMillisecond = 1000

// Milliseconds returns a duration in milliseconds, with microsecond precision.
func Milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / microsecondsPerMillisecond
}

// MillisecondsSince returns the time elapsed since t in milliseconds, with microsecond precision.
func MillisecondsSince(t time.Time) float64 { return Milliseconds(time.Since(t)) }

// UnixMilliseconds returns t as a Unix time in milliseconds, with microsecond precision.
func UnixMilliseconds(t time.Time) float64 {
	return float64(t.UnixMicro()) / microsecondsPerMillisecond
}

// Earliest returns the earlier of two times.
func Earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
