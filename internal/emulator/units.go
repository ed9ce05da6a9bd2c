package emulator

import "time"

// millisecondsPerSecond converts times.
const millisecondsPerSecond = 1000

// Percentiles of the delays that are reported.
const (
	percentile50 = 50
	percentile99 = 99
)

// secondsToDuration returns a time that is given in seconds.
func secondsToDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
