package upstream

import (
	"testing"
	"time"
)

// recordUses records uses after an idle time. One use in lossEvery is lost, or none if lossEvery is 0.
func (m *idleTimeModel) recordUses(uses int, idled time.Duration, lossEvery int) {
	for i := range uses {
		m.record(idled, lossEvery > 0 && i%lossEvery == 0)
	}
}

func TestIdleLimitIsLearned(t *testing.T) {
	const keepalive = 30 * time.Second
	var model idleTimeModel
	if got := model.limit(keepalive); got != keepalive {
		t.Errorf("limit %v without samples, want the keepalive time", got)
	}
	model.recordUses(500, 0, 17) // losses that are not due to the idle time do not lower the limit
	model.recordUses(300, 50*time.Millisecond, 17)
	model.recordUses(100, 100*time.Millisecond, 17)
	if got := model.limit(keepalive); got != keepalive {
		t.Errorf("limit %v with losses independent of the idle time, want the keepalive time", got)
	}
	model.recordUses(60, 300*time.Millisecond, 2)
	got := model.limit(keepalive)
	if got <= 100*time.Millisecond || got > 300*time.Millisecond {
		t.Errorf("limit %v with half the connections lost after 300 ms, want over 100 ms and at most 300 ms", got)
	}
	model.recordUses(20_000, 0, 17) // the old losses have decayed, so longer idle times are allowed again
	if got := model.limit(keepalive); got != keepalive {
		t.Errorf("limit %v after the losses have ended, want the keepalive time", got)
	}
}

func TestIdleBinsCoverAllTimes(t *testing.T) {
	last := 0
	for idled := time.Duration(0); idled < 10*time.Minute; idled = idled*3/2 + time.Millisecond {
		bin := idleBin(idled)
		if bin < last || bin >= idleBins {
			t.Fatalf("idle time %v is in bin %d after bin %d", idled, bin, last)
		}
		last = bin
	}
}
