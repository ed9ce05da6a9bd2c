package clock

import (
	"testing"
	"time"
)

func TestSystemReadsBothClocks(t *testing.T) {
	c := System()
	if wall := c.Wall(); wall != wall.Round(0) || time.Since(wall) > time.Minute {
		t.Errorf("the wall clock is %v, want the present time without a monotonic reading", wall)
	}
	before := c.Monotonic()
	if before <= 0 {
		t.Errorf("the monotonic clock is %v, want more than zero", before)
	}
	if after := c.Monotonic(); after < before {
		t.Errorf("the monotonic clock went back from %v to %v", before, after)
	}
}
