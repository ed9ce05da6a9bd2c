// Package clock reads the two clocks of a machine. The wall clock tells the time of day, and may be
// stepped at any time, forward or back. The monotonic clock counts real time from an arbitrary
// moment and never steps. Spans of time (deadlines, waits, ages) are taken from the monotonic clock;
// the wall clock is read only for what is told to people or compared with other machines' wall clocks.
package clock

import "time"

// Clock reads the clocks of one machine. It is safe for concurrent use.
type Clock interface {
	// Wall is the time of day. It carries no monotonic reading.
	Wall() time.Time
	// Monotonic is the time since an arbitrary moment of the past. It is above zero and never
	// decreases.
	Monotonic() time.Duration
}

// System returns the clocks of this machine.
func System() Clock { return system{} }

type system struct{}

// origin has a monotonic reading, which time.Since uses.
var origin = time.Now().Add(-time.Second)

func (system) Wall() time.Time { return time.Now().Round(0) }

func (system) Monotonic() time.Duration { return time.Since(origin) }
