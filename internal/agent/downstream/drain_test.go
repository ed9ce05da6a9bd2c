package downstream

import (
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/balancer"
	"fernbeam.example/fernbeam/internal/clock"
)

// After SIGTERM the request that came last has its whole timeout, and the program has ended before it may be
// killed: the longest timeout, 3 s at the most, and 0.7 s later.
func TestDrainTimeIsWithinTheKillDelay(t *testing.T) {
	for _, longestMs := range []float64{300, 3000, 20000} {
		settings := &balancer.Settings{Classes: []balancer.Class{{TotalTimeoutMs: 200}, {TotalTimeoutMs: longestMs}}}
		timeout := min(clock.FromMilliseconds(longestMs), 3*time.Second)
		end := DrainTime(settings)
		kill := timeout + 700*time.Millisecond
		if end <= drainAcceptTime+timeout || end >= kill-100*time.Millisecond {
			t.Errorf("longest timeout %v ms: the end is %v after SIGTERM, the kill %v", longestMs, end, kill)
		}
	}
}
