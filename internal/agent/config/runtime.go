package config

import (
	"errors"
	"reflect"

	"fernbeam.example/fernbeam/internal/membership"
)

// startOnlyKeys are the keys of the file that take effect only at a start, as paths of object keys.
var startOnlyKeys = [][]string{
	{"name"}, {"listen"}, {"management"}, {"seed"},
	{"limits", "cores"}, {"limits", "memory_mb"}, {"limits", "sockets"},
	{"fleet"}, {"control", "service"},
}

// WithRuntimeChanges returns the configuration in force once next has replaced c at run time. The settings, all that
// is derived from them, and the addresses of discovery are those of next. Everything else stays as it was at the start.
func (c *Config) WithRuntimeChanges(next *Config) *Config {
	merged := *c
	merged.useSettingsOf(next)
	merged.Discovery = next.Discovery
	merged.DiscoveryChoice = c.DiscoveryChoice.Reloaded(next.Discovery)
	merged.FileSum = next.FileSum
	if c.Control != nil && next.Control != nil { // the section can't be added at run time
		merged.Control = &Control{Service: c.Control.Service, Addresses: next.Control.Addresses}
	}
	if merged.startDocument == nil {
		merged.startDocument = c.document
	}
	merged.document = next.document
	return &merged
}

// useSettingsOf takes over the settings of another configuration with all that is derived from them.
func (c *Config) useSettingsOf(other *Config) {
	c.Settings = other.Settings
	c.serviceSettings = other.serviceSettings
	c.Membership = withFleetSize(c.Membership, other.Settings.FleetSize)
}

// withFleetSize returns a copy of a membership configuration with another fleet size, or nil for nil.
func withFleetSize(fleet *membership.Config, size int) *membership.Config {
	if fleet == nil {
		return nil
	}
	resized := *fleet
	resized.Size = size
	return &resized
}

// checkFleetSize checks that the settings have a fleet size if the agent keeps a membership view.
func (c *Config) checkFleetSize() error {
	if c.Membership != nil && c.Settings.FleetSize < 1 {
		return errors.New("settings: replicasOfMe: must be at least 1 with a fleet")
	}
	return nil
}

// PendingKeys returns the keys of the file that have changed since the start but take effect only at the next one.
func (c *Config) PendingKeys() []string {
	if c.startDocument == nil {
		return nil
	}
	var pending []string
	for _, path := range startOnlyKeys {
		if !reflect.DeepEqual(c.startDocument.valueAt(path), c.document.valueAt(path)) {
			pending = append(pending, joinKeys(path))
		}
	}
	return pending
}
