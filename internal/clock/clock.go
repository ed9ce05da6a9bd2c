// Package clock provides a machine's wall clock and monotonic clock. The wall clock returns the time of
// day and may be stepped at any time, forward or back. The monotonic clock measures the time elapsed since
// an arbitrary origin and is never stepped. Deadlines, waits and ages are measured with the monotonic
// clock; the wall clock is only read for times that are shown to people or compared with the wall clocks
// of other machines.
package clock

import "time"

// Clock provides the clocks of one machine. Implementations are safe for concurrent use unless they say
// otherwise.
type Clock interface {
	// Wall returns the time of day, without a monotonic clock reading.
	Wall() time.Time
	// Monotonic returns the time elapsed since an arbitrary origin in the past. It is positive and never
	// decreases.
	Monotonic() time.Duration
}

// System returns the Clock of this machine.
func System() Clock { return system{} }

// system implements Clock with the clocks of this machine.
type system struct{}

// origin is the origin of Monotonic. It has a monotonic clock reading, which time.Since uses.
var origin = time.Now().Add(-time.Second)

// Wall implements Clock. Rounding strips the monotonic clock reading.
func (system) Wall() time.Time { return time.Now().Round(0) }

// Monotonic implements Clock.
func (system) Monotonic() time.Duration { return time.Since(origin) }
