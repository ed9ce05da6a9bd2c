package scaletest

import (
	"fmt"
	"math"

	"github.com/BurntSushi/toml"
)

// Target is what a plan's rates come from: the parts of deploy/target.toml that tell them.
type Target struct {
	Agents         int
	Services       int
	ChangesPerDay  float64
	InForceS       float64
	MachinesFailed float64
	AgentsReplaced float64
}

// LoadTarget reads a target; the error names the file and the key.
func LoadTarget(path string) (*Target, error) {
	var f struct {
		Fleet struct {
			Agents   int `toml:"agents"`
			Services int `toml:"services"`
		} `toml:"fleet"`
		Changes struct {
			PerDay   float64 `toml:"per_day"`
			InForceS float64 `toml:"in_force_s"`
		} `toml:"changes"`
		Day struct {
			MachinesFailed float64 `toml:"machines_failed"`
			AgentsReplaced float64 `toml:"agents_replaced"`
		} `toml:"day"`
	}
	if _, err := toml.DecodeFile(path, &f); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	t := &Target{Agents: f.Fleet.Agents, Services: f.Fleet.Services, ChangesPerDay: f.Changes.PerDay, InForceS: f.Changes.InForceS,
		MachinesFailed: f.Day.MachinesFailed, AgentsReplaced: f.Day.AgentsReplaced}
	switch {
	case t.Agents < 1:
		return nil, fmt.Errorf("%s: fleet.agents: must be above 0", path)
	case t.ChangesPerDay < 0:
		return nil, fmt.Errorf("%s: changes.per_day: must be 0 or more", path)
	case t.MachinesFailed < 0:
		return nil, fmt.Errorf("%s: day.machines_failed: must be 0 or more", path)
	case t.AgentsReplaced < 0:
		return nil, fmt.Errorf("%s: day.agents_replaced: must be 0 or more", path)
	case t.Services < 1:
		return nil, fmt.Errorf("%s: fleet.services: must be above 0", path)
	}
	return t, nil
}

// servicesAt is how many services a fleet of a size has: the target's in proportion, one at least.
func (t *Target) servicesAt(size int) int {
	return max(1, int(math.Round(float64(size)*float64(t.Services)/float64(t.Agents))))
}

// secondsADay is the day that the target's rates are of.
const secondsADay = 86400

// hurried is how many of what the target has so often a day come within some seconds at a size.
func (t *Target) hurried(aDay float64, size int, p *Plan) float64 {
	return aDay * float64(size) / float64(t.Agents) / secondsADay * p.Seconds * p.RateFactor
}
