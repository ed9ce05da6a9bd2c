package membershiptest

import (
	"maps"
	"slices"
	"time"

	"fernbeam.example/fernbeam/internal/membership"
	"fernbeam.example/fernbeam/internal/processtest"
)

// ProcessIncarnation is an incarnation of an agent's process with its identity in the membership.
type ProcessIncarnation struct {
	processtest.Incarnation
	Name    string // name of the agent
	Process string // identity in the membership
}

// endedBefore reports whether a process is known to have ended before another one started.
func (p *ProcessIncarnation) endedBefore(other *ProcessIncarnation) bool {
	return p != nil && other != nil && p.EndedBefore(other.Incarnation)
}

// identity is the identity that an incarnation of a process reported: its agent's name and its process identity in the
// membership.
type identity struct {
	agent, process string
}

// incarnationKey identifies an incarnation by the name of its process in the cluster and its number, counted from 0.
type incarnationKey struct {
	processName string
	number      int
}

// Record contains the changes that one process observed, in order.
type Record struct {
	Observer string
	Process  string
	Changes  []membership.Change
}

// last returns the number of the last change, or 0 if there is none.
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

// convergedAt returns when the snapshot last reached the given digest, or the zero time if it now has another one.
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

// changeTime returns the time of a change.
func changeTime(change membership.Change) time.Time { return time.UnixMicro(change.UnixUs) }

// incarnations returns the incarnations of all processes that reported an identity, in the order of their starts.
func (h *Harness) incarnations() []*ProcessIncarnation {
	h.mu.Lock()
	identities := maps.Clone(h.identities)
	h.mu.Unlock()
	var incarnations []*ProcessIncarnation
	for _, name := range h.processes.Names() {
		for number, incarnation := range h.processes.Incarnations(name) {
			if id, ok := identities[incarnationKey{name, number}]; ok {
				incarnations = append(incarnations, &ProcessIncarnation{
					Incarnation: incarnation,
					Name:        id.agent,
					Process:     id.process,
				})
			}
		}
	}
	slices.SortFunc(incarnations, func(a, b *ProcessIncarnation) int { return a.Start.Compare(b.Start) })
	return incarnations
}

// sortedRecords returns copies of the records, the longest first.
func (h *Harness) sortedRecords() []*Record {
	h.mu.Lock()
	defer h.mu.Unlock()
	var records []*Record
	for _, record := range h.records {
		records = append(records, &Record{
			Observer: record.Observer,
			Process:  record.Process,
			Changes:  slices.Clone(record.Changes),
		})
	}
	slices.SortFunc(records, func(a, b *Record) int { return len(b.Changes) - len(a.Changes) })
	return records
}

// timeline returns the timeline of a process: its start, its end and its changes as recorded by all observers.
func (h *Harness) timeline(process string) string {
	timeline := new(processtest.Timeline)
	for _, incarnation := range h.incarnations() {
		if incarnation.Process == process {
			timeline.AddIncarnation(incarnation.Name, incarnation.Incarnation)
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, record := range h.records {
		for _, change := range record.Changes {
			if change.Process == process {
				timeline.Add(changeTime(change), "%s/%s: %q to %q by %q, incarnation %d, draining %v, snapshot %d",
					record.Observer, record.Process, change.From, change.To, change.ReportedBy, change.Incarnation,
					change.Draining, change.Number)
			}
		}
	}
	return timeline.String()
}
