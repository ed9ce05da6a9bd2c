package dispatch

import (
	"time"

	"fernbeam.example/fernbeam/internal/balancer"
	"fernbeam.example/fernbeam/internal/clock"
	"fernbeam.example/fernbeam/internal/endpoint"
)

const (
	// maxListingDelay is how long after the start of a process the list may first name it, where discovery
	// could be reached all the time.
	maxListingDelay = 10 * time.Second
	// maxUnlistedStarts bounds the start times that are remembered of servers that are no longer listed.
	maxUnlistedStarts = 4096
)

// listOrigin is what is known of a list from discovery besides its content.
type listOrigin struct {
	// older means that its version is lower than that of the list in force.
	older bool
	// lastAnswer is when discovery responded before, on the monotonic clock: what the list names anew was not
	// listed by then. 0: it had not responded before, or the full list was asked for.
	lastAnswer time.Duration
}

// startTimeTable converts the start times of servers, which lists give by a wall clock, to event time. A
// process keeps the time that it was given when it was first listed, so a later step of a wall clock changes
// nothing that is known.
//
// Assumptions: at its first list an agent has only its own wall clock and believes it; a start in the future
// counts as now. Later a start may come from a clock that was stepped together with the agent's, or apart from
// it. Of the ages by the wall clock and by the event clock the lower one is used. An age is wrong if the
// process would have been listed at the last response, or if it is older than the process that it follows;
// then the process counts as started now, as a server that gets too little traffic for a time costs less than
// a server in slow start that gets too much. An error below maxListingDelay, in a clock that was wrong from
// the agent's start on, is not detected.
type startTimeTable struct {
	clock *eventClock
	known map[string]processStart // by the server's id
}

// processStart is the start of a server's latest process, as listed and as event time; both in ms.
type processStart struct{ startedMs, atMs float64 }

func newStartTimeTable(eventTime *eventClock) *startTimeTable {
	return &startTimeTable{clock: eventTime, known: map[string]processStart{}}
}

// resolve returns the event time at which a server's process started; 0 if that was long ago.
func (t *startTimeTable) resolve(entry *endpoint.Endpoint, origin listOrigin) float64 {
	startedMs := balancer.FiniteOrZero(entry.StartedMs)
	if startedMs == 0 {
		return 0
	}
	last, known := t.known[entry.ID]
	sameProcess := startedMs == last.startedMs || origin.older && startedMs < last.startedMs
	if known && sameProcess {
		return last.atMs
	}
	now := t.clock.nowMs()
	age := t.age(startedMs, now)
	unlistedBefore := origin.lastAnswer != 0 && now-age < t.clock.fromMonotonic(origin.lastAnswer-maxListingDelay)
	olderThanLast := known && now-age <= last.atMs
	atMs := startedMs
	switch {
	case unlistedBefore || olderThanLast:
		atMs = now
	case age != now-startedMs:
		atMs = now - age
	}
	t.known[entry.ID] = processStart{startedMs: startedMs, atMs: atMs}
	return atMs
}

// age is the lower of the ages that the two clocks give a process, in ms. A clock by which the process has yet
// to start is wrong.
func (t *startTimeTable) age(startedMs, now float64) float64 {
	byEventClock := now - startedMs
	byWallClock := clock.UnixMilliseconds(t.clock.Wall()) - startedMs
	switch {
	case byEventClock < 0:
		return max(byWallClock, 0)
	case byWallClock < 0:
		return byEventClock
	}
	return min(byEventClock, byWallClock)
}

// prune forgets the start times of servers that are no longer listed once there are too many of them. Up to
// then they are remembered, as a server may be listed again with the same process.
func (t *startTimeTable) prune(listed map[string]*listedServer) {
	if len(t.known) <= len(listed)+maxUnlistedStarts {
		return
	}
	for id := range t.known {
		if listed[id] == nil {
			delete(t.known, id)
		}
	}
}
