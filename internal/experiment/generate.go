package experiment

import (
	"fmt"
	"io"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/BurntSushi/toml"
)

const (
	// generatorStream selects the generator's random numbers from its seed.
	generatorStream = 9
	// generatedSeeds is how many seeds a generated scenario has.
	generatedSeeds = 10
)

// uniform draws a number from a range.
type uniform func(low, high float64) float64

// scenarioKinds are the kinds of scenarios that can be generated. Each sets the faults, and what else differs from
// Default, with magnitudes from the ranges that the operators state for the days of their acceptance test.
var scenarioKinds = map[string]func(*Scenario, uniform){
	"calm":    baselineScenario,
	"herd":    restartScenario,
	"join":    joinScenario,
	"zone":    zoneFailureScenario,
	"split":   partitionScenario,
	"release": releaseScenario,
}

// baselineScenario has a low load with a burst.
func baselineScenario(s *Scenario, draw uniform) {
	s.Traffic.Load = draw(0.35, 0.5)
	s.Faults = []Fault{
		{At: s.fractionOfLength(0.4), Kind: faultBurst, Duration: s.fractionOfLength(0.2), Magnitude: 1.5},
	}
}

// restartScenario restarts most agents at the same moment, while servers are replaced and discovery is unavailable.
func restartScenario(s *Scenario, draw uniform) {
	outage := Fault{At: s.fractionOfLength(0.2), Kind: faultDiscoveryOutage, Duration: s.fractionOfLength(0.2)}
	replacement := Fault{
		At:        s.fractionOfLength(0.3),
		Kind:      faultReplaceServers,
		Share:     draw(0.6, 0.87),
		Batch:     draw(0.1, 0.2),
		DrainTime: seconds(draw(2, 4)),
		Duration:  s.fractionOfLength(0.5),
	}
	kill := Fault{
		At:           s.fractionOfLength(0.4),
		Kind:         faultKillAgents,
		Share:        0.7,
		RestartAfter: seconds(draw(0.5, 1.5)),
	}
	slow := Fault{
		At:        s.fractionOfLength(0.1),
		Kind:      faultSlowServers,
		Share:     0.125,
		Magnitude: draw(2.4, 7.8),
		Duration:  s.fractionOfLength(0.6),
	}
	s.Faults = []Fault{outage, replacement, kill, slow}
}

// joinScenario replaces most servers within a short time.
func joinScenario(s *Scenario, draw uniform) {
	s.Faults = []Fault{
		{
			At:        s.fractionOfLength(0.2),
			Kind:      faultReplaceServers,
			Share:     0.6,
			Batch:     0.2,
			DrainTime: seconds(2),
			Duration:  seconds(7),
		},
		{
			At:        s.fractionOfLength(0.1),
			Kind:      faultSlowServers,
			Share:     0.1,
			Magnitude: draw(2.4, 7.8),
			Duration:  s.fractionOfLength(0.5),
		},
	}
}

// zoneFailureScenario loses the first zone while some servers fail requests.
func zoneFailureScenario(s *Scenario, draw uniform) {
	s.Faults = []Fault{
		{At: s.fractionOfLength(0.25), Kind: faultZoneFailure, Zone: s.Fleet.Zones[0], Duration: seconds(5)},
		{
			At:        s.fractionOfLength(0.1),
			Kind:      faultFailingServers,
			Share:     0.125,
			Magnitude: draw(0.3, 0.9),
			Duration:  s.fractionOfLength(0.5),
		},
	}
}

// partitionScenario partitions the first zone, a third of the agents and some servers.
func partitionScenario(s *Scenario, _ uniform) {
	s.Faults = []Fault{
		{At: s.fractionOfLength(0.3), Kind: faultZonePartition, Zone: s.Fleet.Zones[0], Duration: seconds(6)},
		{At: s.fractionOfLength(0.3), Kind: faultPartitionAgents, Share: 1.0 / 3, Duration: s.fractionOfLength(0.4)},
		{At: s.fractionOfLength(0.6), Kind: faultPartitionServers, Share: 0.2, Duration: seconds(4)},
	}
}

// releaseScenario replaces servers and restarts all agents, in batches.
func releaseScenario(s *Scenario, draw uniform) {
	s.Faults = []Fault{
		{
			At:        s.fractionOfLength(0.15),
			Kind:      faultReplaceServers,
			Share:     draw(0.43, 0.87),
			Batch:     draw(0.06, 0.2),
			DrainTime: seconds(draw(2.5, 5)),
			Duration:  s.fractionOfLength(0.7),
		},
		{
			At:       s.fractionOfLength(0.5),
			Kind:     faultRestartAgents,
			Share:    1,
			Batch:    0.1,
			Duration: s.fractionOfLength(0.4),
		},
	}
}

// fractionOfLength returns a fraction of the length of the traffic.
func (s *Scenario) fractionOfLength(fraction float64) time.Duration {
	return time.Duration(fraction * float64(s.Length))
}

// seconds returns a time, rounded to milliseconds.
func seconds(s float64) time.Duration {
	return time.Duration(math.Round(s*1000)) * time.Millisecond
}

// ScenarioKinds returns the kinds of scenarios that can be generated, in alphabetical order.
func ScenarioKinds() []string { return slices.Sorted(maps.Keys(scenarioKinds)) }

// Generate writes a scenario of a kind as TOML, its magnitudes drawn from a seed.
func Generate(out io.Writer, kind string, seed uint64, agents, servers int, length time.Duration) error {
	fill := scenarioKinds[kind]
	if fill == nil {
		return fmt.Errorf("there is no kind %q; kinds: %v", kind, ScenarioKinds())
	}
	random := rand.New(rand.NewPCG(seed, generatorStream))
	draw := func(low, high float64) float64 {
		const precision = 1000
		return math.Round(precision*(low+(high-low)*random.Float64())) / precision
	}
	s := Default()
	s.Name = kind
	s.Seed = seed
	s.Seeds = generatedSeeds
	s.Length = length
	s.Fleet.Agents = agents
	s.Fleet.Servers = servers
	s.Traffic.Load = draw(0.5, 0.7)
	fill(s, draw)
	s.Arms = []Arm{{Name: "off"}, {Name: "fleet", Fleet: true}}
	return toml.NewEncoder(out).Encode(s)
}
