package agent

import (
	"time"

	"fernbeam.example/fernbeam/internal/balancer"
)

const (
	// listingDelay is how long after the start of a process a change of the list may be told that
	// names it, where discovery could be reached all the time.
	maxListingDelay = 10 * time.Second
	// maxUnlistedStarts bounds the starts that are remembered of backends that are listed no more.
	maxUnlistedStarts = 4096
)

// listing is what is known of a list that discovery told, beside what it says.
type listContext struct {
	// older tells that its version is lower than that of the list in force.
	older bool
	// after is when discovery last answered before: what the list tells anew was not listed by then.
	// 0: it had not answered before, or all that it has was asked for.
	lastAnswer time.Duration
}

// startTimes turns the starts of backends, which lists tell by a wall clock, into times of the
// loop's clock. Each process keeps the time that it was given when it was first told, so that a step
// of a wall clock changes nothing of what is known.
//
// What is assumed: at its first list an agent has nothing but its own wall clock, and believes it; a
// start ahead of it is one of now. Later a start may have been told by a clock that was stepped
// along with the agent's, or apart from it. The younger of the ages that the wall clock now and the
// loop's clock give is taken. One that is too old for a process that was not listed at the last answer is
// wrong, and so is one older than the process that it follows: then the process counts as started now,
// as a backend that gets too little for a time costs less than a cold one that gets too much. An
// error of less than listingDelay, in a clock that was wrong from the agent's start on, isn't seen.
type startTimeTable struct {
	clock *eventClock
	known map[string]processStart // by the backend's id
}

// processStart is the start of a backend's latest process, as told and as a time of the loop's clock.
type processStart struct{ startedMs, atMs float64 }

func newStartTimeTable(c *eventClock) *startTimeTable {
	return &startTimeTable{clock: c, known: map[string]processStart{}}
}

// resolve returns the start of a backend's process; 0 if it was long ago.
func (s *startTimeTable) resolve(t *Target, told listContext) float64 {
	startedMs := balancer.Finite(t.StartedMs)
	if startedMs == 0 {
		return 0
	}
	last, known := s.known[t.ID]
	if known && (startedMs == last.startedMs || told.older && startedMs < last.startedMs) {
		return last.atMs
	}
	now := s.clock.nowMs()
	at := startedMs
	switch age := s.age(startedMs, now); {
	case told.lastAnswer != 0 && now-age < s.clock.fromMonotonic(told.lastAnswer-maxListingDelay), known && now-age <= last.atMs:
		at = now
	case age != now-startedMs:
		at = now - age
	}
	s.known[t.ID] = processStart{startedMs, at}
	return at
}

// age is the least age that the two clocks give a process. A clock by which it is yet to start is wrong.
func (s *startTimeTable) age(startedMs, now float64) float64 {
	byLoop, byWall := now-startedMs, unixMilliseconds(s.clock.Wall())-startedMs
	switch {
	case byLoop < 0:
		return max(byWall, 0)
	case byWall < 0:
		return byLoop
	}
	return min(byLoop, byWall)
}

// prune forgets the starts of backends that are listed no more, where those are too many. Some are
// kept, as a backend may be listed again with the same process.
func (s *startTimeTable) prune(listed map[string]*upstreamServer) {
	if len(s.known) <= len(listed)+maxUnlistedStarts {
		return
	}
	for id := range s.known {
		if listed[id] == nil {
			delete(s.known, id)
		}
	}
}
