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

// settingsKey is the key of the settings in the configuration file.
const settingsKey = "settings"

// agentOnlyKeys are the settings that are specific to one agent. They always come from its file, even if the discovery
// service provides the others.
var agentOnlyKeys = []string{"index", "zone"}

// parseSettings parses and validates the settings of a configuration. Errors name the key.
func (c *Config) parseSettings(text []byte) error {
	settings, err := balancer.ParseSettings(text)
	if err != nil {
		return err
	}
	c.Settings = settings
	_, err = policy.New(c.Settings, c.Seed)
	return err
}

// WithServiceSettings returns a copy of the configuration with its settings, except agentOnlyKeys, replaced by those of
// the discovery service. Errors name the key that is invalid. As with Reload, it is also an error if the new settings
// lack a key that those in force have.
func (c *Config) WithServiceSettings(settings *endpoint.Settings) (*Config, error) {
	var object document
	if err := json.Unmarshal(settings.Value, &object); err != nil || object == nil {
		return nil, errors.New("settings: not a JSON object")
	}
	maps.DeleteFunc(object, func(key string, _ any) bool { return isAgentOnlyKey(key) })
	ownObject, _ := c.document.section(settingsKey)
	maps.Copy(object, ownObject.only(agentOnlyKeys))
	if key := ownObject.missingIn(object, settingsKey); key != "" {
		key = strings.TrimPrefix(key, settingsKey+".")
		return nil, fmt.Errorf("settings: %s: missing, though it was there before", key)
	}
	var parsed Config
	parsed.Seed = c.Seed
	if err := parsed.parseSettings(settings.Value); err != nil {
		return nil, err
	}
	parsed.Settings.Index = c.Settings.Index
	parsed.Settings.Zone = c.Settings.Zone
	parsed.serviceSettings = settings
	next := *c
	next.useSettingsOf(&parsed)
	next.document = c.document.withSection(settingsKey, object)
	if err := next.checkFleetSize(); err != nil {
		return nil, err
	}
	return &next, nil
}

// KeepServiceSettings returns c, which was read from a file. If the settings in force came from the discovery service,
// the result has those settings, because they take precedence over the settings of a file.
func (c *Config) KeepServiceSettings(inForce *Config) (*Config, error) {
	if inForce.serviceSettings == nil {
		return c, nil
	}
	next := *c
	if ownObject, ok := c.document.section(settingsKey); ok {
		// The file's other settings are not in force, so the next settings need not contain their keys.
		next.document = c.document.withSection(settingsKey, ownObject.only(agentOnlyKeys))
	}
	return next.WithServiceSettings(inForce.serviceSettings)
}

// isAgentOnlyKey reports whether key is one of agentOnlyKeys. Like encoding/json, it ignores case.
func isAgentOnlyKey(key string) bool {
	return slices.ContainsFunc(agentOnlyKeys, func(own string) bool { return strings.EqualFold(key, own) })
}
