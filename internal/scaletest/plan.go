package scaletest

import (
	"errors"
	"fmt"
	"math"
	"os"
	"slices"

	"github.com/BurntSushi/toml"

	"fernbeam.example/fernbeam/internal/capacity"
	"fernbeam.example/fernbeam/internal/experiment"
)

// Plan describes a scale test: the sizes of the fleets, and the load profiles that run on each. A key that is left out
// has the value from DefaultPlan.
type Plan struct {
	Name               string             `toml:"name"`
	Sizes              []int              `toml:"sizes"`         // number of hollow agents of each fleet
	Real               int                `toml:"real"`          // number of real agents in each fleet
	DiscoveryInstances int                `toml:"lists"`         // 3 or 4
	ListedServers      int                `toml:"listed"`        // servers on the endpoint list; 0: as many as agents
	AgentsPerHost      int                `toml:"agents_a_host"` // hollow agents that share a host process
	Repeats            int                `toml:"repeats"`       // number of successive fleets of each size
	Seed               uint64             `toml:"seed"`          // of the first repeat
	Profiles           []capacity.Profile `toml:"days"`          // run in order on one fleet
	Seconds            float64            `toml:"seconds"`       // measured length of a run
	// RateFactor multiplies the target's rates of changes and restarts, which are scaled to the size of the fleet.
	RateFactor float64 `toml:"hurry"`
	// SettingsFraction is the fraction of the changes, from 0 to 1, that change a service's settings instead of the
	// endpoint list. If it is above 0, the configuration of each agent has the section "control" with a service and
	// all discovery instances.
	SettingsFraction float64 `toml:"settings"`
}

const (
	// minHollowAgents is the number of membership seeds, all of which are hollow agents.
	minHollowAgents = 3
	// minRunSeconds is long enough for the events of a load profile.
	minRunSeconds = 5
	maxRunSeconds = 3600
	// Raft needs at least three instances; more than four are not expected.
	minDiscoveryInstances = 3
	maxDiscoveryInstances = 4
)

// The values of keys that a plan file leaves out.
const (
	defaultName          = "plan"
	defaultRealAgents    = 20
	defaultAgentsPerHost = 50
	defaultRepeats       = 1
	defaultSeed          = 1
	defaultSeconds       = 20
	defaultRateFactor    = 200
)

// DefaultPlan returns a plan that has the default of each key, and no sizes.
func DefaultPlan() *Plan {
	return &Plan{
		Name:               defaultName,
		Real:               defaultRealAgents,
		DiscoveryInstances: minDiscoveryInstances,
		AgentsPerHost:      defaultAgentsPerHost,
		Repeats:            defaultRepeats,
		Seed:               defaultSeed,
		Profiles:           []capacity.Profile{capacity.ProfileQuiet, capacity.ProfileOrdinary},
		Seconds:            defaultSeconds,
		RateFactor:         defaultRateFactor,
	}
}

// SmallPlan returns a plan that takes less than 45 s.
func SmallPlan() *Plan {
	p := DefaultPlan()
	p.Name = "small"
	p.Sizes = []int{30}
	p.Real = 3
	p.AgentsPerHost = 15
	p.Seconds = 8
	p.RateFactor = 2000
	return p
}

// LoadPlan reads a plan from a file. The error for an invalid key or value names the file and the line.
func LoadPlan(path string) (*Plan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParsePlan(path, string(text))
}

// ParsePlan parses the text of a plan file. Errors name path.
func ParsePlan(path, text string) (*Plan, error) {
	p := DefaultPlan()
	meta, err := toml.Decode(text, p)
	if err != nil {
		return nil, experiment.TOMLError(path, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		line := experiment.LineOf(text, unknown[0])
		return nil, fmt.Errorf("%s:%d: unknown key %q", path, line, unknown[0])
	}
	if err := p.check(); err != nil {
		line := 1
		var keyErr *keyError
		if errors.As(err, &keyErr) {
			line = experiment.LineOf(text, []string{keyErr.key})
		}
		return nil, fmt.Errorf("%s:%d: %w", path, line, err)
	}
	return p, nil
}

// keyError is the error for an invalid value of a key.
type keyError struct {
	key     string
	problem string
}

func (e *keyError) Error() string { return e.key + ": " + e.problem }

// invalid returns a *keyError.
func invalid(key, format string, args ...any) error {
	return &keyError{key: key, problem: fmt.Sprintf(format, args...)}
}

// check returns a *keyError for the first key with an invalid value.
func (p *Plan) check() error {
	for _, n := range p.Sizes {
		if n < minHollowAgents {
			return invalid("sizes", "%d hollow agents: at least %d are needed as membership seeds", n, minHollowAgents)
		}
	}
	if err := p.checkProfiles(); err != nil {
		return err
	}
	switch {
	case p.Name == "":
		return invalid("name", "must not be empty")
	case len(p.Sizes) == 0:
		return invalid("sizes", "at least one is required")
	case p.Real < 0:
		return invalid("real", "must be 0 or more, is %d", p.Real)
	case p.DiscoveryInstances < minDiscoveryInstances || p.DiscoveryInstances > maxDiscoveryInstances:
		return invalid("lists", "must be %d or %d, is %d",
			minDiscoveryInstances, maxDiscoveryInstances, p.DiscoveryInstances)
	case p.ListedServers < 0:
		return invalid("listed", "must be 0 or more, is %d", p.ListedServers)
	case p.AgentsPerHost < 1:
		return invalid("agents_a_host", "must be above 0, is %d", p.AgentsPerHost)
	case p.Repeats < 1:
		return invalid("repeats", "must be above 0, is %d", p.Repeats)
	case len(p.Profiles) == 0:
		return invalid("days", "at least one is required")
	}
	return p.checkRates()
}

// checkProfiles checks that each load profile exists and is listed once.
func (p *Plan) checkProfiles() error {
	for i, name := range p.Profiles {
		if loadProfiles[name] == nil {
			return invalid("days", "unknown load profile %q, there are %s",
				name, capacity.JoinProfiles(capacity.Profiles))
		}
		if slices.Index(p.Profiles, name) < i {
			return invalid("days", "%q is listed twice", name)
		}
	}
	return nil
}

// checkRates checks the numbers that may be NaN. It negates the valid range, because no comparison with NaN is true.
func (p *Plan) checkRates() error {
	switch {
	case !(p.Seconds >= minRunSeconds && p.Seconds <= maxRunSeconds):
		return invalid("seconds", "must be from %d to %d, is %v", minRunSeconds, maxRunSeconds, p.Seconds)
	case !(p.RateFactor > 0) || math.IsInf(p.RateFactor, 0):
		return invalid("hurry", "must be above 0, is %v", p.RateFactor)
	case !(p.SettingsFraction >= 0 && p.SettingsFraction <= 1):
		return invalid("settings", "must be from 0 to 1, is %v", p.SettingsFraction)
	}
	return nil
}
