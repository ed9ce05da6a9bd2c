package experiment

import (
	"errors"
	"fmt"
	"slices"
)

// Errors that several keys share.
var (
	errNotPositive = errors.New("must be above 0")
	errNotFraction = errors.New("must be from 0 to 1")
)

// validate returns the first key with an invalid value and the reason, or an empty key and nil.
func (s *Scenario) validate() (key string, reason error) {
	for _, check := range []func() (string, error){s.validateSizes, s.validateFaults, s.validateArms} {
		if key, reason := check(); reason != nil {
			return key, reason
		}
	}
	return "", nil
}

// validateSizes validates the length, the number of seeds, the fleet and the traffic.
func (s *Scenario) validateSizes() (key string, reason error) {
	switch {
	case s.Length <= 0:
		return "length", errNotPositive
	case s.Seeds < 1:
		return "seeds", errNotPositive
	case s.Fleet.Agents < 1:
		return "fleet.agents", errNotPositive
	case s.Fleet.Servers < 1:
		return "fleet.nodes", errNotPositive
	case s.Fleet.CellSize < 1:
		return "fleet.pod", errNotPositive
	case len(s.Fleet.Zones) == 0:
		return "fleet.zones", errors.New("must have at least one zone")
	case s.Fleet.ListDelay.Max() < s.Fleet.ListDelay.Min():
		return "fleet.list_delay", errors.New("the maximum must not be below the minimum")
	case s.Traffic.Rate <= 0 && s.Traffic.Load <= 0:
		return "traffic.rate", errors.New("rate or load must be above 0")
	case s.Traffic.Imbalance < 0 || s.Traffic.Imbalance >= 1:
		return "traffic.uneven", errors.New("must be at least 0 and below 1")
	case s.Traffic.RequestTimeoutShare <= 0 || s.Traffic.RequestTimeoutShare > 1:
		return "traffic.try_share", errNotFraction
	}
	return "", nil
}

// validateFaults validates the faults.
func (s *Scenario) validateFaults() (key string, reason error) {
	for _, fault := range s.Faults {
		effect, known := faultEffects[fault.Kind]
		switch {
		case !known:
			return "trouble.kind", fmt.Errorf("unknown fault %q", fault.Kind)
		case fault.At < 0 || fault.At > s.Length:
			return "trouble.at", errors.New("must be from 0 to the length of the scenario")
		case fault.Kind == faultBurst && fault.Magnitude <= 0:
			return "trouble.size", errNotPositive
		case fault.Share < 0 || fault.Share > 1:
			return "trouble.share", errNotFraction
		case effect.needsZone && !slices.Contains(s.Fleet.Zones, fault.Zone):
			return "trouble.zone", fmt.Errorf("unknown zone %q", fault.Zone)
		}
	}
	return "", nil
}

// validateArms validates the arms.
func (s *Scenario) validateArms() (key string, reason error) {
	names := map[string]bool{}
	for _, arm := range s.Arms {
		if arm.Name == "" || names[arm.Name] {
			return "arm.name", fmt.Errorf("each arm must have a unique name; got %q", arm.Name)
		}
		names[arm.Name] = true
	}
	return "", nil
}
