package emulator

import "time"

// millisecondsPerSecond converts seconds to milliseconds.
const millisecondsPerSecond = 1000

// secondsToDuration converts a number of seconds to a duration.
func secondsToDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
