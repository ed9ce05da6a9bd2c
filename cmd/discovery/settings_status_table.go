package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"fernbeam.example/fernbeam/internal/discovery/server"
)

// silenceResolution is that of the times shown.
const silenceResolution = 100 * time.Millisecond

// table returns the status as text for writeTable.
func (s *settingsStatus) table() string {
	var table strings.Builder
	fmt.Fprintf(&table, "settings of %s: newest version %d; %d agents heard by %d of %d instances\n",
		s.service, s.version, len(s.agents), s.reached, s.reached+len(s.unreachable))
	for _, instance := range s.unreachable {
		fmt.Fprintf(&table, "not reached: %s at %s: %v\n", instance.id, instance.address, instance.err)
	}
	s.addVersions(&table)
	addAgents(&table, fmt.Sprint("LACKS ", s.version), s.lacking())
	addAgents(&table, fmt.Sprintf("SILENT OVER %v", silentAfter), s.silent())
	return table.String()
}

// addVersions adds the number of agents that have each version in force, the newest first.
func (s *settingsStatus) addVersions(table *strings.Builder) {
	agents := map[uint64]int{}
	for _, report := range s.agents {
		agents[report.InForce]++
	}
	table.WriteString("\nIN FORCE\tAGENTS\n")
	for _, version := range slices.Backward(slices.Sorted(maps.Keys(agents))) {
		fmt.Fprintf(table, "%s\t%d\n", versionName(version), agents[version])
	}
}

// addAgents adds a table of agents under a title, if there are any.
func addAgents(table *strings.Builder, title string, reports []server.AgentReport) {
	if len(reports) == 0 {
		return
	}
	fmt.Fprintf(table, "\n%s\tIN FORCE\tSILENT FOR\tREFUSED\tWHY\n", title)
	for _, report := range reports {
		rejected := "-"
		if report.Rejected > report.InForce {
			rejected = fmt.Sprint(report.Rejected)
		}
		fmt.Fprintf(table, "%s\t%s\t%v\t%s\t%s\n",
			report.Agent, versionName(report.InForce), silence(report), rejected, report.Reason)
	}
}

// versionName names a version in force. Agents that have none of the service's settings yet run
// with those of their configuration file.
func versionName(version uint64) string {
	if version == 0 {
		return "its file's"
	}
	return fmt.Sprint(version)
}

// silence is the time since an agent's last call.
func silence(report server.AgentReport) time.Duration {
	return (time.Duration(report.SilentMs) * time.Millisecond).Round(silenceResolution)
}
