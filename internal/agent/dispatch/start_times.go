package dispatch

import (
	"time"

	"fernbeam.example/fernbeam/internal/balancer"
	"fernbeam.example/fernbeam/internal/clock"
	"fernbeam.example/fernbeam/internal/endpoint"
)

const (
	// maxListingDelay is the maximum time from the start of a process until it is first listed, while discovery is
	// reachable.
	maxListingDelay = 10 * time.Second
	// maxUnlistedStarts limits the start times kept for servers that are no longer listed.
	maxUnlistedStarts = 4096
)

// listOrigin describes how a list relates to earlier responses of discovery.
type listOrigin struct {
	// older is set if the list has a lower version than the list in force.
	older bool
	// lastResponseAt is the time of the previous response of discovery, on the monotonic clock. Servers that are new in
	// the list were not listed at that time. It is 0 if there was no previous response or the full list was requested.
	lastResponseAt time.Duration
}

// startTimeTable converts the start times of servers, which are listed as wall-clock times, to event time. The event
// time of a process is determined when it is first listed, so later steps of a wall clock do not change it.
//
// For its first list an agent has to trust its own wall clock. A start time in the future counts as now. Later start
// times may come from a clock that was stepped together with the agent's clock, or independently of it. Therefore the
// age of a process is computed both by the wall clock and by the event clock, and the lower age is used. That age must
// be wrong if by it the process would already have been listed in the previous response, or would be older than its
// predecessor. The process then counts as started now, because too little traffic to a server for a time costs less
// than too much traffic to a server in slow start. If a clock has been wrong by less than maxListingDelay since the
// agent's start, the error is not detected.
type startTimeTable struct {
	clock *eventClock
	known map[string]processStart // by the server's id
}

// processStart is the start time of a server's latest process, as listed and as event time, in milliseconds.
type processStart struct{ listedMs, eventMs float64 }

func newStartTimeTable(eventTime *eventClock) *startTimeTable {
	return &startTimeTable{clock: eventTime, known: map[string]processStart{}}
}

// resolve returns the event time at which a server's process started, or 0 if that was long ago. Lists use 0 for such
// start times.
func (t *startTimeTable) resolve(entry *endpoint.Endpoint, origin listOrigin) float64 {
	startedMs := balancer.FiniteOrZero(entry.StartedMs)
	if startedMs == 0 {
		return 0
	}
	last, known := t.known[entry.ID]
	sameProcess := startedMs == last.listedMs || origin.older && startedMs < last.listedMs
	if known && sameProcess {
		return last.eventMs
	}
	now := t.clock.nowMs()
	age := t.age(startedMs, now)
	unlistedBefore := origin.lastResponseAt != 0 && now-age < t.clock.fromMonotonic(origin.lastResponseAt-maxListingDelay)
	olderThanLast := known && now-age <= last.eventMs
	eventMs := startedMs
	switch {
	case unlistedBefore || olderThanLast:
		eventMs = now
	case age != now-startedMs:
		eventMs = now - age
	}
	t.known[entry.ID] = processStart{listedMs: startedMs, eventMs: eventMs}
	return eventMs
}

// age returns the lower of a process's ages by the two clocks, in milliseconds. A clock is wrong and therefore ignored
// if the start time is in its future.
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

// prune removes the start times of unlisted servers once there are more than maxUnlistedStarts of them. Until then they
// are kept, because a server may be listed again with the same process.
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
