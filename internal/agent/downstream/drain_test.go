package downstream

import (
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/balancer"
	"fernbeam.example/fernbeam/internal/clock"
)

// After SIGTERM the last request has its whole timeout, and the process ends before SIGKILL, which follows after the
// longest request timeout, capped at 3 s, plus 0.7 s.
func TestDrainTimeIsWithinTheKillDelay(t *testing.T) {
	for _, longestMs := range []float64{300, 3000, 20000} {
		settings := &balancer.Settings{Classes: []balancer.Class{{TotalTimeoutMs: 200}, {TotalTimeoutMs: longestMs}}}
		timeout := min(clock.FromMilliseconds(longestMs), 3*time.Second)
		end := DrainTime(settings)
		kill := timeout + 700*time.Millisecond
		if end <= drainAcceptTime+timeout || end >= kill-100*time.Millisecond {
			t.Errorf("longest timeout %v ms: drain ends %v after SIGTERM, SIGKILL follows after %v", longestMs, end, kill)
		}
	}
}
