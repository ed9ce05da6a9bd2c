package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"fernbeam.example/fernbeam/internal/balancer"
	"fernbeam.example/fernbeam/internal/endpoint"
	"fernbeam.example/fernbeam/policy"
)

// settingsKey is the key of the settings in the configuration's file.
const settingsKey = "settings"

// agentOnlyKeys are the keys of the settings that belong to one agent: they come from its file, also where the
// discovery service sets the others.
var agentOnlyKeys = []string{"index", "zone"}

// parseSettings reads and checks the settings of a configuration; an error names the key.
func (c *Config) parseSettings(text []byte) error {
	settings, err := balancer.ParseSettings(text)
	if err != nil {
		return err
	}
	// The policy knows zones and kinds by number only; discovery names them.
	var names struct {
		Zones []string `json:"failureDomains"`
		Kinds []string `json:"shapes"`
	}
	if err := json.Unmarshal(text, &names); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	c.Settings = settings
	c.Zones = names.Zones
	c.Kinds = names.Kinds
	_, err = policy.New(c.Settings, c.Seed)
	return err
}

// WithServiceSettings is the configuration with settings of the discovery service in place of its own, except
// for agentOnlyKeys. The rules are those of Reload: an error names the key that can't be used, or that
// the settings in force have and the new ones lack.
func (c *Config) WithServiceSettings(settings *endpoint.Settings) (*Config, error) {
	var object document
	if err := json.Unmarshal(settings.Value, &object); err != nil || object == nil {
		return nil, errors.New("settings: not a JSON object")
	}
	maps.DeleteFunc(object, func(key string, _ any) bool { return isAgentOnlyKey(key) })
	ownObject, _ := c.document.section(settingsKey)
	maps.Copy(object, ownObject.only(agentOnlyKeys))
	if key := ownObject.missingIn(object); key != "" {
		return nil, fmt.Errorf("settings: %s: missing, though it was there before", key)
	}
	next := *c
	if err := next.parseSettings(settings.Value); err != nil {
		return nil, err
	}
	next.Settings.Index = c.Settings.Index
	next.Settings.Zone = c.Settings.Zone
	next.document = c.document.withSection(settingsKey, object)
	next.serviceSettings = settings
	return &next, nil
}

// KeepServiceSettings is the configuration, which a file brought, with the settings of the one in force where
// those came from the discovery service: they have precedence over a file's.
func (c *Config) KeepServiceSettings(inForce *Config) (*Config, error) {
	if inForce.serviceSettings == nil {
		return c, nil
	}
	next := *c
	if ownObject, ok := c.document.section(settingsKey); ok {
		// The file's other keys no longer count, and so can't be missing.
		next.document = c.document.withSection(settingsKey, ownObject.only(agentOnlyKeys))
	}
	return next.WithServiceSettings(inForce.serviceSettings)
}

// isAgentOnlyKey compares as encoding/json does, which takes a key in any case for a field's.
func isAgentOnlyKey(key string) bool {
	return slices.ContainsFunc(agentOnlyKeys, func(own string) bool { return strings.EqualFold(key, own) })
}
