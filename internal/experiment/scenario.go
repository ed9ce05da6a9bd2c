// Package experiment runs fleets of the real agent in a world of its own (internal/emulator) through
// scenarios with troubles, in arms that play the same seeds in turn, and compares them.
//
// Its invariants: an arm is given the same requests, nodes and troubles as every other on the
// same seed; a run in which the lab itself was late or failed never counts, and says so; and a
// difference between arms is stated as an interval over pairs of the same seed.
package experiment

import (
	"errors"
	"fmt"
	"math"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	"fernbeam.example/fernbeam/internal/emulator"
)

// Scenario is what is played: a fleet, its traffic, troubles on a timeline, and the arms. The
// TOML keys are its fields' tags; what is left out is as at the site (see Default). Times are
// such as "300ms".
type Scenario struct {
	Name     string           `toml:"name"`
	Length   time.Duration    `toml:"length"` // of the traffic
	Seed     uint64           `toml:"seed"`   // the first
	Seeds    int              `toml:"seeds"`  // how many, one after the other
	Fleet    Fleet            `toml:"fleet"`
	Traffic  Traffic          `toml:"traffic"`
	Contract Contract         `toml:"rules"`
	Classes  []emulator.Class `toml:"class"`
	Models   []Model          `toml:"model"`
	Faults   []Fault          `toml:"trouble"`
	Arms     []Arm            `toml:"arm"`
}

// Fleet is the agents and the nodes, spread evenly over the zones.
type Fleet struct {
	Agents    int              `toml:"agents"`
	Servers   int              `toml:"nodes"`
	CellSize  int              `toml:"pod"` // nodes of one
	Zones     []string         `toml:"zones"`
	ZoneDelay time.Duration    `toml:"cross"`      // one way between zones
	Cores     float64          `toml:"cores"`      // of an agent
	MemoryMB  int              `toml:"memory_mb"`  // of an agent
	Sockets   int              `toml:"sockets"`    // of an agent
	ListDelay [2]time.Duration `toml:"list_delay"` // from, to
}

// Traffic is what the applications ask. Rate is in requests a second; if it is 0, Load says which
// part of what the nodes can do is asked.
type Traffic struct {
	Rate                float64       `toml:"rate"`
	Load                float64       `toml:"load"`
	Imbalance           float64       `toml:"uneven"` // an agent has up to 1 + this times the mean, down to 1 - this
	Keys                int           `toml:"keys"`
	Zipf                float64       `toml:"zipf"`
	Retries             int           `toml:"retries"`
	RequestTimeoutShare float64       `toml:"try_share"`
	RetryDelay          time.Duration `toml:"retry_wait"`
}

// Rules are the figures of the four rules.
type Contract struct {
	DrainGrace       time.Duration `toml:"drain_grace"`
	SlowStartFrom    float64       `toml:"cold_from"`
	SlowStartFor     time.Duration `toml:"cold_for"`
	OverloadMultiple float64       `toml:"fall_multiple"`
	OverloadWindow   time.Duration `toml:"fall_in"`
}

// Model is a kind of node and the share of the nodes that are of it.
type Model struct {
	Share float64 `toml:"share"`
	emulator.Model
}

// Trouble is what happens at a time. What Kinds[Kind] says is how it uses the other keys.
type Fault struct {
	At           time.Duration `toml:"at"`
	Kind         string        `toml:"kind"`
	Duration     time.Duration `toml:"for"`
	Share        float64       `toml:"share"`
	Magnitude    float64       `toml:"size"`
	Zone         string        `toml:"zone"`
	Batch        float64       `toml:"batch"`
	DrainTime    time.Duration `toml:"drain"`
	RestartDelay time.Duration `toml:"back"`
}

// Arm is one way to run the agents: a configuration laid over the usual one, of this checkout's
// program or of the one that a commit builds.
type Arm struct {
	Name   string         `toml:"name"`
	Commit string         `toml:"commit"` // empty: the program that the lab is given
	Fleet  bool           `toml:"fleet"`  // with a section fleet, through a switchboard
	Config map[string]any `toml:"config"` // laid over the agents' configuration, key by key
}

// Default is the site: the middle of the ranges that the operators tell (BRIEF), for a fleet of
// moderate size. Classes and models are those that a scenario has if it names none.
func Default() *Scenario {
	return &Scenario{Name: "scenario", Length: 30 * time.Second, Seed: 1, Seeds: 1,
		Fleet: Fleet{Agents: 12, Servers: 12, CellSize: 6, Zones: []string{"quito-norte", "quito-sur"}, ZoneDelay: 1200 * time.Microsecond,
			Cores: 0.2, MemoryMB: 64, Sockets: 256, ListDelay: [2]time.Duration{500 * time.Millisecond, 3 * time.Second}},
		Traffic:  Traffic{Load: 0.6, Imbalance: 0.5, Keys: 1000, Zipf: 0.7, Retries: 3, RequestTimeoutShare: 0.5, RetryDelay: 20 * time.Millisecond},
		Contract: Contract{DrainGrace: 300 * time.Millisecond, SlowStartFrom: 0.14, SlowStartFor: 24 * time.Second, OverloadMultiple: 3, OverloadWindow: 2 * time.Second},
	}
}

// keepAlive is how long servers keep a connection that idles.
const keepAlive = time.Minute

// Site is Default with the classes and the models of the site.
func Site() *Scenario {
	s := Default()
	s.complete()
	return s
}

// complete gives a scenario that names no classes or no models those of the site.
func (s *Scenario) complete() {
	if len(s.Classes) == 0 {
		s.Classes = siteClasses()
	}
	if len(s.Models) == 0 {
		s.Models = siteModels()
	}
}

func siteClasses() []emulator.Class {
	return []emulator.Class{
		{Name: "cierre-valor", Share: 0.63, Work: 58 * time.Millisecond, WorkCV: 0.55, DependencyWait: 120 * time.Millisecond, LatencyObjective: 750 * time.Millisecond,
			TotalTimeout: 3 * time.Second, PriorityWeight: 10, LateFraction: 0.25, Idempotency: "single_shot"},
		{Name: "registro-precio", Share: 0.37, Work: 57 * time.Millisecond, WorkCV: 0.45, DependencyWait: 120 * time.Millisecond, LatencyObjective: 500 * time.Millisecond,
			TotalTimeout: 2 * time.Second, PriorityWeight: 8, LateFraction: 0.25, Idempotency: "guarded", DedupScope: "cell", DedupWindow: 10 * time.Second},
	}
}

func siteModels() []Model {
	m := Model{Model: emulator.Model{Cores: 2, Slots: 22, Queue: 5, ThrashLoss: 0.18, ThrashAt: 18, CacheSaving: 0.45, CacheTTL: 6 * time.Second, CacheSize: 60, MaxConnections: 1500,
		HandshakeWork: 4 * time.Millisecond, HealthCheckWork: 42 * time.Microsecond,
		Congestion: emulator.Congestion{OnsetLoad: 6, RecoveryLoad: 0.3, OnsetTime: 2 * time.Second, RecoveryTime: 3 * time.Second, MaxTime: 25 * time.Second, Factor: 2.7}}}
	normal, slow := m, m
	normal.Kind, normal.Share, normal.Speed, normal.SlowStartFrom, normal.SlowStartFor, normal.ErrorRate = "normal-2c", 0.59, 0.97, 0.25, 16*time.Second, 0.0015
	slow.Kind, slow.Share, slow.Speed, slow.SlowStartFrom, slow.SlowStartFor = "lento-2c", 0.41, 0.6, 0.2, 17*time.Second
	return []Model{normal, slow}
}

// Load reads a scenario; a wrong key or value is an error that names the file and the line.
func Load(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, string(text))
}

// Parse is Load of a text.
func Parse(path, text string) (*Scenario, error) {
	s := Default()
	md, err := toml.Decode(text, s)
	if err != nil {
		return nil, TOMLError(path, err)
	}
	for _, key := range md.Undecoded() {
		if !strings.Contains(key.String(), "config.") { // an arm's overlay may have any
			return nil, fmt.Errorf("%s:%d: unknown key %q", path, LineOf(text, key), key)
		}
	}
	s.complete()
	if key, err := s.validate(); err != nil {
		return nil, fmt.Errorf("%s:%d: %s: %w", path, LineOf(text, strings.Split(key, ".")), key, err)
	}
	return s, nil
}

// badType is how a value of a wrong type is told by the library, which has no type for that.
var typeErrorPattern = regexp.MustCompile(`^toml: line (\d+) \(last key "(.*?)"\): `)

// TOMLError names the file and the line, and the key where a value is of a wrong type, of an
// error of toml.Decode.
func TOMLError(path string, err error) error {
	if perr := (toml.ParseError{}); errors.As(err, &perr) {
		return fmt.Errorf("%s:%d: %s", path, perr.Position.Line, perr.Message)
	}
	text := err.Error()
	if m := typeErrorPattern.FindStringSubmatch(text); m != nil {
		return fmt.Errorf("%s:%s: %s: %s", path, m[1], m[2], text[len(m[0]):])
	}
	return fmt.Errorf("%s: %w", path, err)
}

// LineOf is the line of a text in which a key's last part is set, or its table's, or the first.
func LineOf(text string, key []string) int {
	for i := len(key) - 1; i >= 0; i-- {
		set := regexp.MustCompile(`^\s*(` + regexp.QuoteMeta(key[i]) + `\s*=|\[+[^]]*\b` + regexp.QuoteMeta(key[i]) + `\]+)`)
		for n, line := range strings.Split(text, "\n") {
			if set.MatchString(line) {
				return n + 1
			}
		}
	}
	return 1
}

// check names the first key whose value makes no sense.
func (s *Scenario) validate() (string, error) {
	above := errors.New("must be above 0")
	part := errors.New("must be from 0 to 1")
	switch {
	case s.Length <= 0:
		return "length", above
	case s.Seeds < 1:
		return "seeds", above
	case s.Fleet.Agents < 1:
		return "fleet.agents", above
	case s.Fleet.Servers < 1:
		return "fleet.nodes", above
	case s.Fleet.CellSize < 1:
		return "fleet.pod", above
	case len(s.Fleet.Zones) == 0:
		return "fleet.zones", errors.New("one at least is needed")
	case s.Fleet.ListDelay[1] < s.Fleet.ListDelay[0]:
		return "fleet.list_delay", errors.New("the second is below the first")
	case s.Traffic.Rate <= 0 && s.Traffic.Load <= 0:
		return "traffic.rate", errors.New("rate or load must be above 0")
	case s.Traffic.Imbalance < 0 || s.Traffic.Imbalance >= 1:
		return "traffic.uneven", errors.New("must be from 0 to below 1")
	case s.Traffic.RequestTimeoutShare <= 0 || s.Traffic.RequestTimeoutShare > 1:
		return "traffic.try_share", part
	}
	for _, t := range s.Faults {
		switch {
		case faultKinds[t.Kind].description == "":
			return "trouble.kind", fmt.Errorf("there is no trouble %q", t.Kind)
		case t.At < 0 || t.At > s.Length:
			return "trouble.at", errors.New("is outside the length")
		case t.Kind == "burst" && t.Magnitude <= 0:
			return "trouble.size", above
		case t.Share < 0 || t.Share > 1:
			return "trouble.share", part
		case faultKinds[t.Kind].needsZone && !slices.Contains(s.Fleet.Zones, t.Zone):
			return "trouble.zone", fmt.Errorf("there is no zone %q", t.Zone)
		}
	}
	names := map[string]bool{}
	for _, a := range s.Arms {
		if a.Name == "" || names[a.Name] {
			return "arm.name", fmt.Errorf("must be there and be another for each arm, is %q", a.Name)
		}
		names[a.Name] = true
	}
	if len(s.Arms) == 0 {
		s.Arms = []Arm{{Name: "as it is"}}
	}
	return "", nil
}

// rate is how many requests a second are asked.
func (s *Scenario) requestRate() float64 {
	if s.Traffic.Rate > 0 {
		return s.Traffic.Rate
	}
	work, cores, shares := 0.0, 0.0, 0.0
	for _, c := range s.Classes {
		work += c.Share * c.Work.Seconds()
	}
	for _, m := range s.Models {
		cores += m.Share * float64(m.Cores) * m.Speed
		shares += m.Share
	}
	return s.Traffic.Load * float64(s.Fleet.Servers) * cores / shares / work
}

// world is the scenario's world on a seed.
func (s *Scenario) emulatorConfig(seed uint64) emulator.Config {
	c := emulator.Config{Seed: seed, Zones: s.Fleet.Zones, ZoneDelay: s.Fleet.ZoneDelay, Servers: s.Fleet.Servers, CellSize: s.Fleet.CellSize,
		Contract: emulator.Contract{DrainGrace: s.Contract.DrainGrace, SlowStartFrom: s.Contract.SlowStartFrom, SlowStartFor: s.Contract.SlowStartFor,
			OverloadMultiple: s.Contract.OverloadMultiple, OverloadWindow: s.Contract.OverloadWindow, Slack: 50 * time.Millisecond},
		Rate: s.requestRate(), Keys: s.Traffic.Keys, Zipf: s.Traffic.Zipf, Retries: s.Traffic.Retries, RequestTimeoutShare: s.Traffic.RequestTimeoutShare,
		RetryDelay: s.Traffic.RetryDelay, ListDelay: s.Fleet.ListDelay, KeepAlive: keepAlive}
	shares, sum := make([]float64, s.Fleet.Agents), 0.0
	for i := range shares {
		// Spread evenly between the least and the most, in an order that mixes the zones.
		x := 0.5
		if n := len(shares); n > 1 {
			x = float64(i*7%n) / float64(n-1)
		}
		shares[i] = 1 + s.Traffic.Imbalance*(2*math.Min(1, x)-1)
		sum += shares[i]
	}
	for i, share := range shares {
		c.Agents = append(c.Agents, emulator.Agent{Name: fmt.Sprintf("a%03d", i), Zone: i % len(s.Fleet.Zones), Share: share / sum})
	}
	c.Classes = s.Classes
	for _, m := range s.Models {
		c.ModelShares, c.Models = append(c.ModelShares, m.Share), append(c.Models, m.Model)
	}
	return c
}
