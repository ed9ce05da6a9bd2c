package configtest

import (
	"cmp"
	"slices"
	"time"

	"fernbeam.example/fernbeam/internal/processtest"
)

// Write is a write of settings. Its marker distinguishes the settings from those of other writes.
type Write struct {
	Marker  int
	Version uint64    // the acknowledged version
	AckedAt time.Time // zero if the write was not acknowledged
}

// StoredVersion is a version in the service's history.
type StoredVersion struct {
	Version uint64
	Marker  int
}

// Observation is an entry of an agent's log about a version of the settings that it put in force or rejected.
type Observation struct {
	At       time.Time
	Version  uint64
	Marker   int // marker of the settings in force; 0 if rejected
	Rejected bool
	Reason   string // reason of the rejection
}

// ProcessIncarnation is an incarnation of an agent's process, which starts when the process listens, with its
// observations in the order of its log.
type ProcessIncarnation struct {
	processtest.Incarnation
	Agent        string
	Observations []Observation
}

// knew reports whether, at the given time, the process had put in force or rejected the version or a newer one.
func (p *ProcessIncarnation) knew(version uint64, at time.Time) bool {
	return slices.ContainsFunc(p.Observations, func(o Observation) bool {
		return o.Version >= version && !o.At.After(at)
	})
}

// rejected reports whether the process rejected the version.
func (p *ProcessIncarnation) rejected(version uint64) bool {
	return slices.ContainsFunc(p.Observations, func(o Observation) bool { return o.Rejected && o.Version == version })
}

// inForceAt returns when the process put the version or a newer one in force, and whether it did so.
func (p *ProcessIncarnation) inForceAt(version uint64) (time.Time, bool) {
	for _, o := range p.Observations {
		if !o.Rejected && o.Version >= version {
			return o.At, true
		}
	}
	return time.Time{}, false
}

// History has the merged records of the writers, the service and the agents. All times are from one machine's clock.
type History struct {
	Writes       []Write
	Stored       []StoredVersion // versions in the service's history, which keeps the last 20
	Incarnations []*ProcessIncarnation
	// Exemptions are periods in which some agents could not reach any instance with newer settings than their own. The
	// agents are the observers of the exemption. If the time limit for a change overlaps such a period, the limit starts
	// again at the end of the period.
	Exemptions []processtest.Exemption
}

// lastWrite returns the write with the newest version.
func (h *History) lastWrite() Write {
	return slices.MaxFunc(h.Writes, func(a, b Write) int { return cmp.Compare(a.Version, b.Version) })
}

// allKnow reports whether all running processes have applied or rejected a write, or a newer one.
func (h *History) allKnow(w Write) bool {
	return !slices.ContainsFunc(h.Incarnations, func(p *ProcessIncarnation) bool {
		return p.IsRunning() && !p.knew(w.Version, time.Now())
	})
}

// dueAt returns when a write is due at a process. It returns false if the write is not due there because it was not
// acknowledged or the process ended earlier.
func (h *History) dueAt(w Write, p *ProcessIncarnation, within time.Duration) (time.Time, bool) {
	from := w.firstKnownAt(p)
	for _, e := range h.Exemptions {
		if e.AppliesTo(p.Agent, "") && e.Overlaps(from, from.Add(within)) {
			from = e.To
		}
	}
	due := from.Add(within)
	return due, !w.AckedAt.IsZero() && (p.IsRunning() || p.End.After(due))
}

// firstKnownAt returns the earliest time at which a process could know of the write.
func (w Write) firstKnownAt(p *ProcessIncarnation) time.Time {
	if p.Start.After(w.AckedAt) {
		return p.Start
	}
	return w.AckedAt
}

// Delays returns, in ascending order, the delays from the acknowledgement of each write since the given time until it
// was in force at each process. For each write, it leaves out processes that started after the acknowledgement, that
// rejected the version or that never put it or a newer one in force. A delay is 0 if the version was in force before
// its acknowledgement. For an exempt process, the delay counts from the end of its exemption.
func (h *History) Delays(since time.Time) []time.Duration {
	var delays []time.Duration
	for _, w := range h.Writes {
		for _, p := range h.Incarnations {
			due, ok := h.dueAt(w, p, 0)
			if !ok || p.rejected(w.Version) || w.AckedAt.Before(since) || p.Start.After(w.AckedAt) {
				continue
			}
			if at, ok := p.inForceAt(w.Version); ok {
				delays = append(delays, max(0, at.Sub(due)))
			}
		}
	}
	slices.Sort(delays)
	return delays
}
