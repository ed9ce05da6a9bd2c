package scaletest

import (
	"errors"
	"fmt"
	"math"
	"os"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"

	"fernbeam.example/fernbeam/internal/experiment"
)

// Plan is what is played: fleets of some sizes, and days on each. The TOML keys are its fields'
// tags; what is left out is as DefaultPlan has it.
type Plan struct {
	Name               string `toml:"name"`
	Sizes              []int  `toml:"sizes"`  // hollow agents of each fleet
	Real               int    `toml:"real"`   // processes of the agent beside them
	DiscoveryInstances int    `toml:"lists"`  // instances of the list service, 3 or 4
	ListedServers      int    `toml:"listed"` // servers on the list; 0: as many as agents
	// AgentsAHost is how many hollow agents share a process.
	AgentsPerHost int      `toml:"agents_a_host"`
	Repeats       int      `toml:"repeats"` // fleets of each size, one after the other
	Seed          uint64   `toml:"seed"`    // the first repeat's
	Days          []string `toml:"days"`    // played in their order on one fleet
	Seconds       float64  `toml:"seconds"` // measured, of a day
	// Hurry is by how much changes and restarts come faster than the target has them at the size.
	RateFactor float64 `toml:"hurry"`
	// Settings is the share of the changes, 0 to 1, that are of a service's settings, not of the list.
	// Above 0 the agents have the section "control", each with a service and all list instances.
	SettingsFraction float64 `toml:"settings"`
}

// DefaultPlan is what a plan has where it says nothing.
func DefaultPlan() *Plan {
	return &Plan{Name: "plan", Real: 20, DiscoveryInstances: 3, AgentsPerHost: 50, Repeats: 1, Seed: 1, Days: []string{"quiet", "ordinary"}, Seconds: 20, RateFactor: 200}
}

// SmallPlan is the built-in one, for a look within 45 s.
func SmallPlan() *Plan {
	p := DefaultPlan()
	p.Name, p.Sizes, p.Real, p.AgentsPerHost, p.Seconds, p.RateFactor = "small", []int{30}, 3, 15, 8, 2000
	return p
}

// LoadPlan reads a plan; a wrong key or value is an error that names the file and the line.
func LoadPlan(path string) (*Plan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParsePlan(path, string(text))
}

// ParsePlan is LoadPlan of a text.
func ParsePlan(path, text string) (*Plan, error) {
	p := DefaultPlan()
	md, err := toml.Decode(text, p)
	if err != nil {
		return nil, experiment.TOMLError(path, err)
	}
	if extra := md.Undecoded(); len(extra) > 0 {
		return nil, fmt.Errorf("%s:%d: unknown key %q", path, experiment.LineOf(text, extra[0]), extra[0])
	}
	if key, err := p.check(); err != nil {
		return nil, fmt.Errorf("%s:%d: %s: %w", path, experiment.LineOf(text, []string{key}), key, err)
	}
	return p, nil
}

// check names the first key whose value makes no sense.
func (p *Plan) check() (string, error) {
	for _, n := range p.Sizes {
		if n < minHollowAgents {
			return "sizes", fmt.Errorf("%d hollow agents: %d at least are needed, the fleet's seeds", n, minHollowAgents)
		}
	}
	for i, d := range p.Days {
		switch {
		case days[d] == nil:
			return "days", fmt.Errorf("there is no day %q, there are %s", d, strings.Join(DayNames(), ", "))
		case slices.Index(p.Days, d) < i:
			return "days", fmt.Errorf("%q is there twice", d)
		}
	}
	switch {
	case p.Name == "":
		return "name", errors.New("must be there")
	case len(p.Sizes) == 0:
		return "sizes", errors.New("one at least is needed")
	case p.Real < 0:
		return "real", fmt.Errorf("must be 0 or more, is %d", p.Real)
	case p.DiscoveryInstances != 3 && p.DiscoveryInstances != 4:
		return "lists", fmt.Errorf("must be 3 or 4, is %d", p.DiscoveryInstances)
	case p.ListedServers < 0:
		return "listed", fmt.Errorf("must be 0 or more, is %d", p.ListedServers)
	case p.AgentsPerHost < 1:
		return "agents_a_host", fmt.Errorf("must be above 0, is %d", p.AgentsPerHost)
	case p.Repeats < 1:
		return "repeats", fmt.Errorf("must be above 0, is %d", p.Repeats)
	case len(p.Days) == 0:
		return "days", errors.New("one at least is needed")
	case !(p.Seconds >= minDaySeconds && p.Seconds <= 3600):
		return "seconds", fmt.Errorf("must be from %d to 3600, is %v", minDaySeconds, p.Seconds)
	case !(p.RateFactor > 0) || math.IsInf(p.RateFactor, 0):
		return "hurry", fmt.Errorf("must be above 0, is %v", p.RateFactor)
	case !(p.SettingsFraction >= 0 && p.SettingsFraction <= 1):
		return "settings", fmt.Errorf("must be from 0 to 1, is %v", p.SettingsFraction)
	}
	return "", nil
}

const (
	// leastHollow is the number of the fleet's seeds, which are hollow agents.
	minHollowAgents = 3
	// leastSeconds leaves a day room for what happens on it.
	minDaySeconds = 5
)
