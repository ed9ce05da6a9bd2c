package membershiptest

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"fernbeam.example/fernbeam/internal/membership"
)

// Life is one process's time: from its start to its end as the lab made them. All times of
// a lab are of one machine's clock.
type ProcessIncarnation struct {
	Name, Process string
	Start, End    time.Time // End is zero while it runs
	Left          bool      // it ended by SIGTERM
	processName   string
}

// Record is what one process saw, in its order.
type Record struct {
	Observer, Process string
	Changes           []membership.Change
}

func (r *Record) last() uint64 {
	if n := len(r.Changes); n > 0 {
		return r.Changes[n-1].Number
	}
	return 0
}

// add appends what is newer than the last change known.
func (r *Record) add(changes []membership.Change) {
	last := r.last()
	for _, c := range changes {
		if c.Number > last {
			r.Changes = append(r.Changes, c)
		}
	}
}

// settledAt is when the view came to a digest for good.
func (r *Record) convergedAt(digest string) (at time.Time) {
	for _, c := range slices.Backward(r.Changes) {
		if c.Digest != digest {
			break
		}
		at = time.UnixMicro(c.UnixUs)
	}
	return at
}

// Excuse is a time in which an observer (by name) may rightly declare a member dead.
type Exemption struct {
	From, To time.Time
	Pair     func(observer, member string) bool
}

// Violation is a rule that a history breaks. The rules: "false death" (a running process,
// not excused, is declared dead), "incarnation" (one goes back), "number" (a view's number
// does not go up by one), "return" (a process that was replaced is back, or one takes the
// place of its successor), "leaver" (one that left is doubted, dead or back).
type Violation struct {
	Rule, Observer string
	Change         membership.Change
}

func (v Violation) String() string {
	return fmt.Sprintf("%s: %s saw %s/%s go from %q to %q (incarnation %d, by %q) in view %d at %s", v.Rule, v.Observer,
		v.Change.Name, v.Change.Process, v.Change.From, v.Change.To, v.Change.Incarnation, v.Change.ReportedBy, v.Change.Number,
		time.UnixMicro(v.Change.UnixUs).Format("05.000000"))
}

// Check judges the merged histories of all processes against the rules.
func Check(lives []*ProcessIncarnation, records []*Record, excuses []Exemption) (found []Violation) {
	byProcess := map[string]*ProcessIncarnation{}
	for _, incarnation := range lives {
		byProcess[incarnation.Process] = incarnation
	}
	for _, r := range records {
		// What this observer knows of each name: its process, incarnation and state.
		seen := map[string]membership.Change{}
		replaced := map[string]bool{}
		number := uint64(0)
		for _, c := range r.Changes {
			broken := func(rule string) {
				found = append(found, Violation{rule, r.Observer, c})
			}
			if c.Number != number && c.Number != number+1 {
				broken("number")
			}
			number = c.Number
			old, known := seen[c.Name]
			if known && old.Process != c.Process {
				replaced[old.Process] = true
			}
			if replaced[c.Process] || known && endedBefore(byProcess[c.Process], byProcess[old.Process]) {
				broken("return")
			}
			if known && old.Process == c.Process {
				if c.Incarnation < old.Incarnation {
					broken("incarnation")
				}
				if old.To == membership.Left && c.To != membership.Left && c.To != "" {
					broken("leaver")
				}
			}
			if c.To == membership.Dead && isFalseDeath(byProcess[c.Process], r.Observer, c, excuses) {
				broken("false death")
			}
			seen[c.Name] = c
		}
	}
	return found
}

// before tells whether a process is known to have ended before another began.
func endedBefore(a, b *ProcessIncarnation) bool {
	return a != nil && b != nil && !a.End.IsZero() && a.End.Before(b.Start)
}

func isFalseDeath(incarnation *ProcessIncarnation, observer string, c membership.Change, excuses []Exemption) bool {
	at := time.UnixMicro(c.UnixUs)
	if incarnation == nil || !incarnation.End.IsZero() && at.After(incarnation.End) {
		return false
	}
	return !slices.ContainsFunc(excuses, func(e Exemption) bool {
		return at.After(e.From) && at.Before(e.To) && e.Pair(observer, c.Name)
	})
}

// Flaps counts, for each pair of an observer and a running member since a time, how often
// the observer came to doubt the member, and gives the most for a pair and the sum.
func Flaps(lives []*ProcessIncarnation, records []*Record, since time.Time) (most, sum int) {
	running := map[string]bool{}
	for _, incarnation := range lives {
		running[incarnation.Process] = incarnation.End.IsZero()
	}
	for _, r := range records {
		pairs := map[string]int{}
		for _, c := range r.Changes {
			if c.To == membership.Suspect && c.From == membership.Alive && running[c.Process] && time.UnixMicro(c.UnixUs).After(since) {
				pairs[c.Process]++
				sum++
				most = max(most, pairs[c.Process])
			}
		}
	}
	return most, sum
}

// Detections are the times from the ends of processes that were killed since a time until
// each process that runs saw them dead, in order; missing counts those that never did.
func DetectionTimes(lives []*ProcessIncarnation, records []*Record, since time.Time) (took []time.Duration, missing int) {
	running := map[string]bool{}
	for _, incarnation := range lives {
		running[incarnation.Process] = incarnation.End.IsZero()
	}
	for _, r := range records {
		if !running[r.Process] {
			continue
		}
		for _, incarnation := range lives {
			if incarnation.End.IsZero() || incarnation.Left || incarnation.End.Before(since) {
				continue
			}
			i := slices.IndexFunc(r.Changes, func(c membership.Change) bool {
				return c.Process == incarnation.Process && c.To == membership.Dead && time.UnixMicro(c.UnixUs).After(incarnation.End)
			})
			if i < 0 {
				missing++
			} else {
				took = append(took, time.UnixMicro(r.Changes[i].UnixUs).Sub(incarnation.End))
			}
		}
	}
	slices.Sort(took)
	return took, missing
}

// Quantile is a quantile (0 to 1) of values in order; 0 of none.
func Quantile[T time.Duration | float64](of []T, q float64) T {
	if len(of) == 0 {
		return 0
	}
	return of[min(len(of)-1, int(q*float64(len(of))))]
}

// Check judges all that the lab's processes saw so far.
func (h *Harness) Check() []Violation {
	h.collectChanges(h.Running())
	h.mu.Lock()
	defer h.mu.Unlock()
	return Check(h.incarnations, h.sortedRecords(), h.exemptions)
}

// course is what all processes saw of one, in the order of time.
func (h *Harness) timeline(process string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	type step struct {
		at   int64
		text string
	}
	var steps []step
	at := func(t time.Time) string { return t.Format("05.000000") }
	for _, incarnation := range h.incarnations {
		if incarnation.Process == process {
			steps = append(steps, step{incarnation.Start.UnixMicro(), at(incarnation.Start) + " started"})
			if !incarnation.End.IsZero() {
				steps = append(steps, step{incarnation.End.UnixMicro(), at(incarnation.End) + fmt.Sprintf(" ended, orderly: %v", incarnation.Left)})
			}
		}
	}
	for _, r := range h.records {
		for _, c := range r.Changes {
			if c.Process == process {
				steps = append(steps, step{c.UnixUs, fmt.Sprintf("%s %s/%s: %q to %q by %q, incarnation %d, draining %v, view %d",
					at(time.UnixMicro(c.UnixUs)), r.Observer, r.Process, c.From, c.To, c.ReportedBy, c.Incarnation, c.Draining, c.Number)})
			}
		}
	}
	slices.SortFunc(steps, func(a, b step) int { return int(a.at - b.at) })
	var b strings.Builder
	for _, s := range steps[max(0, len(steps)-60):] {
		fmt.Fprintln(&b, s.text)
	}
	return b.String()
}

// list are the records. The caller holds mu.
func (h *Harness) sortedRecords() (records []*Record) {
	for _, r := range h.records {
		records = append(records, r)
	}
	slices.SortFunc(records, func(a, b *Record) int { return len(b.Changes) - len(a.Changes) })
	return records
}

// Flaps and Detections are those of the lab's history since a time.
func (h *Harness) Flaps(since time.Time) (most, sum int) {
	h.collectChanges(h.Running())
	h.mu.Lock()
	defer h.mu.Unlock()
	return Flaps(h.incarnations, h.sortedRecords(), since)
}

func (h *Harness) DetectionTimes(since time.Time) ([]time.Duration, int) {
	h.collectChanges(h.Running())
	h.mu.Lock()
	defer h.mu.Unlock()
	return DetectionTimes(h.incarnations, h.sortedRecords(), since)
}
