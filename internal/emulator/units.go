package emulator

import "time"

// millisecondsPerSecond converts times.
const millisecondsPerSecond = 1000

// secondsToDuration returns a time that is given in seconds.
func secondsToDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
