package emulator

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxDelayMicroseconds is the longest delay that a histogram can hold.
	maxDelayMicroseconds = 60_000_000
	// delayDigits is the number of significant decimal digits that a histogram keeps of a delay.
	delayDigits = 3
)

// Reported percentiles.
const (
	percentile50 = 50
	percentile99 = 99
)

// newDelayHistogram returns a histogram of delays in microseconds.
func newDelayHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxDelayMicroseconds, delayDigits)
}

// recordDelay adds a delay to a histogram; a negative delay counts as 0.
func recordDelay(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(max(0, d.Microseconds())) // the error means a delay beyond the range, which is left out
}

// percentile returns the given percentile of a histogram's delays.
func percentile(h *hdrhistogram.Histogram, percent float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(percent)) * time.Microsecond
}
