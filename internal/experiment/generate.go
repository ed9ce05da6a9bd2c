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
	// generatorStream is the generator's stream of random numbers for a seed.
	generatorStream = 9
	// generatedSeeds is the number of seeds in a generated scenario.
	generatedSeeds = 10
	// generatedLoadLow and generatedLoadHigh bound the load of a generated scenario unless its kind sets a range.
	generatedLoadLow  = 0.5
	generatedLoadHigh = 0.7
	// drawStepsPerUnit is the resolution of drawn values: they are rounded to a multiple of 1/drawStepsPerUnit.
	drawStepsPerUnit = 1000
	// kindsFile is the name of the embedded file in kindsText.
	kindsFile = "kinds.toml"
)

//go:embed kinds.toml
var kindsText string

// scenarioTemplate is the template of a kind of generated scenario.
type scenarioTemplate struct {
	Load   valueRange      `toml:"load"`
	Faults []faultTemplate `toml:"trouble"`
}

// faultTemplate is the template of a fault in a generated scenario. The fault lasts for Duration seconds. If
// DurationFraction is above 0, the fault lasts for that fraction of the scenario's length instead.
type faultTemplate struct {
	At               float64    `toml:"at"` // fraction of the scenario's length
	Kind             FaultKind  `toml:"kind"`
	Duration         float64    `toml:"for"`
	DurationFraction float64    `toml:"for_part"`
	Share            valueRange `toml:"share"`
	Magnitude        valueRange `toml:"size"`
	Batch            valueRange `toml:"batch"`
	DrainTime        valueRange `toml:"drain"` // seconds
	RestartAfter     valueRange `toml:"back"`  // seconds
}

// valueRange is the range that a value is drawn from; low and high are equal for a fixed value.
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
		return fmt.Errorf("%v is neither a number nor a range of two numbers", value)
	}
	r.low, r.high = numbers[0], numbers[1]
	return nil
}

// draw returns a random value from the range, rounded. A fixed value consumes no random number.
func (r valueRange) draw(random *rand.Rand) float64 {
	if r.low == r.high {
		return r.low
	}
	return math.Round(drawStepsPerUnit*(r.low+(r.high-r.low)*random.Float64())) / drawStepsPerUnit
}

// scenarioKinds decodes the templates of all kinds once. It panics if the embedded file is invalid.
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

// ScenarioKinds returns the sorted kinds of scenarios that Generate accepts.
func ScenarioKinds() []string { return slices.Sorted(maps.Keys(scenarioKinds())) }

// GeneratorConfig configures Generate.
type GeneratorConfig struct {
	Kind    string // one of ScenarioKinds
	Seed    uint64 // of the drawn values
	Agents  int
	Servers int
	Length  time.Duration // of the traffic
}

// Generate generates a scenario and writes it as TOML.
func Generate(out io.Writer, config GeneratorConfig) error {
	template, ok := scenarioKinds()[config.Kind]
	if !ok {
		return fmt.Errorf("unknown kind %q; known kinds: %v", config.Kind, ScenarioKinds())
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

// fill sets a scenario's load and faults. The order of the draws must not change: it determines the scenario of a
// seed.
func (t *scenarioTemplate) fill(s *Scenario, random *rand.Rand) {
	s.Traffic.Load = valueRange{low: generatedLoadLow, high: generatedLoadHigh}.draw(random)
	if t.Load != (valueRange{}) {
		s.Traffic.Load = t.Load.draw(random)
	}
	for i := range t.Faults {
		s.Faults = append(s.Faults, t.Faults[i].fault(s, random))
	}
}

// fault draws the fault for a scenario. A fault that needs a zone gets the first one.
func (t *faultTemplate) fault(s *Scenario, random *rand.Rand) Fault {
	fault := Fault{
		At:       s.fractionOfLength(t.At),
		Kind:     t.Kind,
		Duration: seconds(t.Duration),
	}
	if t.DurationFraction > 0 {
		fault.Duration = s.fractionOfLength(t.DurationFraction)
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

// fractionOfLength returns a fraction of the scenario's length.
func (s *Scenario) fractionOfLength(fraction float64) time.Duration {
	return time.Duration(fraction * float64(s.Length))
}

// seconds converts seconds to a duration, rounded to milliseconds.
func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second)).Round(time.Millisecond)
}
