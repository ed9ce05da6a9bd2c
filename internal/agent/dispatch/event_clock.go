package dispatch

import (
	"time"

	"fernbeam.example/fernbeam/internal/clock"
)

// eventClock is the time of the policy's events, in ms: Unix time as it was at the start of the agent, advanced
// by the monotonic clock, so that a step of the wall clock does not change it.
type eventClock struct {
	clock.Clock
	baseMs float64
	origin time.Duration // the monotonic time of baseMs
}

func newEventClock(machine clock.Clock) *eventClock {
	return &eventClock{Clock: machine, baseMs: clock.UnixMilliseconds(machine.Wall()), origin: machine.Monotonic()}
}

// fromMonotonic is the event time of a moment of the monotonic clock, in ms.
func (c *eventClock) fromMonotonic(monotonic time.Duration) float64 {
	return c.baseMs + clock.Milliseconds(monotonic-c.origin)
}

// nowMs is the event time of now, in ms.
func (c *eventClock) nowMs() float64 { return c.fromMonotonic(c.Monotonic()) }
