package configtest

import (
	"cmp"
	"slices"
	"time"

	"fernbeam.example/fernbeam/internal/processtest"
)

// Write is one write of settings. Marker is what distinguishes its settings from others.
type Write struct {
	Marker  int
	Version uint64    // of the acknowledgement
	AckedAt time.Time // zero: it was not acknowledged
}

// StoredVersion is a version in the service's history.
type StoredVersion struct {
	Version uint64
	Marker  int
}

// Observation is a line of an agent's log: settings of a version that it put in force or rejected.
type Observation struct {
	At       time.Time
	Version  uint64
	Marker   int // of what it put in force
	Rejected bool
	Reason   string // of the rejection
}

// ProcessIncarnation is one run of an agent, from when it listens on, with what it observed in its order.
type ProcessIncarnation struct {
	processtest.Incarnation
	Agent        string
	Observations []Observation
}

// knew tells whether the process had put in force or rejected a version, or a newer one, at a time.
func (p *ProcessIncarnation) knew(version uint64, at time.Time) bool {
	return slices.ContainsFunc(p.Observations, func(o Observation) bool {
		return o.Version >= version && !o.At.After(at)
	})
}

// rejected tells whether the process rejected a version.
func (p *ProcessIncarnation) rejected(version uint64) bool {
	return slices.ContainsFunc(p.Observations, func(o Observation) bool { return o.Rejected && o.Version == version })
}

// inForceAt returns when the process put a version or a newer one in force, and whether it did.
func (p *ProcessIncarnation) inForceAt(version uint64) (time.Time, bool) {
	for _, o := range p.Observations {
		if !o.Rejected && o.Version >= version {
			return o.At, true
		}
	}
	return time.Time{}, false
}

// History is all that the processes of a harness saw and did. All times are of one machine's clock.
type History struct {
	Writes       []Write
	Stored       []StoredVersion // what the service has of its history, the last 20 versions
	Incarnations []*ProcessIncarnation
	// Exemptions are times in which agents, the observers, could reach no instance that knows more than they do: what is
	// due in one is due after it.
	Exemptions []processtest.Exemption
}

// lastWrite returns the write of the newest version.
func (h *History) lastWrite() Write {
	return slices.MaxFunc(h.Writes, func(a, b Write) int { return cmp.Compare(a.Version, b.Version) })
}

// allKnow tells whether all running processes know of a change.
func (h *History) allKnow(w Write) bool {
	return !slices.ContainsFunc(h.Incarnations, func(p *ProcessIncarnation) bool {
		return p.IsRunning() && !p.knew(w.Version, time.Now())
	})
}

// dueAt returns when a process must know of a change; false where it need not, as it ended before.
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

// firstKnownAt returns when a process could first know of a change.
func (w Write) firstKnownAt(p *ProcessIncarnation) time.Time {
	if p.Start.After(w.AckedAt) {
		return p.Start
	}
	return w.AckedAt
}

// Delays returns the times from the acknowledgements since a time to in force, at each process that ran then, did not
// reject the version and put it or a newer one in force, in order; 0 where it was in force before. For an exempt
// process the time counts from the end of its exemption.
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
