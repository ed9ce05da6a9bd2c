package agent

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"strings"

	"fernbeam.example/fernbeam/internal/endpoint"
	"fernbeam.example/fernbeam/internal/wire"
	"fernbeam.example/fernbeam/policy"
)

// takeSettings reads and checks the settings of a configuration; an error names the key.
func (c *Config) parseSettings(text []byte) error {
	settings, err := wire.ParseSettings(text)
	if err != nil {
		return err
	}
	// The module knows zones and kinds by number only; discovery names them.
	var names struct {
		Zones []string `json:"failureDomains"`
		Kinds []string `json:"shapes"`
	}
	if err := json.Unmarshal(text, &names); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	c.Settings, c.Zones, c.Kinds = settings, names.Zones, names.Kinds
	_, err = policy.New(c.Settings, c.Seed)
	return err
}

// withTold is the configuration with settings that the list service told in place of its own, but
// for index and zone. The rules are ReloadConfig's: an error names the key that can't be used, or
// that the settings in force have and these lack.
func (c *Config) withServiceSettings(s *endpoint.Settings) (*Config, error) {
	var text map[string]any
	if err := json.Unmarshal(s.Value, &text); err != nil || text == nil {
		return nil, errors.New("settings: not a JSON object")
	}
	// encoding/json takes a key in any case for a field's.
	maps.DeleteFunc(text, func(key string, _ any) bool { return strings.EqualFold(key, "index") || strings.EqualFold(key, "zone") })
	own, _ := c.text["settings"].(map[string]any)
	for _, key := range []string{"index", "zone"} {
		if value, ok := own[key]; ok {
			text[key] = value
		}
	}
	if key := missingKey(own, text); key != "" {
		return nil, fmt.Errorf("settings: %s: missing, though it was there before", key)
	}
	n := *c
	if err := n.parseSettings(s.Value); err != nil {
		return nil, err
	}
	n.Settings.Index, n.Settings.Zone = c.Settings.Index, c.Settings.Zone
	n.text = maps.Clone(c.text)
	if n.text == nil {
		n.text = map[string]any{}
	}
	n.text["settings"], n.serviceSettings = text, s
	return &n, nil
}

// withForced is the configuration, which a file brought, with the settings of the one in force where
// those came from the list service: they win over a file's.
func (c *Config) keepServiceSettings(now *Config) (*Config, error) {
	if now.serviceSettings == nil {
		return c, nil
	}
	n := *c
	n.text = maps.Clone(c.text)
	if own, ok := c.text["settings"].(map[string]any); ok {
		// The file's other keys count no more, and so can't be missed.
		kept := map[string]any{}
		for _, key := range []string{"index", "zone"} {
			if value, ok := own[key]; ok {
				kept[key] = value
			}
		}
		n.text["settings"] = kept
	}
	return n.withServiceSettings(now.serviceSettings)
}
