package configtest

import (
	"fernbeam.example/fernbeam/internal/processtest"
)

const (
	// replicas is the value of replicasOfMe in the agents' settings.
	replicas = 12
	// fileMarker is the marker of the settings in the agents' files.
	fileMarker = 3
	// firstMarker is below the markers of all changes.
	firstMarker = 1000
	// slowStartMs is the value of the key that the first change lacks.
	slowStartMs = 8000
)

// settings returns settings that all agents accept. The marker of a change is its maximum number of attempts, which an
// agent logs for the settings that it puts in force.
func settings(marker int) processtest.AgentSettings {
	return processtest.AgentSettings{Agents: replicas, MaxAttempts: marker, SlowStartMs: slowStartMs}
}

// hasSlowStartInFile reports whether the file of the agent with the given number has the key that the first change
// lacks. The files of every second agent have it.
func hasSlowStartInFile(number int) bool {
	const every = 2
	return number%every == 1
}

// settingsWithoutSlowStart returns settings without a key that every second agent has in its file. Those agents reject
// the settings.
func settingsWithoutSlowStart(marker int) processtest.AgentSettings {
	without := settings(marker)
	without.SlowStartMs = 0
	return without
}
