package downstream

import (
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/agent/config"
	"fernbeam.example/fernbeam/internal/balancer"
	"fernbeam.example/fernbeam/internal/clock"
)

// After SIGTERM the request that came last has its whole timeout, and the program has ended before it may be
// killed: the longest timeout, 3 s at the most, and 0.7 s later.
func TestDrainTimeIsWithinTheKillDelay(t *testing.T) {
	for _, longest := range []float64{300, 3000, 20000} {
		c := &config.Config{Settings: balancer.Settings{Classes: []balancer.Class{{TotalTimeoutMs: 200}, {TotalTimeoutMs: longest}}}}
		end, kill := DrainTime(&c.Settings), min(clock.FromMilliseconds(longest), 3*time.Second)+700*time.Millisecond
		if end <= DrainAcceptTime+min(clock.FromMilliseconds(longest), 3*time.Second) || end >= kill-100*time.Millisecond {
			t.Errorf("longest deadline %v ms: the end is %v after SIGTERM, the kill %v", longest, end, kill)
		}
	}
}
