package processtest

import (
	"strings"
	"testing"
	"time"
)

func TestTimelineIsChronological(t *testing.T) {
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
