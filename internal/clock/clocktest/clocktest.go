// Package clocktest provides clocks for tests. Their wall clocks can be stepped independently of their
// monotonic clocks.
package clocktest

import (
	"sync/atomic"
	"time"

	"fernbeam.example/fernbeam/internal/clock"
)

// Steps are the wall clock steps that all code has to tolerate.
var Steps = []time.Duration{-time.Hour, -5 * time.Second, 5 * time.Second, time.Hour}

// Stepped is the machine's clock with an adjustable offset on its wall clock. It is safe for concurrent use.
type Stepped struct{ offset atomic.Int64 }

// NewStepped returns a clock whose wall clock is ahead of the machine's by the offset.
func NewStepped(offset time.Duration) *Stepped {
	s := new(Stepped)
	s.Step(offset)
	return s
}

// Step steps the wall clock forward, or back if the duration is negative.
func (s *Stepped) Step(by time.Duration) { s.offset.Add(int64(by)) }

// Wall returns the machine's wall clock time plus the offset.
func (s *Stepped) Wall() time.Time {
	return clock.System().Wall().Add(time.Duration(s.offset.Load()))
}

// Monotonic returns the machine's monotonic clock time.
func (s *Stepped) Monotonic() time.Duration { return clock.System().Monotonic() }

// Manual is a clock that only a test advances. It is not safe for concurrent use.
type Manual struct {
	wall    time.Time
	elapsed time.Duration
}

// NewManual returns a clock with the given wall clock time.
func NewManual(wall time.Time) *Manual { return &Manual{wall: wall, elapsed: time.Second} }

// Advance advances both clocks.
func (m *Manual) Advance(by time.Duration) {
	m.wall = m.wall.Add(by)
	m.elapsed += by
}

// Step steps the wall clock without changing the monotonic clock.
func (m *Manual) Step(by time.Duration) { m.wall = m.wall.Add(by) }

// Wall returns the wall clock time.
func (m *Manual) Wall() time.Time { return m.wall }

// Monotonic returns the monotonic clock time.
func (m *Manual) Monotonic() time.Duration { return m.elapsed }
