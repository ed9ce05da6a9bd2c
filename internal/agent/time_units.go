package agent

import "time"

// milliseconds converts a number of milliseconds.
func milliseconds(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

// millisecondsSince is the time since a moment in ms, to the microsecond.
func millisecondsSince(t time.Time) float64 { return float64(time.Since(t).Microseconds()) / 1000 }

// earliest is the earlier of two moments.
func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
