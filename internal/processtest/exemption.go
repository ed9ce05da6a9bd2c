package processtest

import (
	"slices"
	"time"
)

// Exemption is a period in which a rule does not apply to what some observers report about some subjects, because a
// fault separates them.
type Exemption struct {
	From, To time.Time
	// Applies reports whether the exemption is for what the observer reports about the subject. If it is nil, the
	// exemption is for all observers and subjects.
	Applies func(observer, subject string) bool
}

// Observers returns a function for Exemption.Applies that reports true if the observer is one of names, whatever the
// subject.
func Observers(names ...string) func(observer, subject string) bool {
	names = slices.Clone(names)
	return func(observer, _ string) bool { return slices.Contains(names, observer) }
}

// AppliesTo reports whether the exemption is for what the observer reports about the subject.
func (e Exemption) AppliesTo(observer, subject string) bool {
	return e.Applies == nil || e.Applies(observer, subject)
}

// Covers reports whether the exemption is for what the observer reports about the subject at the given time.
func (e Exemption) Covers(at time.Time, observer, subject string) bool {
	return at.After(e.From) && at.Before(e.To) && e.AppliesTo(observer, subject)
}

// Overlaps reports whether the exemption's period overlaps the period between from and to.
func (e Exemption) Overlaps(from, to time.Time) bool {
	return !to.Before(e.From) && from.Before(e.To)
}

// Exemptions are the exemptions that a harness has recorded.
type Exemptions = Records[Exemption]
