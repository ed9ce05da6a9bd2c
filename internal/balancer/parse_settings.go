package balancer

import (
	"encoding/json"
	"errors"
	"fmt"
)

// ParseSettings parses settings in JSON without validating them. It ignores unknown keys and returns an
// error that names the key for a value of the wrong type.
func ParseSettings(text []byte) (Settings, error) {
	var settings Settings
	err := json.Unmarshal(text, &settings)
	if err == nil {
		return settings, nil
	}
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return settings, fmt.Errorf("settings: %s: cannot be a %s", typeError.Field, typeError.Value)
	}
	return settings, fmt.Errorf("settings: invalid JSON: %w", err)
}
