package experiment

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"

	"fernbeam.example/fernbeam/internal/emulator"
)

// FaultKind is the kind of a fault, as written in scenario files.
type FaultKind string

// The kinds of faults.
const (
	faultKillAgents       FaultKind = "kill agents"
	faultRestartAgents    FaultKind = "restart agents"
	faultPauseAgents      FaultKind = "pause agents"
	faultPartitionAgents  FaultKind = "deaf agents"
	faultMessageLoss      FaultKind = "lossy agents"
	faultSlowServers      FaultKind = "slow nodes"
	faultFailingServers   FaultKind = "failing nodes"
	faultHungServers      FaultKind = "standing nodes"
	faultPartitionServers FaultKind = "silent nodes"
	faultKillServers      FaultKind = "kill nodes"
	faultReplaceServers   FaultKind = "release"
	faultZoneFailure      FaultKind = "zone lost"
	faultZonePartition    FaultKind = "zone cut"
	faultBurst            FaultKind = "burst"
	faultHotKey           FaultKind = "hot key"
	faultDiscoveryOutage  FaultKind = "list down"
)

// faultEffect implements a kind of fault. Exactly one of trafficChange and inject is set.
type faultEffect struct {
	description string // how the kind uses the keys of a fault in a scenario
	needsZone   bool
	// trafficChange returns the change to the traffic that a fault makes.
	trafficChange func(Fault) emulator.TrafficChange
	// inject injects a fault and returns when the fault is over.
	inject func(*armRun, Fault, *rand.Rand) error
}

// faultEffects maps each kind to its effect.
var faultEffects = map[FaultKind]faultEffect{
	faultKillAgents: {
		description: "SIGKILL to a share at the same time; the agents are started again after back",
		inject:      (*armRun).killAgents,
	},
	faultRestartAgents: {
		description: "SIGTERM to a share and a new start, in batches spread over for",
		inject:      (*armRun).restartAgents,
	},
	faultPauseAgents: {
		description: "SIGSTOP to a share, SIGCONT after for",
		inject:      (*armRun).pauseAgents,
	},
	faultPartitionAgents: {
		description: "a share is partitioned from all other agents for a time; only in arms with fleet = true",
		inject:      (*armRun).partitionAgents,
	},
	faultMessageLoss: {
		description: "a fraction (size) of the messages between agents is lost for a time",
		inject:      (*armRun).loseMessages,
	},
	faultSlowServers: {
		description: "a share is size times slower for a time",
		inject: func(r *armRun, fault Fault, random *rand.Rand) error {
			slowFactor := max(1, fault.Magnitude)
			return r.degradeServers(fault, random, emulator.ServerFault{SlowFactor: slowFactor})
		},
	},
	faultFailingServers: {
		description: "a share fails a fraction (size) of its requests immediately for a time",
		inject: func(r *armRun, fault Fault, random *rand.Rand) error {
			return r.degradeServers(fault, random, emulator.ServerFault{SlowFactor: 1, FailureRate: fault.Magnitude})
		},
	},
	faultHungServers: {
		description: "a share hangs for a time: its requests make no progress",
		inject: func(r *armRun, fault Fault, random *rand.Rand) error {
			return r.degradeServers(fault, random, emulator.ServerFault{SlowFactor: math.Inf(1)})
		},
	},
	faultPartitionServers: {
		description: "a share is partitioned from all agents for a time",
		inject: func(r *armRun, fault Fault, random *rand.Rand) error {
			return r.partitionServers(fault, r.sampleServers(fault, random), r.allZones())
		},
	},
	faultKillServers: {
		description: "a share is killed at the same time; replacements start after back, in slow start",
		inject: func(r *armRun, fault Fault, random *rand.Rand) error {
			ids := r.sampleServers(fault, random)
			r.emulator.KillServers(fault.RestartAfter, ids...)
			return nil
		},
	},
	faultReplaceServers: {
		description: "a share is drained (for drain) and replaced by servers in slow start, in batches" +
			" spread over for",
		inject: (*armRun).replaceServers,
	},
	faultZoneFailure: {
		description: "a zone's servers are partitioned for a time, then replaced by servers in slow start",
		needsZone:   true,
		inject: func(r *armRun, fault Fault, _ *rand.Rand) error {
			ids := r.emulator.ServerIDs(r.zoneIndex(fault.Zone))
			err := r.partitionServers(fault, ids, r.allZones())
			r.emulator.KillServers(0, ids...)
			return err
		},
	},
	faultZonePartition: {
		description: "a zone's servers are partitioned from the agents of other zones for a time",
		needsZone:   true,
		inject: func(r *armRun, fault Fault, _ *rand.Rand) error {
			zone := r.zoneIndex(fault.Zone)
			otherZones := slices.DeleteFunc(r.allZones(), func(z int) bool { return z == zone })
			return r.partitionServers(fault, r.emulator.ServerIDs(zone), otherZones)
		},
	},
	faultBurst: {
		description: "the request rate is multiplied by size for a time",
		trafficChange: func(fault Fault) emulator.TrafficChange {
			return emulator.TrafficChange{From: fault.At, To: fault.At + fault.Duration, RateFactor: fault.Magnitude}
		},
	},
	faultHotKey: {
		description: "a share of the requests uses the same key for a time",
		trafficChange: func(fault Fault) emulator.TrafficChange {
			return emulator.TrafficChange{
				From:        fault.At,
				To:          fault.At + fault.Duration,
				RateFactor:  1,
				HotKeyShare: fault.Share,
			}
		},
	},
	faultDiscoveryOutage: {
		description: "discovery is unavailable for a time",
		inject: func(r *armRun, fault Fault, _ *rand.Rand) error {
			r.emulator.SetDiscoveryUnavailable(true)
			r.wait(fault.Duration)
			r.emulator.SetDiscoveryUnavailable(false)
			return nil
		},
	},
}

// FaultDescription describes how a kind of fault uses the keys of a fault in a scenario.
type FaultDescription struct {
	Kind        FaultKind
	Description string
}

// FaultDescriptions returns the descriptions of all kinds, sorted by kind.
func FaultDescriptions() (descriptions []FaultDescription) {
	for _, kind := range slices.Sorted(maps.Keys(faultEffects)) {
		descriptions = append(descriptions, FaultDescription{kind, faultEffects[kind].description})
	}
	return descriptions
}
