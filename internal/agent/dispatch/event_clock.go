package dispatch

import (
	"time"

	"fernbeam.example/fernbeam/internal/clock"
)

// eventClock provides event time, the time scale of the policy's events, in milliseconds. Event time is the Unix time
// at the agent's start, advanced by the monotonic clock, so that later steps of the wall clock have no effect on it.
type eventClock struct {
	clock.Clock
	baseMs float64
	origin time.Duration // monotonic time at baseMs
}

func newEventClock(machine clock.Clock) *eventClock {
	return &eventClock{Clock: machine, baseMs: clock.UnixMilliseconds(machine.Wall()), origin: machine.Monotonic()}
}

// fromMonotonic converts a time of the monotonic clock to event time, in milliseconds.
func (c *eventClock) fromMonotonic(monotonic time.Duration) float64 {
	return c.baseMs + clock.Milliseconds(monotonic-c.origin)
}

// nowMs returns the current event time in milliseconds.
func (c *eventClock) nowMs() float64 { return c.fromMonotonic(c.Monotonic()) }
