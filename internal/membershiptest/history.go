package membershiptest

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"fernbeam.example/fernbeam/internal/membership"
)

const (
	// maxTimelineEntries bounds the entries of a timeline.
	maxTimelineEntries = 60
	// timeOfMinute is the format of a time in a timeline.
	timeOfMinute = "05.000000"
)

// ProcessIncarnation is one run of an agent, from its start to its end as the harness made them. All times of a harness
// are of one machine's clock.
type ProcessIncarnation struct {
	Name    string
	Process string
	Start   time.Time
	End     time.Time // zero while it runs
	Left    bool      // it ended by SIGTERM

	processName string
}

// endedBefore tells whether a process is known to have ended before another began.
func (p *ProcessIncarnation) endedBefore(other *ProcessIncarnation) bool {
	return p != nil && other != nil && !p.End.IsZero() && p.End.Before(other.Start)
}

// Record is what one process saw, in its order.
type Record struct {
	Observer string
	Process  string
	Changes  []membership.Change
}

// last is the number of the last change.
func (r *Record) last() uint64 {
	if n := len(r.Changes); n > 0 {
		return r.Changes[n-1].Number
	}
	return 0
}

// add appends the changes that are newer than the last one.
func (r *Record) add(changes []membership.Change) {
	last := r.last()
	for _, change := range changes {
		if change.Number > last {
			r.Changes = append(r.Changes, change)
		}
	}
}

// convergedAt is when the snapshot came to a digest for good.
func (r *Record) convergedAt(digest string) time.Time {
	var at time.Time
	for _, change := range slices.Backward(r.Changes) {
		if change.Digest != digest {
			break
		}
		at = changeTime(change)
	}
	return at
}

// changeTime is when a change was made.
func changeTime(change membership.Change) time.Time { return time.UnixMicro(change.UnixUs) }

// Exemption is a time in which an observer (by name) may rightly declare a member dead.
type Exemption struct {
	From, To time.Time
	Pair     func(observer, member string) bool
}

// covers tells whether an observer may declare a member dead at a time.
func (e Exemption) covers(at time.Time, observer, member string) bool {
	return at.After(e.From) && at.Before(e.To) && e.Pair(observer, member)
}

// Exempt tells the checker that for a time members may rightly be declared dead by others.
func (h *Harness) Exempt(from, to time.Time, pair func(observer, member string) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.exemptions = append(h.exemptions, Exemption{From: from, To: to, Pair: pair})
}

// sortedRecords are the records, the longest first. The caller holds mu.
func (h *Harness) sortedRecords() []*Record {
	var records []*Record
	for _, record := range h.records {
		records = append(records, record)
	}
	slices.SortFunc(records, func(a, b *Record) int { return len(b.Changes) - len(a.Changes) })
	return records
}

// timelineEntry is a line of a timeline.
type timelineEntry struct {
	at   time.Time
	text string
}

// timeline is what all processes saw of one, in the order of time.
func (h *Harness) timeline(process string) string {
	entries := h.timelineEntries(process)
	slices.SortFunc(entries, func(a, b timelineEntry) int { return a.at.Compare(b.at) })
	var text strings.Builder
	for _, entry := range entries[max(0, len(entries)-maxTimelineEntries):] {
		fmt.Fprintf(&text, "%s %s\n", entry.at.Format(timeOfMinute), entry.text)
	}
	return text.String()
}

// timelineEntries are what all processes saw of one, and its start and end.
func (h *Harness) timelineEntries(process string) []timelineEntry {
	h.mu.Lock()
	defer h.mu.Unlock()
	var entries []timelineEntry
	for _, incarnation := range h.incarnations {
		if incarnation.Process != process {
			continue
		}
		entries = append(entries, timelineEntry{incarnation.Start, "started"})
		if !incarnation.End.IsZero() {
			text := fmt.Sprintf("ended, gracefully: %v", incarnation.Left)
			entries = append(entries, timelineEntry{incarnation.End, text})
		}
	}
	for _, record := range h.records {
		for _, change := range record.Changes {
			if change.Process == process {
				text := fmt.Sprintf("%s/%s: %q to %q by %q, incarnation %d, draining %v, snapshot %d", record.Observer,
					record.Process, change.From, change.To, change.ReportedBy, change.Incarnation, change.Draining, change.Number)
				entries = append(entries, timelineEntry{changeTime(change), text})
			}
		}
	}
	return entries
}
