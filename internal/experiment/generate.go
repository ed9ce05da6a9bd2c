package experiment

import (
	_ "embed"
	"fmt"
	"io"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/BurntSushi/toml"
)

const (
	// generatorStream selects the generator's random numbers from its seed.
	generatorStream = 9
	// generatedSeeds is how many seeds a generated scenario has.
	generatedSeeds = 10
	// generatedLoadLow and generatedLoadHigh bound the load of a generated scenario, unless its kind has another.
	generatedLoadLow  = 0.5
	generatedLoadHigh = 0.7
	// drawnPerUnit is how many different values a draw can have within 1.
	drawnPerUnit = 1000
	// kindsFile is the name of the file that kindsText is read from.
	kindsFile = "kinds.toml"
)

//go:embed kinds.toml
var kindsText string

// scenarioTemplate is a kind of generated scenario.
type scenarioTemplate struct {
	Load   valueRange      `toml:"load"`
	Faults []faultTemplate `toml:"trouble"`
}

// faultTemplate is a fault of a generated scenario. The duration is Duration seconds, or DurationPart of the length.
type faultTemplate struct {
	At           float64    `toml:"at"` // part of the length
	Kind         FaultKind  `toml:"kind"`
	Duration     float64    `toml:"for"`
	DurationPart float64    `toml:"for_part"`
	Share        valueRange `toml:"share"`
	Magnitude    valueRange `toml:"size"`
	Batch        valueRange `toml:"batch"`
	DrainTime    valueRange `toml:"drain"` // seconds
	RestartAfter valueRange `toml:"back"`  // seconds
}

// valueRange is a range that a value is drawn from; a fixed value has low and high the same.
type valueRange struct{ low, high float64 }

// UnmarshalTOML reads a range, such as [0.6, 0.87], or a fixed value.
func (r *valueRange) UnmarshalTOML(value any) error {
	bounds, isRange := value.([]any)
	if !isRange {
		bounds = []any{value, value}
	}
	var numbers []float64
	for _, bound := range bounds {
		switch bound := bound.(type) {
		case float64:
			numbers = append(numbers, bound)
		case int64:
			numbers = append(numbers, float64(bound))
		}
	}
	const ends = 2
	if len(numbers) != ends || len(bounds) != ends {
		return fmt.Errorf("%v is no number and no range of two", value)
	}
	r.low, r.high = numbers[0], numbers[1]
	return nil
}

// draw draws a value, rounded. A fixed value takes no random number.
func (r valueRange) draw(random *rand.Rand) float64 {
	if r.low == r.high {
		return r.low
	}
	return math.Round(drawnPerUnit*(r.low+(r.high-r.low)*random.Float64())) / drawnPerUnit
}

// scenarioKinds decodes the kinds of scenarios once. It panics if the file, which is part of the program, has an error.
var scenarioKinds = sync.OnceValue(func() map[string]scenarioTemplate {
	kinds := map[string]scenarioTemplate{}
	metadata, err := toml.Decode(kindsText, &kinds)
	if err != nil {
		panic(fmt.Sprintf("experiment: %v", TOMLError(kindsFile, err)))
	}
	if unknown := metadata.Undecoded(); len(unknown) > 0 {
		panic(fmt.Sprintf("experiment: %s: unknown keys %v", kindsFile, unknown))
	}
	return kinds
})

// ScenarioKinds returns the kinds of scenarios that can be generated, in alphabetical order.
func ScenarioKinds() []string { return slices.Sorted(maps.Keys(scenarioKinds())) }

// GeneratorConfig says what scenario is generated.
type GeneratorConfig struct {
	Kind    string // of ScenarioKinds
	Seed    uint64 // that the magnitudes are drawn from
	Agents  int
	Servers int
	Length  time.Duration // of the traffic
}

// Generate writes a generated scenario as TOML.
func Generate(out io.Writer, config GeneratorConfig) error {
	template, ok := scenarioKinds()[config.Kind]
	if !ok {
		return fmt.Errorf("there is no kind %q; kinds: %v", config.Kind, ScenarioKinds())
	}
	s := defaultWithoutTables()
	s.Name = config.Kind
	s.Seed = config.Seed
	s.Seeds = generatedSeeds
	s.Length = config.Length
	s.Fleet.Agents = config.Agents
	s.Fleet.Servers = config.Servers
	s.Arms = []Arm{{Name: "off"}, {Name: "fleet", Membership: true}}
	template.fill(s, rand.New(rand.NewPCG(config.Seed, generatorStream)))
	return toml.NewEncoder(out).Encode(s)
}

// fill sets a scenario's load and faults. The scenario of a seed depends on the order of the draws.
func (t *scenarioTemplate) fill(s *Scenario, random *rand.Rand) {
	s.Traffic.Load = valueRange{low: generatedLoadLow, high: generatedLoadHigh}.draw(random)
	if t.Load != (valueRange{}) {
		s.Traffic.Load = t.Load.draw(random)
	}
	for i := range t.Faults {
		s.Faults = append(s.Faults, t.Faults[i].fault(s, random))
	}
}

// fault returns the fault for a scenario; one that needs a zone has the first.
func (t *faultTemplate) fault(s *Scenario, random *rand.Rand) Fault {
	fault := Fault{
		At:       s.partOfLength(t.At),
		Kind:     t.Kind,
		Duration: seconds(t.Duration),
	}
	if t.DurationPart > 0 {
		fault.Duration = s.partOfLength(t.DurationPart)
	}
	if faultEffects[t.Kind].needsZone {
		fault.Zone = s.Fleet.Zones[0]
	}
	fault.Share = t.Share.draw(random)
	fault.Batch = t.Batch.draw(random)
	fault.DrainTime = seconds(t.DrainTime.draw(random))
	fault.RestartAfter = seconds(t.RestartAfter.draw(random))
	fault.Magnitude = t.Magnitude.draw(random)
	return fault
}

// partOfLength returns a part of the length of the traffic.
func (s *Scenario) partOfLength(part float64) time.Duration {
	return time.Duration(part * float64(s.Length))
}

// seconds returns a time, rounded to milliseconds.
func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second)).Round(time.Millisecond)
}
