package processtest

import (
	"strings"
	"testing"
	"time"
)

func TestClusterRecordsIncarnations(t *testing.T) {
	const name = "sleeper"
	cluster, err := New(Config{
		Binary: "/bin/sleep",
		Names:  []string{name},
		Dir:    t.TempDir(),
		Args:   func(*Cluster, string) []string { return []string{"60"} },
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cluster.Close)
	for _, step := range []func(string) error{cluster.Start, cluster.Kill, cluster.Start, cluster.Term, cluster.Start} {
		if err := step(name); err != nil {
			t.Fatal(err)
		}
	}
	incarnations := cluster.Incarnations(name)
	if len(incarnations) != 3 {
		t.Fatalf("%d incarnations, want 3: %v", len(incarnations), incarnations)
	}
	killed, ended, running := incarnations[0], incarnations[1], incarnations[2]
	if !killed.EndedBefore(ended) || !ended.EndedBefore(running) || running.EndedBefore(killed) {
		t.Errorf("the incarnations are out of order: %v", incarnations)
	}
	if killed.IsRunning() || killed.Graceful || ended.IsRunning() || !ended.Graceful || !running.IsRunning() {
		t.Errorf("killed, ended and running are recorded as %v", incarnations)
	}
	if got := cluster.Incarnations("unknown"); got != nil {
		t.Errorf("an unknown process has incarnations %v", got)
	}
}

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
			t.Errorf("at %d s, observer %s: covered %v, want %v", test.seconds, test.observer, got, test.want)
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

func TestTimelineIsInOrderOfTime(t *testing.T) {
	start := time.Unix(0, 0)
	timeline := new(Timeline)
	timeline.Add(start.Add(2*time.Second), "second %d", 2)
	timeline.AddIncarnation("p", Incarnation{Start: start, End: start.Add(time.Second), Graceful: true})
	const want = "00.000000 p started\n01.000000 p ended, gracefully: true\n02.000000 second 2\n"
	if got := timeline.String(); got != want {
		t.Errorf("got\n%swant\n%s", got, want)
	}
	for range 2 * maxTimelineEntries {
		timeline.Add(start, "first")
	}
	if got := strings.Count(timeline.String(), "\n"); got != maxTimelineEntries {
		t.Errorf("%d entries, want %d", got, maxTimelineEntries)
	}
}
