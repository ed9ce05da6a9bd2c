package configtest

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Write is one write of settings. Mark is what sets its settings apart from others.
type Write struct {
	Marker  int
	Version uint64    // of the acknowledgement
	AckedAt time.Time // zero: it was not acknowledged
}

// Kept is a version in the service's history.
type StoredVersion struct {
	Version uint64
	Marker  int
}

// Seen is a line of an agent's log: settings of a version that it took over or refused.
type Observation struct {
	At      time.Time
	Version uint64
	Marker  int // of what it took over
	Refused bool
	Reason  string
}

// Life is one process of an agent, with what it saw in its order.
type ProcessIncarnation struct {
	Agent        string
	From, To     time.Time // To is zero while it runs
	Observations []Observation
}

// Excuse is a time in which agents (all, where none is named) could reach no instance that knows more
// than they do: what is due in it is due after it.
type Exemption struct {
	From, To time.Time
	Agents   []string
}

// History is all that the processes of a lab saw and did. All times are of one machine's clock.
type History struct {
	Writes       []Write
	Stored       []StoredVersion // what the service has of it now, the last 20
	Incarnations []*ProcessIncarnation
	Exemptions   []Exemption
}

// Violation is a rule that a history breaks. The rules: "back" (a version of a process is not above
// the one before), "unaccepted" (in force is what no writer was told and no history has, or other
// settings than were written), "lost" (an acknowledged change is not in the service's history), "order"
// (one version is of two changes), "late" (a process had neither taken nor refused a change, nor a newer
// one, when it was due).
type Violation struct{ Rule, Text string }

func (v Violation) String() string { return v.Rule + ": " + v.Text }

// Check judges a history; within is the time from a change's acknowledgement to all agents' having it.
func Check(history *History, within time.Duration) (found []Violation) {
	broken := func(rule, format string, args ...any) {
		found = append(found, Violation{rule, fmt.Sprintf(format, args...)})
	}
	accepted := map[uint64]int{}
	accept := func(version uint64, mark int) {
		if old, ok := accepted[version]; ok && old != mark {
			broken("order", "version %d is of the changes %d and %d", version, old, mark)
		}
		accepted[version] = mark
	}
	inHistory := map[uint64]bool{}
	for _, k := range history.Stored {
		accept(k.Version, k.Marker)
		inHistory[k.Version] = true
	}
	for _, w := range history.Writes {
		if w.AckedAt.IsZero() {
			continue
		}
		accept(w.Version, w.Marker)
		if len(history.Stored) > 0 && w.Version >= oldestVersion(history.Stored) && !inHistory[w.Version] {
			broken("lost", "version %d, change %d, was acknowledged and is not in the history", w.Version, w.Marker)
		}
	}
	for _, incarnation := range history.Incarnations {
		last := uint64(0)
		for _, s := range incarnation.Observations {
			if s.Refused {
				continue
			}
			if s.Version <= last {
				broken("back", "%s went from version %d to %d at %s", incarnation.Agent, last, s.Version, s.At.Format("05.000"))
			}
			last = s.Version
			if mark, ok := accepted[s.Version]; !ok || mark != s.Marker {
				broken("unaccepted", "%s took change %d as version %d, which is change %d (0: none)", incarnation.Agent, s.Marker, s.Version, mark)
			}
		}
	}
	for _, w := range history.Writes {
		for _, incarnation := range history.Incarnations {
			if due, ok := history.dueAt(w, incarnation, within); ok && !incarnation.knew(w.Version, due) {
				broken("late", "%s did not have version %d at %s", incarnation.Agent, w.Version, due.Format("05.000"))
			}
		}
	}
	return found
}

func oldestVersion(kept []StoredVersion) uint64 {
	return slices.MinFunc(kept, func(a, b StoredVersion) int { return cmp.Compare(a.Version, b.Version) }).Version
}

// due is when a process must know of a change; false where it need not, as it ended before.
func (history *History) dueAt(w Write, incarnation *ProcessIncarnation, within time.Duration) (time.Time, bool) {
	from := w.firstKnownAt(incarnation)
	for _, e := range history.Exemptions {
		if (len(e.Agents) == 0 || slices.Contains(e.Agents, incarnation.Agent)) && !from.Add(within).Before(e.From) && from.Before(e.To) {
			from = e.To
		}
	}
	due := from.Add(within)
	return due, !w.AckedAt.IsZero() && (incarnation.To.IsZero() || incarnation.To.After(due))
}

// known is when a change could first be told to a process.
func (w Write) firstKnownAt(incarnation *ProcessIncarnation) time.Time {
	if incarnation.From.After(w.AckedAt) {
		return incarnation.From
	}
	return w.AckedAt
}

// knew tells whether the process had taken or refused a version, or a newer one, at a time.
func (incarnation *ProcessIncarnation) knew(version uint64, at time.Time) bool {
	return slices.ContainsFunc(incarnation.Observations, func(s Observation) bool { return s.Version >= version && !s.At.After(at) })
}

// Delays are the times from the acknowledgements since a time to in force, at each process that ran
// then, did not refuse it and took it or a newer one, in order; 0 where it was in force before. What processes
// were excused from counts from the end of that.
func (history *History) Delays(since time.Time) (took []time.Duration) {
	for _, w := range history.Writes {
		for _, incarnation := range history.Incarnations {
			due, ok := history.dueAt(w, incarnation, 0)
			refused := slices.ContainsFunc(incarnation.Observations, func(s Observation) bool { return s.Refused && s.Version == w.Version })
			if !ok || refused || w.AckedAt.Before(since) || incarnation.From.After(w.AckedAt) {
				continue
			}
			if i := slices.IndexFunc(incarnation.Observations, func(s Observation) bool { return !s.Refused && s.Version >= w.Version }); i >= 0 {
				took = append(took, max(0, incarnation.Observations[i].At.Sub(due)))
			}
		}
	}
	slices.Sort(took)
	return took
}

// Quantile is a quantile (0 to 1) of times in order; 0 of none.
func Quantile(of []time.Duration, q float64) time.Duration {
	if len(of) == 0 {
		return 0
	}
	return of[min(len(of)-1, int(q*float64(len(of))))]
}
