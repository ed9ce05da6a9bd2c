package upstream

import (
	"testing"
	"time"
)

// feed notes uses after the given idle time, of which each lostOf-th is lost; 0: none.
func (t *idleTimeModel) feed(uses int, idled time.Duration, lostOf int) {
	for i := range uses {
		t.record(idled, lostOf > 0 && i%lostOf == 0)
	}
}

func TestIdleLimitIsLearned(t *testing.T) {
	const most = 30 * time.Second
	var x idleTimeModel
	if got := x.limit(most); got != most {
		t.Errorf("nothing known: %v", got)
	}
	x.feed(500, 0, 17) // what is lost at any time is no reason
	x.feed(300, 50*time.Millisecond, 17)
	x.feed(100, 100*time.Millisecond, 17)
	if got := x.limit(most); got != most {
		t.Errorf("losses that don't depend on idling: %v", got)
	}
	x.feed(60, 300*time.Millisecond, 2)
	got := x.limit(most)
	if got <= 100*time.Millisecond || got > 300*time.Millisecond {
		t.Errorf("half lost after 300 ms: %v", got)
	}
	x.feed(20_000, 0, 17) // long after, longer ones are worth another try
	if got := x.limit(most); got != most {
		t.Errorf("much later: %v", got)
	}
}

func TestIdleBinsCoverAllTimes(t *testing.T) {
	last := 0
	for d := time.Duration(0); d < 10*time.Minute; d = d*3/2 + time.Millisecond {
		i := idleBin(d)
		if i < last || i >= idleBins {
			t.Fatalf("%v is in bin %d after %d", d, i, last)
		}
		last = i
	}
}
