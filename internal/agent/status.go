package agent

import (
	"math"

	"fernbeam.example/fernbeam/internal/membership"
)

// Status is a snapshot of what an agent knows and has counted.
type Status struct {
	// Fleet is the membership view; nil: there is none.
	Fleet *membership.Status
	// ListVersion is the version of the endpoint list in force, and Servers the number of servers in it.
	ListVersion uint64
	Servers     int
	// SettingsVersion is the version of the settings in force; 0: they came from a file.
	SettingsVersion uint64
	// ListIn and ListOut are the bytes of calls to discovery, their heads included, and ListCalls the calls,
	// since the start.
	ListIn, ListOut, ListCalls uint64
}

// Status returns the agent's status; it never waits for the agent's work.
func (a *Agent) Status() Status {
	counters := &a.loop.discovery.counters
	published := &a.loop.published
	status := Status{
		ListVersion:     published.listVersion.Load(),
		Servers:         int(published.servers.Load()),
		SettingsVersion: published.settingsVersion.Load(),
		ListIn:          counters.bytesIn.Load(),
		ListOut:         counters.bytesOut.Load(),
		ListCalls:       counters.calls.Load(),
	}
	if member := a.membership.Load(); member != nil {
		fleet := member.Status(math.MaxUint64)
		status.Fleet = &fleet
	}
	return status
}
