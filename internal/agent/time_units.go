package agent

import (
	"time"
)

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func milliseconds(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
