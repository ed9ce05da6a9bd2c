package scaletest

import (
	"math"
	"slices"
	"testing"
	"time"
)

// TestTrackerLatencies checks that a change counts as in force with its version or a later one. An agent without the
// change is not counted if it ended before the timeout, counts as never in force if it ran for the whole time, and
// counts as unknown if it dropped log lines.
func TestTrackerLatencies(t *testing.T) {
	tr := newTracker()
	now := time.Now()
	at := func(s float64) time.Time { return now.Add(time.Duration(s * float64(time.Second))) }
	tr.inForce("early", 7, at(-100)) // before its start is recorded
	for _, n := range []string{"early", "all", "skipping", "late", "never", "short", "dropping", "new"} {
		tr.started(n)
		tr.current[n].start = at(-100)
	}
	tr.acknowledged(5, at(-60))
	tr.acknowledged(7, at(-50))
	tr.inForce("all", 5, at(-59))
	tr.inForce("all", 7, at(-49.5))
	tr.inForce("skipping", 7, at(-48)) // skipped version 5: 12 s and 2 s
	tr.inForce("late", 7, at(-29))     // 31 s and 21 s: never in force
	tr.inForce("dropping", 5, at(-59))
	tr.markIncomplete("dropping")
	tr.current["new"].start = at(-55) // started after the change of version 5
	tr.inForce("new", 7, at(-50.2))   // before the acknowledgement: 0 s
	tr.stopping("short")
	short := slices.IndexFunc(tr.incarnations, func(i *incarnation) bool { return i.agent == "short" })
	tr.incarnations[short].end = at(-45)
	times, err := tr.latencies()
	if err != nil {
		t.Fatal(err)
	}
	// Latencies: early 0 s, 0 s; all 1 s, 0.5 s; skipping 12 s, 2 s; new 0 s.
	if times.Count != 7 || times.NeverInForce != 4 || times.unknown != 2 || math.Abs(times.Max-12_000) > 12 ||
		math.Abs(times.P50-500) > 1 {
		t.Errorf("%+v", times)
	}
	tr.reset()
	times, err = tr.latencies()
	if err != nil || times.Count != 0 || times.NeverInForce != 0 || times.unknown != 0 || tr.latestVersion("all") != 0 {
		t.Errorf("after a reset: %+v, %v", times, err)
	}
}

// TestTrackerOfService checks that a change of a service's settings and its version count only for the agents of that
// service.
func TestTrackerOfService(t *testing.T) {
	tr := newTrackers()[kindSettings]
	tr.serviceOf["a"], tr.serviceOf["b"] = "one", "two"
	tr.started("a")
	tr.started("b")
	acked := time.Now()
	tr.acknowledgedFor("one", 5, acked)
	tr.acknowledgedFor("two", 9, acked)
	tr.inForce("a", 5, acked.Add(time.Second))
	tr.inForce("b", 9, acked.Add(3*time.Second))
	times, err := tr.latencies()
	if err != nil || times.Count != 2 || math.Abs(times.Max-3000) > 3 || tr.latestVersion("a") != 5 ||
		tr.latestVersion("b") != 9 || tr.latestVersion("c") != 0 {
		t.Errorf("%+v, %v; newest versions %d and %d", times, err, tr.latestVersion("a"), tr.latestVersion("b"))
	}
}
