package upstream

import (
	"testing"
	"time"
)

// recordUses records uses after an idle time, of which each lostOf-th is lost; 0: none.
func (m *idleTimeModel) recordUses(uses int, idled time.Duration, lostOf int) {
	for i := range uses {
		m.record(idled, lostOf > 0 && i%lostOf == 0)
	}
}

func TestIdleLimitIsLearned(t *testing.T) {
	const keepalive = 30 * time.Second
	var model idleTimeModel
	if got := model.limit(keepalive); got != keepalive {
		t.Errorf("nothing known: %v", got)
	}
	model.recordUses(500, 0, 17) // losses after no idle time do not count
	model.recordUses(300, 50*time.Millisecond, 17)
	model.recordUses(100, 100*time.Millisecond, 17)
	if got := model.limit(keepalive); got != keepalive {
		t.Errorf("losses that don't depend on the idle time: %v", got)
	}
	model.recordUses(60, 300*time.Millisecond, 2)
	got := model.limit(keepalive)
	if got <= 100*time.Millisecond || got > 300*time.Millisecond {
		t.Errorf("half lost after 300 ms: %v", got)
	}
	model.recordUses(20_000, 0, 17) // much later, longer idle times are used again
	if got := model.limit(keepalive); got != keepalive {
		t.Errorf("much later: %v", got)
	}
}

func TestIdleBinsCoverAllTimes(t *testing.T) {
	last := 0
	for idled := time.Duration(0); idled < 10*time.Minute; idled = idled*3/2 + time.Millisecond {
		bin := idleBin(idled)
		if bin < last || bin >= idleBins {
			t.Fatalf("%v is in bin %d after %d", idled, bin, last)
		}
		last = bin
	}
}
