package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"fernbeam.example/fernbeam/internal/discovery/server"
)

// silenceResolution is the resolution of the times since an agent's last call in the table.
const silenceResolution = 100 * time.Millisecond

// table returns the status as text for writeTable.
func (s *settingsStatus) table() string {
	var table strings.Builder
	fmt.Fprintf(&table, "settings of %s: newest version %d; reports of %d agents from %d of %d instances\n",
		s.service, s.version, len(s.lastReports), s.reachedInstances, s.reachedInstances+len(s.unreachable))
	for _, instance := range s.unreachable {
		fmt.Fprintf(&table, "unreachable: %s at %s: %v\n", instance.id, instance.address, instance.err)
	}
	s.addVersions(&table)
	addAgents(&table, fmt.Sprint("LACKS ", s.version), s.outdated())
	addAgents(&table, fmt.Sprintf("SILENT OVER %v", silentAfter), s.silent())
	return table.String()
}

// addVersions adds a table with the number of agents per version in force, newest version first.
func (s *settingsStatus) addVersions(table *strings.Builder) {
	agents := map[uint64]int{}
	for _, report := range s.lastReports {
		agents[report.InForce]++
	}
	table.WriteString("\nIN FORCE\tAGENTS\n")
	for _, version := range slices.Backward(slices.Sorted(maps.Keys(agents))) {
		fmt.Fprintf(table, "%s\t%d\n", versionName(version), agents[version])
	}
}

// addAgents adds a table of agents with a title, unless there are none.
func addAgents(table *strings.Builder, title string, reports []server.AgentReport) {
	if len(reports) == 0 {
		return
	}
	fmt.Fprintf(table, "\n%s\tIN FORCE\tSILENT FOR\tREJECTED\tREASON\n", title)
	for _, report := range reports {
		rejected := "-"
		if report.Rejected > report.InForce {
			rejected = fmt.Sprint(report.Rejected)
		}
		fmt.Fprintf(table, "%s\t%s\t%v\t%s\t%s\n",
			report.Agent, versionName(report.InForce), silence(report), rejected, report.Reason)
	}
}

// versionName returns the text for a version in force. Version 0 means that the agent still uses the
// settings in its configuration file.
func versionName(version uint64) string {
	if version == 0 {
		return "config file"
	}
	return fmt.Sprint(version)
}

// silence returns the rounded time since an agent's last call.
func silence(report server.AgentReport) time.Duration {
	return (time.Duration(report.SilentMs) * time.Millisecond).Round(silenceResolution)
}
