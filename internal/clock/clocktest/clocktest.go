// Package clocktest has clocks for tests, whose wall clock can be stepped apart from the monotonic one.
package clocktest

import (
	"sync/atomic"
	"time"

	"fernbeam.example/fernbeam/internal/clock"
)

// Steps are the steps of a wall clock that everything has to bear: by seconds and by an hour.
var Steps = []time.Duration{-time.Hour, -5 * time.Second, 5 * time.Second, time.Hour}

// Stepped is the machine's clock with a wall clock that a test steps.
type Stepped struct{ offset atomic.Int64 }

// NewStepped returns a clock whose wall clock is ahead of the machine's by offset.
func NewStepped(offset time.Duration) *Stepped {
	s := new(Stepped)
	s.Step(offset)
	return s
}

// Step moves the wall clock by some time, forward or back.
func (s *Stepped) Step(by time.Duration) { s.offset.Add(int64(by)) }

// Wall is the wall clock.
func (s *Stepped) Wall() time.Time {
	return clock.System().Wall().Add(time.Duration(s.offset.Load()))
}

// Monotonic is the machine's monotonic clock.
func (s *Stepped) Monotonic() time.Duration { return clock.System().Monotonic() }

// Manual is a clock that stands still but for what a test lets pass. It is not safe for concurrent use.
type Manual struct {
	wall    time.Time
	elapsed time.Duration
}

// NewManual returns a clock at some time of day.
func NewManual(wall time.Time) *Manual { return &Manual{wall: wall, elapsed: time.Second} }

// Pass lets time pass on both clocks.
func (m *Manual) Advance(by time.Duration) { m.wall, m.elapsed = m.wall.Add(by), m.elapsed+by }

// Step moves the wall clock alone.
func (m *Manual) Step(by time.Duration) { m.wall = m.wall.Add(by) }

// Wall is the wall clock.
func (m *Manual) Wall() time.Time { return m.wall }

// Monotonic is the monotonic clock.
func (m *Manual) Monotonic() time.Duration { return m.elapsed }
