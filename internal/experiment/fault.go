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
type kind struct {
	does    string
	zone    bool
	traffic func(t Trouble) emulator.TrafficChange
	play    func(r *run, t Trouble, draw *rand.Rand) error
}

// Kinds tells, for each trouble, what it does with its keys.
func Kinds() map[string]string {
	out := map[string]string{}
	for name, k := range kinds {
		out[name] = k.does
	}
	return out
}

// KindNames are the troubles in their order.
func KindNames() []string { return slices.Sorted(maps.Keys(kinds)) }

var kinds map[string]kind

func init() {
	kinds = map[string]kind{
		"kill agents":    {does: "SIGKILL to a share at one moment; they start again after back", play: (*run).killAgents},
		"restart agents": {does: "SIGTERM and a start, a batch of a share at a time, spread over for", play: (*run).restartAgents},
		"pause agents":   {does: "SIGSTOP for a share, SIGCONT after for", play: (*run).pauseAgents},
		"deaf agents":    {does: "a share of the agents hears no other for a time; needs arms with a fleet", play: (*run).deafAgents},
		"lossy agents":   {does: "a part (size) of what agents tell each other is lost for a time", play: (*run).lossyAgents},
		"slow nodes":     {does: "a share is size times slower for a time", play: func(r *run, t Trouble, draw *rand.Rand) error { return r.ill(t, draw, t.Size, 0) }},
		"failing nodes":  {does: "a share fails a part (size) of its requests at once for a time", play: func(r *run, t Trouble, draw *rand.Rand) error { return r.ill(t, draw, 1, t.Size) }},
		"standing nodes": {does: "a share stands still for a time", play: func(r *run, t Trouble, draw *rand.Rand) error { return r.ill(t, draw, math.Inf(1), 0) }},
		"silent nodes": {does: "a share is cut off from all agents for a time", play: func(r *run, t Trouble, draw *rand.Rand) error {
			return r.silent(t, -1, some(draw, r.w.ServerIDs(-1), t.Share))
		}},
		"kill nodes": {does: "a share ends at one moment; cold successors start after back", play: func(r *run, t Trouble, draw *rand.Rand) error {
			r.w.KillServers(t.Back, some(draw, r.w.ServerIDs(-1), t.Share)...)
			return nil
		}},
		"release": {does: "a share is drained (for drain) and replaced by cold nodes, a batch of it at a time, spread over for", play: (*run).release},
		"zone lost": {zone: true, does: "a zone's nodes fall silent for a time, then come back as cold ones", play: func(r *run, t Trouble, draw *rand.Rand) error {
			ids := r.w.ServerIDs(r.zone(t.Zone))
			err := r.silent(t, -1, ids)
			r.w.KillServers(0, ids...)
			return err
		}},
		"zone cut": {zone: true, does: "a zone's nodes are cut off from the agents of other zones for a time", play: func(r *run, t Trouble, draw *rand.Rand) error {
			return r.silent(t, r.zone(t.Zone), r.w.ServerIDs(r.zone(t.Zone)))
		}},
		"burst": {does: "traffic is size times as much for a time", traffic: func(t Trouble) emulator.TrafficChange {
			return emulator.TrafficChange{From: t.At, To: t.At + t.For, RateFactor: t.Size}
		}},
		"hot key": {does: "a share of the requests has one key for a time", traffic: func(t Trouble) emulator.TrafficChange {
			return emulator.TrafficChange{From: t.At, To: t.At + t.For, RateFactor: 1, HotKeyShare: t.Share}
		}},
		"list down": {does: "discovery is silent for a time", play: func(r *run, t Trouble, draw *rand.Rand) error {
			r.w.SetDiscoveryUnavailable(true)
			r.hold(t.For)
			r.w.SetDiscoveryUnavailable(false)
			return nil
		}},
	}
}

// hold waits, at the most until the run ends.
func (r *run) hold(d time.Duration) {
	select {
	case <-time.After(d):
	case <-r.over:
	}
}

func (r *run) zone(name string) int { return slices.Index(r.s.Fleet.Zones, name) }

func (r *run) ill(t Trouble, draw *rand.Rand, slow, fails float64) error {
	ids := some(draw, r.w.ServerIDs(-1), t.Share)
	r.w.SetServerFault(max(1, slow), fails, ids...)
	r.hold(t.For)
	r.w.SetServerFault(1, 0, ids...)
	return nil
}

func (r *run) silent(t Trouble, but int, ids []string) error {
	r.w.PartitionServers(true, but, ids...)
	r.hold(t.For)
	r.w.PartitionServers(false, but, ids...)
	return nil
}

func (r *run) release(t Trouble, draw *rand.Rand) error {
	ids := some(draw, r.w.ServerIDs(-1), t.Share)
	size := max(1, int(t.Batch*float64(len(ids))+0.5))
	pause := t.For / time.Duration((len(ids)+size-1)/size)
	for part := range slices.Chunk(ids, size) {
		if err := r.w.ReplaceServers(t.Drain, part...); err != nil {
			return err
		}
		r.hold(pause)
	}
	return nil
}

// some draws a share of what is there, one at least.
func some(draw *rand.Rand, names []string, share float64) []string {
	names = slices.Clone(names)
	draw.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names[:min(len(names), max(1, int(share*float64(len(names))+0.5)))]
}

func (r *run) killAgents(t Trouble, draw *rand.Rand) error {
	names := some(draw, r.names, t.Share)
	for _, n := range names {
		r.w.AgentStopped(n)
	}
	if err := processtest.Each(names, r.procs.Kill); err != nil {
		return err
	}
	r.hold(t.Back)
	return processtest.Each(names, r.start)
}

func (r *run) restartAgents(t Trouble, draw *rand.Rand) error {
	names := some(draw, r.names, t.Share)
	size := max(1, int(t.Batch*float64(len(names))+0.5))
	pause := t.For / time.Duration((len(names)+size-1)/size)
	for part := range slices.Chunk(names, size) {
		began := time.Now()
		if err := processtest.Each(part, func(n string) error { return errors.Join(r.procs.Term(n), r.start(n)) }); err != nil {
			return err
		}
		r.hold(pause - time.Since(began))
	}
	return nil
}

func (r *run) pauseAgents(t Trouble, draw *rand.Rand) error {
	names := some(draw, r.names, t.Share)
	if err := processtest.Each(names, r.procs.Pause); err != nil {
		return err
	}
	r.hold(t.For)
	return processtest.Each(names, r.procs.Resume)
}

func (r *run) deafAgents(t Trouble, draw *rand.Rand) error {
	if r.board == nil {
		return nil // agents that do not talk are deaf anyway
	}
	var groups [][]string
	deaf := some(draw, r.names, t.Share)
	for _, n := range deaf {
		groups = append(groups, []string{n})
	}
	rest := slices.DeleteFunc(slices.Clone(r.names), func(n string) bool { return slices.Contains(deaf, n) })
	r.board.Partition("deaf", append(groups, rest)...)
	r.hold(t.For)
	r.board.Heal("deaf")
	return nil
}

func (r *run) lossyAgents(t Trouble, _ *rand.Rand) error {
	if r.board == nil {
		return nil
	}
	r.board.SetAll(faultproxy.Rule{Loss: t.Size})
	r.hold(t.For)
	r.board.SetAll(faultproxy.Rule{})
	return nil
}
