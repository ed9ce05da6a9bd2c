// Package experiment runs fleets of the real agent in an emulator (internal/emulator) through scenarios with injected
// faults. A scenario has arms, which are run in turn on the same seeds and compared.
//
// Its invariants: on the same seed every arm gets the same calls, servers and faults; a run in which the harness
// itself was late or failed is marked as not valid and never compared; and a difference between arms is stated as a
// confidence interval over pairs of the same seed.
package experiment

import (
	"fmt"
	"math"
	"time"

	"fernbeam.example/fernbeam/internal/emulator"
)

// Scenario describes an experiment: a fleet, its traffic, faults on a timeline, and the arms. In TOML its keys are the
// tags, times are texts such as "300ms", and what is left out is as in default.toml.
type Scenario struct {
	Name     string           `toml:"name"`
	Length   time.Duration    `toml:"length"` // of the traffic
	Seed     uint64           `toml:"seed"`   // the first one
	Seeds    int              `toml:"seeds"`  // how many consecutive seeds are run
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
	CellSize  int                 `toml:"pod"` // servers of a cell
	Zones     []string            `toml:"zones"`
	ZoneDelay time.Duration       `toml:"cross"`      // one way between two zones
	Cores     float64             `toml:"cores"`      // limit of an agent
	MemoryMB  int                 `toml:"memory_mb"`  // limit of an agent
	Sockets   int                 `toml:"sockets"`    // limit of an agent
	ListDelay emulator.DelayRange `toml:"list_delay"` // of a change of the endpoint list
}

// Traffic describes what the clients call.
type Traffic struct {
	// Rate is in calls per second. If it is 0, Load gives it as a fraction of the servers' capacity.
	Rate float64 `toml:"rate"`
	Load float64 `toml:"load"`
	// Imbalance spreads the agents' shares from 1 - Imbalance to 1 + Imbalance times the mean.
	Imbalance           float64       `toml:"uneven"`
	Keys                int           `toml:"keys"`
	Zipf                float64       `toml:"zipf"` // exponent of the keys' distribution
	Retries             int           `toml:"retries"`
	RequestTimeoutShare float64       `toml:"try_share"` // of the class's total timeout
	RetryDelay          time.Duration `toml:"retry_wait"`
}

// Contract has the parameters of the operating rules; see emulator.Contract.
type Contract struct {
	DrainGrace       time.Duration `toml:"drain_grace"`
	SlowStartFrom    float64       `toml:"cold_from"`
	SlowStartFor     time.Duration `toml:"cold_for"`
	OverloadMultiple float64       `toml:"fall_multiple"`
	OverloadWindow   time.Duration `toml:"fall_in"`
}

// Model is a model of servers and the share of the servers that have it.
type Model struct {
	Share float64 `toml:"share"`
	emulator.Model
}

// Fault is a fault that is injected at a time. How it uses the other keys depends on its kind; see FaultDescriptions.
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

// Arm is one way to run the agents.
type Arm struct {
	Name string `toml:"name"`
	// Commit is the commit whose agent is built and run; empty: the agent that Config names.
	Commit string `toml:"commit"`
	// Membership gives the agents a membership section, with connections through a fault proxy.
	Membership bool `toml:"fleet"`
	// Config is merged into the agents' configuration, key by key.
	Config map[string]any `toml:"config"`
}

// socketSlack is the tolerance of the operating rules for sockets and timers.
const socketSlack = 50 * time.Millisecond

// requestRate returns the calls per second of all clients.
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

// weightStride is the step among the evenly spread weights from one agent to the next, so that the agents of each zone
// get low and high ones.
const weightStride = 7

// agents returns the agents with their zones and their shares of the calls.
func (s *Scenario) agents() []emulator.Agent {
	count := s.Fleet.Agents
	weights := make([]float64, count)
	sum := 0.0
	for i := range weights {
		position := 0.5 // among the evenly spread weights: 0 for the least, 1 for the greatest
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
