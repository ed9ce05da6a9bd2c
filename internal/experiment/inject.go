package experiment

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"fernbeam.example/fernbeam/internal/emulator"
	"fernbeam.example/fernbeam/internal/faultproxy"
	"fernbeam.example/fernbeam/internal/processtest"
)

// agentPartition is the name of the partition that partitionAgents creates.
const agentPartition = "agents"

// zoneIndex returns the index of the zone with a name.
func (r *armRun) zoneIndex(name string) int { return slices.Index(r.scenario.Fleet.Zones, name) }

// allZones returns the indexes of all zones.
func (r *armRun) allZones() (zones []int) {
	for zone := range r.scenario.Fleet.Zones {
		zones = append(zones, zone)
	}
	return zones
}

// degradeServers applies serverFault to a share of the servers for the fault's duration.
func (r *armRun) degradeServers(fault Fault, random *rand.Rand, serverFault emulator.ServerFault) error {
	ids := r.sampleServers(fault, random)
	r.emulator.SetServerFault(serverFault, ids...)
	r.wait(fault.Duration)
	r.emulator.EndServerFault(ids...)
	return nil
}

// partitionServers partitions servers from the agents in the given zones for the fault's duration.
func (r *armRun) partitionServers(fault Fault, ids []string, agentZones []int) error {
	r.emulator.PartitionServers(agentZones, ids...)
	r.wait(fault.Duration)
	r.emulator.HealServers(agentZones, ids...)
	return nil
}

// replaceServers drains and replaces a share of the servers in batches.
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

// batches returns the size of a fault's batches, out of count members, and the interval between their starts.
func batches(fault Fault, count int) (size int, interval time.Duration) {
	size = shareOf(fault.Batch, count)
	batchCount := (count + size - 1) / size
	return size, fault.Duration / time.Duration(batchCount)
}

// sampleServers returns a random sample of the servers in all zones, of the size given by the fault's share.
func (r *armRun) sampleServers(fault Fault, random *rand.Rand) []string {
	return sampleShare(random, r.emulator.ServerIDs(emulator.AllZones), fault.Share)
}

// sampleShare returns a random sample of names of the size given by share, at least one.
func sampleShare(random *rand.Rand, names []string, share float64) []string {
	names = slices.Clone(names)
	random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names[:min(len(names), shareOf(share, len(names)))]
}

// shareOf returns share times count, rounded half up, and at least 1.
func shareOf(share float64, count int) int {
	const half = 0.5
	return max(1, int(share*float64(count)+half))
}

// killAgents kills a share of the agents and starts them again after the fault's RestartAfter.
func (r *armRun) killAgents(fault Fault, random *rand.Rand) error {
	names := sampleShare(random, r.names, fault.Share)
	for _, name := range names {
		r.emulator.AgentStopped(name)
	}
	if err := processtest.Each(names, r.processes.Kill); err != nil {
		return err
	}
	r.wait(fault.RestartAfter)
	return processtest.Each(names, r.start)
}

// restartAgents restarts a share of the agents in batches.
func (r *armRun) restartAgents(fault Fault, random *rand.Rand) error {
	names := sampleShare(random, r.names, fault.Share)
	size, interval := batches(fault, len(names))
	for batch := range slices.Chunk(names, size) {
		start := time.Now()
		if err := processtest.Each(batch, r.restartAgent); err != nil {
			return err
		}
		r.wait(interval - time.Since(start))
	}
	return nil
}

// restartAgent terminates an agent and starts it again.
func (r *armRun) restartAgent(name string) error {
	return errors.Join(r.processes.Term(name), r.start(name))
}

// pauseAgents pauses the processes of a share of the agents for the fault's duration.
func (r *armRun) pauseAgents(fault Fault, random *rand.Rand) error {
	names := sampleShare(random, r.names, fault.Share)
	if err := processtest.Each(names, r.processes.Pause); err != nil {
		return err
	}
	r.wait(fault.Duration)
	return processtest.Each(names, r.processes.Resume)
}

// partitionAgents selects a share of the agents and partitions each of them from all other agents for the fault's
// duration.
func (r *armRun) partitionAgents(fault Fault, random *rand.Rand) error {
	if r.proxy == nil {
		return nil // without a membership section there are no connections to partition
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

// loseMessages drops a fraction of the messages between agents for the fault's duration.
func (r *armRun) loseMessages(fault Fault, _ *rand.Rand) error {
	if r.proxy == nil {
		return nil
	}
	r.proxy.SetAll(faultproxy.Rule{Loss: fault.Magnitude})
	r.wait(fault.Duration)
	r.proxy.SetAll(faultproxy.Rule{})
	return nil
}
