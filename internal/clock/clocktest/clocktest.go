// Package clocktest provides clocks for tests, whose wall clock can be stepped independently of the
// monotonic one.
package clocktest

import (
	"sync/atomic"
	"time"

	"fernbeam.example/fernbeam/internal/clock"
)

// Steps are the steps of a wall clock that all code has to tolerate: by seconds and by an hour.
var Steps = []time.Duration{-time.Hour, -5 * time.Second, 5 * time.Second, time.Hour}

// Stepped is the machine's clock with a wall clock that a test can step. It is safe for concurrent use.
type Stepped struct{ offset atomic.Int64 }

// NewStepped returns a clock whose wall clock is ahead of the machine's by an offset.
func NewStepped(offset time.Duration) *Stepped {
	s := new(Stepped)
	s.Step(offset)
	return s
}

// Step moves the wall clock forward, or back if the duration is negative.
func (s *Stepped) Step(by time.Duration) { s.offset.Add(int64(by)) }

// Wall returns the time of the stepped wall clock.
func (s *Stepped) Wall() time.Time {
	return clock.System().Wall().Add(time.Duration(s.offset.Load()))
}

// Monotonic returns the time of the machine's monotonic clock.
func (s *Stepped) Monotonic() time.Duration { return clock.System().Monotonic() }

// Manual is a clock that moves only when a test moves it. It is not safe for concurrent use.
type Manual struct {
	wall    time.Time
	elapsed time.Duration
}

// NewManual returns a clock whose wall clock shows a time of day.
func NewManual(wall time.Time) *Manual { return &Manual{wall: wall, elapsed: time.Second} }

// Advance moves both clocks forward.
func (m *Manual) Advance(by time.Duration) {
	m.wall = m.wall.Add(by)
	m.elapsed += by
}

// Step moves the wall clock only.
func (m *Manual) Step(by time.Duration) { m.wall = m.wall.Add(by) }

// Wall returns the time of the wall clock.
func (m *Manual) Wall() time.Time { return m.wall }

// Monotonic returns the time of the monotonic clock.
func (m *Manual) Monotonic() time.Duration { return m.elapsed }
