package configtest

import (
	"fernbeam.example/fernbeam/internal/processtest"
)

const (
	// replicas is the agents' replicasOfMe.
	replicas = 12
	// fileMarker is the marker of the settings in the agents' files, firstMarker is below those of all changes.
	fileMarker  = 3
	firstMarker = 1000
	// slowStartMs is the value of the key that the first change leaves out.
	slowStartMs = 8000
)

// settings returns settings that agents take. The marker of a change is its number of attempts: agents log that of
// settings that they have put in force.
func settings(marker int) processtest.AgentSettings {
	return processtest.AgentSettings{Agents: replicas, MaxAttempts: marker, SlowStartMs: slowStartMs}
}

// hasSlowStartInFile tells whether the agent of a number has the key in its file that the first change leaves out:
// every second one does.
func hasSlowStartInFile(number int) bool {
	const every = 2
	return number%every == 1
}

// settingsWithoutSlowStart returns settings without a key that every second agent has in its file: those agents
// reject them.
func settingsWithoutSlowStart(marker int) processtest.AgentSettings {
	without := settings(marker)
	without.SlowStartMs = 0
	return without
}
