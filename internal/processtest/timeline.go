package processtest

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// maxTimelineEntries is the maximum number of entries in a timeline's text.
const maxTimelineEntries = 60

// Timeline merges the histories of several processes by time for the report of a failure.
type Timeline struct {
	entries []timelineEntry
}

// timelineEntry is an entry of a timeline.
type timelineEntry struct {
	at   time.Time
	text string
}

// Add adds an entry with a formatted text.
func (t *Timeline) Add(at time.Time, format string, args ...any) {
	t.entries = append(t.entries, timelineEntry{at: at, text: fmt.Sprintf(format, args...)})
}

// AddIncarnation adds the start and the end of an incarnation of a process.
func (t *Timeline) AddIncarnation(name string, incarnation Incarnation) {
	t.Add(incarnation.Start, "%s started", name)
	if !incarnation.IsRunning() {
		t.Add(incarnation.End, "%s ended, gracefully: %v", name, incarnation.Graceful)
	}
}

// AddEvents adds the events of a cluster's history at or after the time from.
func (t *Timeline) AddEvents(c *Cluster, from time.Time) {
	for _, event := range c.History() {
		if at := c.start.Add(event.At); !at.Before(from) {
			t.Add(at, "%s %s %s", event.Process, event.Action, event.Detail)
		}
	}
}

// String returns the last maxTimelineEntries entries in chronological order, one per line.
func (t *Timeline) String() string {
	entries := slices.SortedStableFunc(slices.Values(t.entries), func(a, b timelineEntry) int {
		return a.at.Compare(b.at)
	})
	var text strings.Builder
	for _, entry := range entries[max(0, len(entries)-maxTimelineEntries):] {
		fmt.Fprintf(&text, "%s %s\n", FormatTime(entry.at), entry.text)
	}
	return text.String()
}

// FormatTime formats a time for a report as seconds within its minute.
func FormatTime(at time.Time) string { return at.Format("05.000000") }
