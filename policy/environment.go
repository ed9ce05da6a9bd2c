package policy

import (
	"math/rand/v2"

	"fernbeam.example/fernbeam/internal/balancer"
)

// environment is the state that all components of a Balancer share: the settings in force, the random
// number generator, and the time and the actions of the event being processed.
type environment struct {
	settings balancer.Settings
	random   *rand.Rand
	now      float64 // in milliseconds on the host's clock, which may be set back
	actions  []balancer.Action
}

// emit appends an action to those of the event being processed.
func (e *environment) emit(action balancer.Action) { e.actions = append(e.actions, action) }

// fleetSize returns the number of agents, at least one.
func (e *environment) fleetSize() float64 { return float64(max(e.settings.FleetSize, 1)) }
