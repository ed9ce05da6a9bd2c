package emulator

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxDelayMicroseconds bounds the delays that a histogram can hold.
	maxDelayMicroseconds = 60_000_000
	// delayDigits is how many significant digits of a delay a histogram keeps.
	delayDigits = 3
)

// Percentiles of the delays that are reported.
const (
	percentile50 = 50
	percentile99 = 99
)

// newDelayHistogram returns a histogram of delays in microseconds.
func newDelayHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxDelayMicroseconds, delayDigits)
}

// recordDelay adds a delay to a histogram; below zero it counts as none.
func recordDelay(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(max(0, d.Microseconds())) // a delay beyond the histogram's range is left out
}

// percentile returns a percentile of the delays of a histogram.
func percentile(h *hdrhistogram.Histogram, percent float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(percent)) * time.Microsecond
}
