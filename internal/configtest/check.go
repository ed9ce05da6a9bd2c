package configtest

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Write is one write of settings. Mark is what sets its settings apart from others.
type Write struct {
	Mark    int
	Version uint64    // of the acknowledgement
	Acked   time.Time // zero: it was not acknowledged
}

// Kept is a version in the service's history.
type Kept struct {
	Version uint64
	Mark    int
}

// Seen is a line of an agent's log: settings of a version that it took over or refused.
type Seen struct {
	At      time.Time
	Version uint64
	Mark    int // of what it took over
	Refused bool
	Why     string
}

// Life is one process of an agent, with what it saw in its order.
type Life struct {
	Agent    string
	From, To time.Time // To is zero while it runs
	Seen     []Seen
}

// Excuse is a time in which agents (all, where none is named) could reach no instance that knows more
// than they do: what is due in it is due after it.
type Excuse struct {
	From, To time.Time
	Agents   []string
}

// History is all that the processes of a lab saw and did. All times are of one machine's clock.
type History struct {
	Writes  []Write
	Kept    []Kept // what the service has of it now, the last 20
	Lives   []*Life
	Excuses []Excuse
}

// Violation is a rule that a history breaks. The rules: "back" (a version of a process is not above
// the one before), "unaccepted" (in force is what no writer was told and no history has, or other
// settings than were written), "lost" (an acknowledged change is not in the service's history), "order"
// (one version is of two changes), "late" (a process had neither taken nor refused a change, nor a newer
// one, when it was due).
type Violation struct{ Rule, Text string }

func (v Violation) String() string { return v.Rule + ": " + v.Text }

// Check judges a history; within is the time from a change's acknowledgement to all agents' having it.
func Check(h *History, within time.Duration) (found []Violation) {
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
	for _, k := range h.Kept {
		accept(k.Version, k.Mark)
		inHistory[k.Version] = true
	}
	for _, w := range h.Writes {
		if w.Acked.IsZero() {
			continue
		}
		accept(w.Version, w.Mark)
		if len(h.Kept) > 0 && w.Version >= oldest(h.Kept) && !inHistory[w.Version] {
			broken("lost", "version %d, change %d, was acknowledged and is not in the history", w.Version, w.Mark)
		}
	}
	for _, l := range h.Lives {
		last := uint64(0)
		for _, s := range l.Seen {
			if s.Refused {
				continue
			}
			if s.Version <= last {
				broken("back", "%s went from version %d to %d at %s", l.Agent, last, s.Version, s.At.Format("05.000"))
			}
			last = s.Version
			if mark, ok := accepted[s.Version]; !ok || mark != s.Mark {
				broken("unaccepted", "%s took change %d as version %d, which is change %d (0: none)", l.Agent, s.Mark, s.Version, mark)
			}
		}
	}
	for _, w := range h.Writes {
		for _, l := range h.Lives {
			if due, ok := h.due(w, l, within); ok && !l.knew(w.Version, due) {
				broken("late", "%s did not have version %d at %s", l.Agent, w.Version, due.Format("05.000"))
			}
		}
	}
	return found
}

func oldest(kept []Kept) uint64 {
	return slices.MinFunc(kept, func(a, b Kept) int { return cmp.Compare(a.Version, b.Version) }).Version
}

// due is when a process must know of a change; false where it need not, as it ended before.
func (h *History) due(w Write, l *Life, within time.Duration) (time.Time, bool) {
	from := w.known(l)
	for _, e := range h.Excuses {
		if (len(e.Agents) == 0 || slices.Contains(e.Agents, l.Agent)) && !from.Add(within).Before(e.From) && from.Before(e.To) {
			from = e.To
		}
	}
	due := from.Add(within)
	return due, !w.Acked.IsZero() && (l.To.IsZero() || l.To.After(due))
}

// known is when a change could first be told to a process.
func (w Write) known(l *Life) time.Time {
	if l.From.After(w.Acked) {
		return l.From
	}
	return w.Acked
}

// knew tells whether the process had taken or refused a version, or a newer one, at a time.
func (l *Life) knew(version uint64, at time.Time) bool {
	return slices.ContainsFunc(l.Seen, func(s Seen) bool { return s.Version >= version && !s.At.After(at) })
}

// Delays are the times from the acknowledgements since a time to in force, at each process that ran
// then, did not refuse it and took it or a newer one, in order; 0 where it was in force before. What processes
// were excused from counts from the end of that.
func (h *History) Delays(since time.Time) (took []time.Duration) {
	for _, w := range h.Writes {
		for _, l := range h.Lives {
			due, ok := h.due(w, l, 0)
			refused := slices.ContainsFunc(l.Seen, func(s Seen) bool { return s.Refused && s.Version == w.Version })
			if !ok || refused || w.Acked.Before(since) || l.From.After(w.Acked) {
				continue
			}
			if i := slices.IndexFunc(l.Seen, func(s Seen) bool { return !s.Refused && s.Version >= w.Version }); i >= 0 {
				took = append(took, max(0, l.Seen[i].At.Sub(due)))
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
