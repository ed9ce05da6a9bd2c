package experiment

import (
	"errors"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"fernbeam.example/fernbeam/internal/emulator"
	"fernbeam.example/fernbeam/internal/faultproxy"
	"fernbeam.example/fernbeam/internal/processtest"
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

// agentPartition is the name of the partition that partitionAgents makes.
const agentPartition = "agents"

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
			return r.degradeServers(fault, random, fault.Magnitude, 0)
		},
	},
	faultFailingServers: {
		description: "a share fails a part (size) of its requests at once for a time",
		inject: func(r *armRun, fault Fault, random *rand.Rand) error {
			return r.degradeServers(fault, random, 1, fault.Magnitude)
		},
	},
	faultHungServers: {
		description: "a share computes nothing for a time",
		inject: func(r *armRun, fault Fault, random *rand.Rand) error {
			return r.degradeServers(fault, random, math.Inf(1), 0)
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

// zoneIndex returns the index of a zone.
func (r *armRun) zoneIndex(name string) int { return slices.Index(r.scenario.Fleet.Zones, name) }

// allZones returns the indexes of all zones.
func (r *armRun) allZones() (zones []int) {
	for zone := range r.scenario.Fleet.Zones {
		zones = append(zones, zone)
	}
	return zones
}

// degradeServers makes a share of the servers slower by a factor, and lets a fraction of their requests fail.
func (r *armRun) degradeServers(fault Fault, random *rand.Rand, slowFactor, failureRate float64) error {
	ids := r.sampleServers(fault, random)
	r.emulator.SetServerFault(max(1, slowFactor), failureRate, ids...)
	r.wait(fault.Duration)
	r.emulator.SetServerFault(1, 0, ids...)
	return nil
}

// partitionServers partitions servers from the agents of some zones for a time.
func (r *armRun) partitionServers(fault Fault, ids []string, agentZones []int) error {
	r.emulator.PartitionServers(agentZones, ids...)
	r.wait(fault.Duration)
	r.emulator.HealServers(agentZones, ids...)
	return nil
}

// replaceServers replaces a share of the servers, a batch at a time.
func (r *armRun) replaceServers(fault Fault, random *rand.Rand) error {
	ids := r.sampleServers(fault, random)
	size, interval := batches(fault, len(ids))
	for batch := range slices.Chunk(ids, size) {
		if err := r.emulator.ReplaceServers(fault.DrainTime, batch...); err != nil {
			return err
		}
		r.wait(interval)
	}
	return nil
}

// batches returns the size of a fault's batches and the time from one to the next.
func batches(fault Fault, count int) (size int, interval time.Duration) {
	size = shareOf(fault.Batch, count)
	number := (count + size - 1) / size
	return size, fault.Duration / time.Duration(number)
}

// sampleServers draws a fault's share of the servers of all zones.
func (r *armRun) sampleServers(fault Fault, random *rand.Rand) []string {
	return sampleShare(random, r.emulator.ServerIDs(emulator.AllZones), fault.Share)
}

// sampleShare draws a share of names, at least one.
func sampleShare(random *rand.Rand, names []string, share float64) []string {
	names = slices.Clone(names)
	random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names[:min(len(names), shareOf(share, len(names)))]
}

// shareOf returns how many of a number a share is, rounded half up and at least one.
func shareOf(share float64, count int) int {
	const half = 0.5
	return max(1, int(share*float64(count)+half))
}

// killAgents kills a share of the agents and starts them again after a time.
func (r *armRun) killAgents(fault Fault, random *rand.Rand) error {
	names := sampleShare(random, r.names, fault.Share)
	for _, name := range names {
		r.emulator.AgentStopped(name)
	}
	if err := processtest.Each(names, r.procs.Kill); err != nil {
		return err
	}
	r.wait(fault.RestartAfter)
	return processtest.Each(names, r.start)
}

// restartAgents terminates and starts a share of the agents, a batch at a time.
func (r *armRun) restartAgents(fault Fault, random *rand.Rand) error {
	names := sampleShare(random, r.names, fault.Share)
	size, interval := batches(fault, len(names))
	for part := range slices.Chunk(names, size) {
		began := time.Now()
		if err := processtest.Each(part, r.restartAgent); err != nil {
			return err
		}
		r.wait(interval - time.Since(began))
	}
	return nil
}

// restartAgent terminates an agent and starts it again.
func (r *armRun) restartAgent(name string) error {
	return errors.Join(r.procs.Term(name), r.start(name))
}

// pauseAgents stops the processes of a share of the agents for a time.
func (r *armRun) pauseAgents(fault Fault, random *rand.Rand) error {
	names := sampleShare(random, r.names, fault.Share)
	if err := processtest.Each(names, r.procs.Pause); err != nil {
		return err
	}
	r.wait(fault.Duration)
	return processtest.Each(names, r.procs.Resume)
}

// partitionAgents partitions each of a share of the agents from all others for a time.
func (r *armRun) partitionAgents(fault Fault, random *rand.Rand) error {
	if r.proxy == nil {
		return nil // the agents have no connections anyway
	}
	isolated := sampleShare(random, r.names, fault.Share)
	var groups [][]string
	for _, name := range isolated {
		groups = append(groups, []string{name})
	}
	rest := slices.DeleteFunc(slices.Clone(r.names), func(n string) bool { return slices.Contains(isolated, n) })
	r.proxy.Partition(agentPartition, append(groups, rest)...)
	r.wait(fault.Duration)
	r.proxy.Heal(agentPartition)
	return nil
}

// loseMessages drops a part of the messages between agents for a time.
func (r *armRun) loseMessages(fault Fault, _ *rand.Rand) error {
	if r.proxy == nil {
		return nil
	}
	r.proxy.SetAll(faultproxy.Rule{Loss: fault.Magnitude})
	r.wait(fault.Duration)
	r.proxy.SetAll(faultproxy.Rule{})
	return nil
}
