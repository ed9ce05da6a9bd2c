// Package experiment runs fleets of the real agent in an emulator (internal/emulator) through scenarios with injected
// faults. A scenario has arms, which run in turn with the same seeds and are compared.
//
// Invariants: with the same seed, all arms get the same requests, servers and faults. A run in which the harness
// itself was late or failed is marked as not valid and is never compared. A difference between arms is reported as a
// confidence interval over pairs of runs with the same seed.
package experiment

import (
	"fmt"
	"math"
	"time"

	"fernbeam.example/fernbeam/internal/emulator"
)

// Scenario describes an experiment: a fleet, its traffic, faults on a timeline, and the arms. In TOML files, durations
// are strings such as "300ms", and keys that are not set have the values of default.toml.
type Scenario struct {
	Name     string           `toml:"name"`
	Length   time.Duration    `toml:"length"` // of the traffic
	Seed     uint64           `toml:"seed"`   // first seed
	Seeds    int              `toml:"seeds"`  // number of consecutive seeds
	Fleet    Fleet            `toml:"fleet"`
	Traffic  Traffic          `toml:"traffic"`
	Contract Contract         `toml:"rules"`
	Classes  []emulator.Class `toml:"class"`
	Models   []Model          `toml:"model"`
	Faults   []Fault          `toml:"trouble"`
	Arms     []Arm            `toml:"arm"`
}

// Fleet describes the agents and the servers, which are spread evenly over the zones.
type Fleet struct {
	Agents    int                 `toml:"agents"`
	Servers   int                 `toml:"nodes"`
	CellSize  int                 `toml:"pod"` // servers per cell
	Zones     []string            `toml:"zones"`
	ZoneDelay time.Duration       `toml:"cross"`      // one-way delay between zones
	Cores     float64             `toml:"cores"`      // limit of each agent
	MemoryMB  int                 `toml:"memory_mb"`  // limit of each agent
	Sockets   int                 `toml:"sockets"`    // limit of each agent
	ListDelay emulator.DelayRange `toml:"list_delay"` // of changes to the endpoint list
}

// Traffic describes the requests of the clients.
type Traffic struct {
	// Rate is in requests per second. If it is 0, it follows from Load, a fraction of the servers' capacity.
	Rate float64 `toml:"rate"`
	Load float64 `toml:"load"`
	// Imbalance spreads the agents' shares of the requests from 1 - Imbalance to 1 + Imbalance times the mean.
	Imbalance           float64       `toml:"uneven"`
	Keys                int           `toml:"keys"`
	Zipf                float64       `toml:"zipf"` // exponent of the key distribution
	Retries             int           `toml:"retries"`
	RequestTimeoutShare float64       `toml:"try_share"` // of the class's total timeout
	RetryDelay          time.Duration `toml:"retry_wait"`
}

// Contract holds the parameters of the operating rules; see emulator.Contract.
type Contract struct {
	DrainGrace       time.Duration `toml:"drain_grace"`
	SlowStartFrom    float64       `toml:"cold_from"`
	SlowStartFor     time.Duration `toml:"cold_for"`
	OverloadMultiple float64       `toml:"fall_multiple"`
	OverloadWindow   time.Duration `toml:"fall_in"`
}

// Model is a server model and the share of the servers that have it.
type Model struct {
	Share float64 `toml:"share"`
	emulator.Model
}

// Fault is a fault that is injected at a given time. The use of the other keys depends on its kind; see
// FaultDescriptions.
type Fault struct {
	At           time.Duration `toml:"at"` // from the start of the traffic
	Kind         FaultKind     `toml:"kind"`
	Duration     time.Duration `toml:"for"`
	Share        float64       `toml:"share"`
	Magnitude    float64       `toml:"size"`
	Zone         string        `toml:"zone"`
	Batch        float64       `toml:"batch"`
	DrainTime    time.Duration `toml:"drain"`
	RestartAfter time.Duration `toml:"back"`
}

// Arm is a variant of the agents to run: a version, a configuration, or both.
type Arm struct {
	Name string `toml:"name"`
	// Commit is the commit that the agent is built from; if it is empty, Config.Binary is run.
	Commit string `toml:"commit"`
	// Membership adds a membership section to the agents' configuration and connects the agents through a fault proxy.
	Membership bool `toml:"fleet"`
	// Config is merged into the agents' configuration key by key.
	Config map[string]any `toml:"config"`
}

// socketSlack is the tolerance of the operating rules for delays of sockets and timers.
const socketSlack = 50 * time.Millisecond

// requestRate returns the requests per second of all clients.
func (s *Scenario) requestRate() float64 {
	if s.Traffic.Rate > 0 {
		return s.Traffic.Rate
	}
	work, cores, shares := 0.0, 0.0, 0.0
	for _, class := range s.Classes {
		work += class.Share * class.Work.Seconds()
	}
	for _, model := range s.Models {
		cores += model.Share * float64(model.Cores) * model.Speed
		shares += model.Share
	}
	return s.Traffic.Load * float64(s.Fleet.Servers) * cores / shares / work
}

// emulatorConfig returns the emulator's configuration for a seed.
func (s *Scenario) emulatorConfig(seed uint64) emulator.Config {
	config := emulator.Config{
		Seed:      seed,
		Zones:     s.Fleet.Zones,
		ZoneDelay: s.Fleet.ZoneDelay,
		Agents:    s.agents(),
		Servers:   s.Fleet.Servers,
		CellSize:  s.Fleet.CellSize,
		Classes:   s.Classes,
		Contract: emulator.Contract{
			DrainGrace:       s.Contract.DrainGrace,
			SlowStartFrom:    s.Contract.SlowStartFrom,
			SlowStartFor:     s.Contract.SlowStartFor,
			OverloadMultiple: s.Contract.OverloadMultiple,
			OverloadWindow:   s.Contract.OverloadWindow,
			Slack:            socketSlack,
		},
		Rate:                s.requestRate(),
		Keys:                s.Traffic.Keys,
		Zipf:                s.Traffic.Zipf,
		Retries:             s.Traffic.Retries,
		RequestTimeoutShare: s.Traffic.RequestTimeoutShare,
		RetryDelay:          s.Traffic.RetryDelay,
		ListDelay:           s.Fleet.ListDelay,
		KeepAlive:           keepAlive,
	}
	for _, model := range s.Models {
		config.ModelShares = append(config.ModelShares, model.Share)
		config.Models = append(config.Models, model.Model)
	}
	return config
}

// weightStride spreads the weights over the zones. The weights are evenly spaced, and consecutive agents get weights
// that are weightStride steps apart, so that the agents of each zone have both low and high weights.
const weightStride = 7

// agents returns the agents with their zones and shares of the requests.
func (s *Scenario) agents() []emulator.Agent {
	count := s.Fleet.Agents
	weights := make([]float64, count)
	sum := 0.0
	for i := range weights {
		position := 0.5 // in the range of weights: 0 for the lowest, 1 for the highest
		if count > 1 {
			position = float64(i*weightStride%count) / float64(count-1)
		}
		weights[i] = 1 + s.Traffic.Imbalance*(2*math.Min(1, position)-1)
		sum += weights[i]
	}
	agents := make([]emulator.Agent, count)
	for i, weight := range weights {
		agents[i] = emulator.Agent{
			Name:  fmt.Sprintf("a%03d", i),
			Zone:  i % len(s.Fleet.Zones),
			Share: weight / sum,
		}
	}
	return agents
}
