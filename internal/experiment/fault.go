package experiment

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"

	"fernbeam.example/fernbeam/internal/emulator"
)

// FaultKind is what a fault does. Scenarios name the kinds by these texts.
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

// faultEffect is what a kind of fault does. Either trafficChange or inject is set.
type faultEffect struct {
	description string // how it uses the keys of a scenario
	needsZone   bool
	// trafficChange returns how a fault changes the traffic.
	trafficChange func(Fault) emulator.TrafficChange
	// inject injects a fault and returns when it is over.
	inject func(*armRun, Fault, *rand.Rand) error
}

// faultEffects has the effect of each kind.
var faultEffects = map[FaultKind]faultEffect{
	faultKillAgents: {
		description: "SIGKILL to a share at the same moment; they start again after back",
		inject:      (*armRun).killAgents,
	},
	faultRestartAgents: {
		description: "SIGTERM and a start, a batch of a share at a time, spread over for",
		inject:      (*armRun).restartAgents,
	},
	faultPauseAgents: {
		description: "SIGSTOP for a share, SIGCONT after for",
		inject:      (*armRun).pauseAgents,
	},
	faultPartitionAgents: {
		description: "a share is partitioned from all other agents for a time; needs arms with a fleet",
		inject:      (*armRun).partitionAgents,
	},
	faultMessageLoss: {
		description: "a part (size) of the messages between agents is lost for a time",
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
		description: "a share fails a part (size) of its requests at once for a time",
		inject: func(r *armRun, fault Fault, random *rand.Rand) error {
			return r.degradeServers(fault, random, emulator.ServerFault{SlowFactor: 1, FailureRate: fault.Magnitude})
		},
	},
	faultHungServers: {
		description: "a share computes nothing for a time",
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
		description: "a share ends at the same moment; successors start after back, with slow start",
		inject: func(r *armRun, fault Fault, random *rand.Rand) error {
			ids := r.sampleServers(fault, random)
			r.emulator.KillServers(fault.RestartAfter, ids...)
			return nil
		},
	},
	faultReplaceServers: {
		description: "a share is drained (for drain) and replaced by servers in slow start, a batch of it at a time," +
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
		description: "traffic is size times as much for a time",
		trafficChange: func(fault Fault) emulator.TrafficChange {
			return emulator.TrafficChange{From: fault.At, To: fault.At + fault.Duration, RateFactor: fault.Magnitude}
		},
	},
	faultHotKey: {
		description: "a share of the requests has the same key for a time",
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
		description: "discovery does not answer for a time",
		inject: func(r *armRun, fault Fault, _ *rand.Rand) error {
			r.emulator.SetDiscoveryUnavailable(true)
			r.wait(fault.Duration)
			r.emulator.SetDiscoveryUnavailable(false)
			return nil
		},
	},
}

// FaultDescription says how a kind of fault uses the keys of a scenario.
type FaultDescription struct {
	Kind        FaultKind
	Description string
}

// FaultDescriptions returns the descriptions of all kinds, in alphabetical order of the kinds.
func FaultDescriptions() (descriptions []FaultDescription) {
	for _, kind := range slices.Sorted(maps.Keys(faultEffects)) {
		descriptions = append(descriptions, FaultDescription{kind, faultEffects[kind].description})
	}
	return descriptions
}
