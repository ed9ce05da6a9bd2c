package emulator

import "time"

const (
	millisecondsPerSecond      = 1000
	microsecondsPerMillisecond = 1000
)

// Percentiles of the delays that are reported.
const (
	percentile50 = 50
	percentile99 = 99
)

// secondsToDuration returns a time that is given in seconds.
func secondsToDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}

// inMilliseconds returns a time in ms, to the microsecond.
func inMilliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / microsecondsPerMillisecond
}
