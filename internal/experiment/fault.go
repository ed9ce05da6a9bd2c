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

// kind is one trouble: what it does with its keys, whether it needs a zone, and how it is played
// or, where it is one of the traffic, how that changes.
type faultKind struct {
	description   string
	needsZone     bool
	trafficChange func(t Fault) emulator.TrafficChange
	inject        func(r *armRun, t Fault, draw *rand.Rand) error
}

// Kinds tells, for each trouble, what it does with its keys.
func FaultDescriptions() map[string]string {
	out := map[string]string{}
	for name, k := range faultKinds {
		out[name] = k.description
	}
	return out
}

// KindNames are the troubles in their order.
func FaultKinds() []string { return slices.Sorted(maps.Keys(faultKinds)) }

var faultKinds map[string]faultKind

func init() {
	faultKinds = map[string]faultKind{
		"kill agents":    {description: "SIGKILL to a share at one moment; they start again after back", inject: (*armRun).killAgents},
		"restart agents": {description: "SIGTERM and a start, a batch of a share at a time, spread over for", inject: (*armRun).restartAgents},
		"pause agents":   {description: "SIGSTOP for a share, SIGCONT after for", inject: (*armRun).pauseAgents},
		"deaf agents":    {description: "a share of the agents hears no other for a time; needs arms with a fleet", inject: (*armRun).partitionAgents},
		"lossy agents":   {description: "a part (size) of what agents tell each other is lost for a time", inject: (*armRun).loseMessages},
		"slow nodes":     {description: "a share is size times slower for a time", inject: func(r *armRun, t Fault, draw *rand.Rand) error { return r.degradeServers(t, draw, t.Magnitude, 0) }},
		"failing nodes":  {description: "a share fails a part (size) of its requests at once for a time", inject: func(r *armRun, t Fault, draw *rand.Rand) error { return r.degradeServers(t, draw, 1, t.Magnitude) }},
		"standing nodes": {description: "a share stands still for a time", inject: func(r *armRun, t Fault, draw *rand.Rand) error { return r.degradeServers(t, draw, math.Inf(1), 0) }},
		"silent nodes": {description: "a share is cut off from all agents for a time", inject: func(r *armRun, t Fault, draw *rand.Rand) error {
			return r.partitionServers(t, -1, sampleShare(draw, r.emulator.ServerIDs(-1), t.Share))
		}},
		"kill nodes": {description: "a share ends at one moment; cold successors start after back", inject: func(r *armRun, t Fault, draw *rand.Rand) error {
			r.emulator.KillServers(t.RestartDelay, sampleShare(draw, r.emulator.ServerIDs(-1), t.Share)...)
			return nil
		}},
		"release": {description: "a share is drained (for drain) and replaced by cold nodes, a batch of it at a time, spread over for", inject: (*armRun).replaceServers},
		"zone lost": {needsZone: true, description: "a zone's nodes fall silent for a time, then come back as cold ones", inject: func(r *armRun, t Fault, draw *rand.Rand) error {
			ids := r.emulator.ServerIDs(r.zoneIndex(t.Zone))
			err := r.partitionServers(t, -1, ids)
			r.emulator.KillServers(0, ids...)
			return err
		}},
		"zone cut": {needsZone: true, description: "a zone's nodes are cut off from the agents of other zones for a time", inject: func(r *armRun, t Fault, draw *rand.Rand) error {
			return r.partitionServers(t, r.zoneIndex(t.Zone), r.emulator.ServerIDs(r.zoneIndex(t.Zone)))
		}},
		"burst": {description: "traffic is size times as much for a time", trafficChange: func(t Fault) emulator.TrafficChange {
			return emulator.TrafficChange{From: t.At, To: t.At + t.Duration, RateFactor: t.Magnitude}
		}},
		"hot key": {description: "a share of the requests has one key for a time", trafficChange: func(t Fault) emulator.TrafficChange {
			return emulator.TrafficChange{From: t.At, To: t.At + t.Duration, RateFactor: 1, HotKeyShare: t.Share}
		}},
		"list down": {description: "discovery is silent for a time", inject: func(r *armRun, t Fault, draw *rand.Rand) error {
			r.emulator.SetDiscoveryUnavailable(true)
			r.wait(t.Duration)
			r.emulator.SetDiscoveryUnavailable(false)
			return nil
		}},
	}
}

// hold waits, at the most until the run ends.
func (r *armRun) wait(d time.Duration) {
	select {
	case <-time.After(d):
	case <-r.finished:
	}
}

func (r *armRun) zoneIndex(name string) int { return slices.Index(r.scenario.Fleet.Zones, name) }

func (r *armRun) degradeServers(t Fault, draw *rand.Rand, slow, fails float64) error {
	ids := sampleShare(draw, r.emulator.ServerIDs(-1), t.Share)
	r.emulator.SetServerFault(max(1, slow), fails, ids...)
	r.wait(t.Duration)
	r.emulator.SetServerFault(1, 0, ids...)
	return nil
}

func (r *armRun) partitionServers(t Fault, but int, ids []string) error {
	r.emulator.PartitionServers(true, but, ids...)
	r.wait(t.Duration)
	r.emulator.PartitionServers(false, but, ids...)
	return nil
}

func (r *armRun) replaceServers(t Fault, draw *rand.Rand) error {
	ids := sampleShare(draw, r.emulator.ServerIDs(-1), t.Share)
	size := max(1, int(t.Batch*float64(len(ids))+0.5))
	pause := t.Duration / time.Duration((len(ids)+size-1)/size)
	for part := range slices.Chunk(ids, size) {
		if err := r.emulator.ReplaceServers(t.DrainTime, part...); err != nil {
			return err
		}
		r.wait(pause)
	}
	return nil
}

// some draws a share of what is there, one at least.
func sampleShare(draw *rand.Rand, names []string, share float64) []string {
	names = slices.Clone(names)
	draw.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names[:min(len(names), max(1, int(share*float64(len(names))+0.5)))]
}

func (r *armRun) killAgents(t Fault, draw *rand.Rand) error {
	names := sampleShare(draw, r.agentNames, t.Share)
	for _, n := range names {
		r.emulator.AgentStopped(n)
	}
	if err := processtest.Each(names, r.processes.Kill); err != nil {
		return err
	}
	r.wait(t.RestartDelay)
	return processtest.Each(names, r.startAgent)
}

func (r *armRun) restartAgents(t Fault, draw *rand.Rand) error {
	names := sampleShare(draw, r.agentNames, t.Share)
	size := max(1, int(t.Batch*float64(len(names))+0.5))
	pause := t.Duration / time.Duration((len(names)+size-1)/size)
	for part := range slices.Chunk(names, size) {
		began := time.Now()
		if err := processtest.Each(part, func(n string) error { return errors.Join(r.processes.Term(n), r.startAgent(n)) }); err != nil {
			return err
		}
		r.wait(pause - time.Since(began))
	}
	return nil
}

func (r *armRun) pauseAgents(t Fault, draw *rand.Rand) error {
	names := sampleShare(draw, r.agentNames, t.Share)
	if err := processtest.Each(names, r.processes.Pause); err != nil {
		return err
	}
	r.wait(t.Duration)
	return processtest.Each(names, r.processes.Resume)
}

func (r *armRun) partitionAgents(t Fault, draw *rand.Rand) error {
	if r.network == nil {
		return nil // agents that do not talk are deaf anyway
	}
	var groups [][]string
	deaf := sampleShare(draw, r.agentNames, t.Share)
	for _, n := range deaf {
		groups = append(groups, []string{n})
	}
	rest := slices.DeleteFunc(slices.Clone(r.agentNames), func(n string) bool { return slices.Contains(deaf, n) })
	r.network.Partition("deaf", append(groups, rest)...)
	r.wait(t.Duration)
	r.network.Heal("deaf")
	return nil
}

func (r *armRun) loseMessages(t Fault, _ *rand.Rand) error {
	if r.network == nil {
		return nil
	}
	r.network.SetAll(faultproxy.Rule{Loss: t.Magnitude})
	r.wait(t.Duration)
	r.network.SetAll(faultproxy.Rule{})
	return nil
}
