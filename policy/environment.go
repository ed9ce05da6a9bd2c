package policy

import (
	"math/rand/v2"

	"fernbeam.example/fernbeam/internal/balancer"
)

// environment is what all components of a Balancer share: the settings in force, the time and the random
// numbers of the decision under way, and the actions that it has given so far.
type environment struct {
	settings balancer.Settings
	random   *rand.Rand
	now      float64 // milliseconds, on the host's clock, which may be set back
	actions  []balancer.Action
}

// emit appends an action to those of the decision under way.
func (e *environment) emit(action balancer.Action) { e.actions = append(e.actions, action) }

// fleetSize is the number of agents, at least one.
func (e *environment) fleetSize() float64 { return float64(max(e.settings.FleetSize, 1)) }
