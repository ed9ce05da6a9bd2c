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

// days are the kinds of scenarios that can be drawn: like the standing test's days, with sizes
// drawn from the ranges that the operators tell.
var scenarioKinds = map[string]func(s *Scenario, u func(lo, hi float64) float64){
	"calm": func(s *Scenario, u func(lo, hi float64) float64) {
		s.Traffic.Load = u(0.35, 0.5)
		s.Faults = []Fault{{At: fractionOfLength(s, 0.4), Kind: "burst", Duration: fractionOfLength(s, 0.2), Magnitude: 1.5}}
	},
	"herd": func(s *Scenario, u func(lo, hi float64) float64) {
		s.Faults = []Fault{
			{At: fractionOfLength(s, 0.2), Kind: "list down", Duration: fractionOfLength(s, 0.2)},
			{At: fractionOfLength(s, 0.3), Kind: "release", Share: u(0.6, 0.87), Batch: u(0.1, 0.2), DrainTime: seconds(u(2, 4)), Duration: fractionOfLength(s, 0.5)},
			{At: fractionOfLength(s, 0.4), Kind: "kill agents", Share: 0.7, RestartDelay: seconds(u(0.5, 1.5))},
			{At: fractionOfLength(s, 0.1), Kind: "slow nodes", Share: 0.125, Magnitude: u(2.4, 7.8), Duration: fractionOfLength(s, 0.6)}}
	},
	"join": func(s *Scenario, u func(lo, hi float64) float64) {
		s.Faults = []Fault{{At: fractionOfLength(s, 0.2), Kind: "release", Share: 0.6, Batch: 0.2, DrainTime: seconds(2), Duration: seconds(7)},
			{At: fractionOfLength(s, 0.1), Kind: "slow nodes", Share: 0.1, Magnitude: u(2.4, 7.8), Duration: fractionOfLength(s, 0.5)}}
	},
	"zone": func(s *Scenario, u func(lo, hi float64) float64) {
		s.Faults = []Fault{
			{At: fractionOfLength(s, 0.25), Kind: "zone lost", Zone: s.Fleet.Zones[0], Duration: seconds(5)},
			{At: fractionOfLength(s, 0.1), Kind: "failing nodes", Share: 0.125, Magnitude: u(0.3, 0.9), Duration: fractionOfLength(s, 0.5)}}
	},
	"split": func(s *Scenario, u func(lo, hi float64) float64) {
		s.Faults = []Fault{
			{At: fractionOfLength(s, 0.3), Kind: "zone cut", Zone: s.Fleet.Zones[0], Duration: seconds(6)},
			{At: fractionOfLength(s, 0.3), Kind: "deaf agents", Share: 1.0 / 3, Duration: fractionOfLength(s, 0.4)},
			{At: fractionOfLength(s, 0.6), Kind: "silent nodes", Share: 0.2, Duration: seconds(4)}}
	},
	"release": func(s *Scenario, u func(lo, hi float64) float64) {
		s.Faults = []Fault{{At: fractionOfLength(s, 0.15), Kind: "release", Share: u(0.43, 0.87), Batch: u(0.06, 0.2), DrainTime: seconds(u(2.5, 5)), Duration: fractionOfLength(s, 0.7)},
			{At: fractionOfLength(s, 0.5), Kind: "restart agents", Share: 1, Batch: 0.1, Duration: fractionOfLength(s, 0.4)}}
	},
}

func fractionOfLength(s *Scenario, x float64) time.Duration {
	return time.Duration(x * float64(s.Length))
}
func seconds(x float64) time.Duration {
	return time.Duration(math.Round(x*1000)) * time.Millisecond
}

// Days are the kinds that can be drawn.
func ScenarioKinds() []string { return slices.Sorted(maps.Keys(scenarioKinds)) }

// Draw writes a scenario of a kind as TOML, its sizes drawn from a seed.
func Generate(out io.Writer, day string, seed uint64, agents, nodes int, length time.Duration) error {
	make := scenarioKinds[day]
	if make == nil {
		return fmt.Errorf("there is no kind %q; kinds: %v", day, ScenarioKinds())
	}
	draw := rand.New(rand.NewPCG(seed, 9))
	s := Default()
	s.Name, s.Seed, s.Seeds, s.Length = day, seed, 10, length
	s.Fleet.Agents, s.Fleet.Servers = agents, nodes
	u := func(lo, hi float64) float64 { return math.Round(1000*(lo+(hi-lo)*draw.Float64())) / 1000 }
	s.Traffic.Load = u(0.5, 0.7)
	make(s, u)
	s.Arms = []Arm{{Name: "off"}, {Name: "fleet", Fleet: true}}
	return toml.NewEncoder(out).Encode(s)
}
