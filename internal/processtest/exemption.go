package processtest

import (
	"slices"
	"time"
)

// Exemption is a time in which a rule does not apply to what some observers report of some subjects, as a fault keeps
// them apart.
type Exemption struct {
	From, To time.Time
	// Applies tells for which observers and subjects; nil: for all.
	Applies func(observer, subject string) bool
}

// Observers returns the condition of an exemption for some observers, whatever the subject.
func Observers(names ...string) func(observer, subject string) bool {
	names = slices.Clone(names)
	return func(observer, _ string) bool { return slices.Contains(names, observer) }
}

// AppliesTo tells whether the exemption is for what an observer reports of a subject.
func (e Exemption) AppliesTo(observer, subject string) bool {
	return e.Applies == nil || e.Applies(observer, subject)
}

// Covers tells whether an observer is exempt, at a time, for what it reports of a subject.
func (e Exemption) Covers(at time.Time, observer, subject string) bool {
	return at.After(e.From) && at.Before(e.To) && e.AppliesTo(observer, subject)
}

// Overlaps tells whether the exemption has a part of the time from one moment to another.
func (e Exemption) Overlaps(from, to time.Time) bool {
	return !to.Before(e.From) && from.Before(e.To)
}

// Exemptions are the exemptions of a harness.
type Exemptions = Records[Exemption]
