package processtest

import (
	"testing"
	"time"
)

func TestExemptionBounds(t *testing.T) {
	start := time.Unix(0, 0)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	exemption := Exemption{From: at(10), To: at(20), Applies: Observers("a")}
	for _, test := range []struct {
		seconds  int
		observer string
		want     bool
	}{{9, "a", false}, {15, "a", true}, {15, "b", false}, {20, "a", false}} {
		if got := exemption.Covers(at(test.seconds), test.observer, "c"); got != test.want {
			t.Errorf("at %d s, observer %s: covers %v, want %v", test.seconds, test.observer, got, test.want)
		}
	}
	for _, test := range []struct {
		from, to int
		want     bool
	}{{0, 9, false}, {0, 10, true}, {12, 13, true}, {19, 30, true}, {20, 30, false}} {
		if got := exemption.Overlaps(at(test.from), at(test.to)); got != test.want {
			t.Errorf("from %d s to %d s: overlaps %v, want %v", test.from, test.to, got, test.want)
		}
	}
	if !(Exemption{}).AppliesTo("b", "c") {
		t.Error("an exemption without a condition does not apply to all")
	}
}
