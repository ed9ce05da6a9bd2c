// Package clock reads the two clocks of a machine. The wall clock shows the time of day and may be
// stepped at any time, forward or back. The monotonic clock measures elapsed time from an arbitrary
// origin and is never stepped. Durations (deadlines, waits, ages) are measured with the monotonic
// clock; the wall clock is read only for times that are shown to people or compared with other
// machines' wall clocks.
package clock

import "time"

// Clock provides the clocks of one machine. It is safe for concurrent use.
type Clock interface {
	// Wall returns the time of day. It has no monotonic reading.
	Wall() time.Time
	// Monotonic returns the time since an arbitrary origin in the past. It is above zero and never
	// decreases.
	Monotonic() time.Duration
}

// System returns the clocks of this machine.
func System() Clock { return system{} }

// system is the Clock of this machine.
type system struct{}

// origin is that of Monotonic. It has a monotonic reading, which time.Since uses.
var origin = time.Now().Add(-time.Second)

// Wall returns the machine's wall clock.
func (system) Wall() time.Time { return time.Now().Round(0) }

// Monotonic returns the time since origin.
func (system) Monotonic() time.Duration { return time.Since(origin) }
