package agent

import (
	"time"

	"fernbeam.example/fernbeam/internal/clock"
)

// loopClock is the time of the module's events, in ms: Unix time as it was at the start, advanced by
// the monotonic clock.
type eventClock struct {
	clock.Clock
	baseMs float64
	origin time.Duration
}

func newEventClock(c clock.Clock) *eventClock {
	return &eventClock{Clock: c, baseMs: unixMilliseconds(c.Wall()), origin: c.Monotonic()}
}

// at is the time of a moment of the monotonic clock.
func (c *eventClock) fromMonotonic(monotonic time.Duration) float64 {
	return c.baseMs + float64((monotonic-c.origin).Microseconds())/1000
}

func (c *eventClock) nowMs() float64 { return c.fromMonotonic(c.Monotonic()) }

func unixMilliseconds(t time.Time) float64 { return float64(t.UnixMicro()) / 1000 }
