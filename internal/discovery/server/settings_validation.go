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

// maxNameBytes bounds the name of a service or an agent.
const maxNameBytes = 128

// validateSettings checks a text of settings as an agent would. Its error is one line that names
// the key: balancer.ParseSettings or Settings.Validate rejects the text, the names of zones or machine
// kinds are not strings, or it sets index or zone, which each agent has of its own.
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

// rejectAgentKeys returns an error if a key is one that each agent has of its own. Case does not
// matter, as encoding/json matches a field's name in any case.
func rejectAgentKeys(keys map[string]json.RawMessage) error {
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		if strings.EqualFold(key, "index") || strings.EqualFold(key, "zone") {
			return fmt.Errorf("settings: %s: is each agent's own, leave it out", strings.ToLower(key))
		}
	}
	return nil
}

// validateName returns an error if a text can't be the name of a service.
func validateName(service string) error {
	valid := service != "" && service != "." && service != ".." &&
		len(service) <= maxNameBytes &&
		utf8.ValidString(service) &&
		!strings.Contains(service, "/") &&
		!strings.ContainsFunc(service, unicode.IsControl)
	if !valid {
		return fmt.Errorf("service: %.40q is no name: want 1 to %d bytes, no / and no control characters",
			service, maxNameBytes)
	}
	return nil
}
