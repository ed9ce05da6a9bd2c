package server

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"

	"fernbeam.example/fernbeam/internal/balancer"
)

// maxNameBytes bounds the length of the name of a service or an agent.
const maxNameBytes = 128

// validateSettings applies the agents' checks to the text of settings. It returns an error of one line
// that includes the key if balancer.ParseSettings or Settings.Validate rejects the text, if the names of
// zones or machine kinds are not strings, or if the text sets index or zone, which are set per agent.
func validateSettings(text []byte) error {
	var keys map[string]json.RawMessage
	if !utf8.Valid(text) || json.Unmarshal(text, &keys) != nil || keys == nil {
		return errors.New("settings: not a JSON object in UTF-8")
	}
	if err := rejectAgentKeys(keys); err != nil {
		return err
	}
	for _, key := range []string{"failureDomains", "shapes"} {
		var names []string
		if raw, ok := keys[key]; ok && json.Unmarshal(raw, &names) != nil {
			return fmt.Errorf("settings: %s: must be a list of names", key)
		}
	}
	settings, err := balancer.ParseSettings(text)
	if err != nil {
		return err
	}
	return settings.Validate()
}

// rejectAgentKeys returns an error if a key is one that is set per agent. It ignores case, because
// encoding/json matches field names case-insensitively.
func rejectAgentKeys(keys map[string]json.RawMessage) error {
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		if strings.EqualFold(key, "index") || strings.EqualFold(key, "zone") {
			return fmt.Errorf("settings: %s: is set per agent and must be omitted", strings.ToLower(key))
		}
	}
	return nil
}

// validateServiceName returns an error if the name of a service is invalid.
func validateServiceName(service string) error {
	valid := service != "" && service != "." && service != ".." &&
		len(service) <= maxNameBytes &&
		utf8.ValidString(service) &&
		!strings.Contains(service, "/") &&
		!strings.ContainsFunc(service, unicode.IsControl)
	if !valid {
		return fmt.Errorf("service: %.40q is not a valid name: want 1 to %d bytes without / and control characters",
			service, maxNameBytes)
	}
	return nil
}
