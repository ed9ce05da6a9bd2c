package agent

import (
	"math"

	"fernbeam.example/fernbeam/internal/membership"
)

// Status is what an agent has counted and knows.
type Status struct {
	// Fleet is the view; nil: there is none.
	Fleet *membership.Status
	// ListVersion is the list's that is in force, and Servers what it lists.
	ListVersion uint64
	Servers     int
	// SettingsVersion is the settings' that are in force; 0: they came from a file.
	SettingsVersion uint64
	// ListIn and ListOut are bytes of calls to discovery, their heads counted, and ListCalls the
	// calls, since the start.
	ListIn, ListOut, ListCalls uint64
}

// Status tells the agent's counts; it never waits for its work.
func (a *Agent) Status() Status {
	n, l := &a.eventLoop.discovery.counters, &a.eventLoop.published
	s := Status{ListVersion: l.listVersion.Load(), Servers: int(l.servers.Load()),
		SettingsVersion: l.settingsVersion.Load(),
		ListIn:          n.bytesIn.Load(), ListOut: n.bytesOut.Load(), ListCalls: n.calls.Load()}
	if view := a.membership.Load(); view != nil {
		status := view.Status(math.MaxUint64)
		s.Fleet = &status
	}
	return s
}
