package agent

import "time"

// milliseconds converts a number of milliseconds.
func milliseconds(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

// microsecondsPerMillisecond converts numbers of these.
const microsecondsPerMillisecond = 1000

// inMilliseconds is a duration in ms, to the microsecond.
func inMilliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / microsecondsPerMillisecond
}

// millisecondsSince is the time since a moment in ms, to the microsecond.
func millisecondsSince(t time.Time) float64 { return inMilliseconds(time.Since(t)) }

// unixMilliseconds is a moment in Unix time, in ms.
func unixMilliseconds(t time.Time) float64 {
	return float64(t.UnixMicro()) / microsecondsPerMillisecond
}

// earliest is the earlier of two moments.
func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
