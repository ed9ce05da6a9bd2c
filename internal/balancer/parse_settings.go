package balancer

import (
	"encoding/json"
	"errors"
	"fmt"
)

// ParseSettings reads settings from their JSON text, without Validate's checks. Unknown keys are ignored; a value of
// a wrong type is an error that names the key.
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
	return settings, fmt.Errorf("settings: no JSON: %w", err)
}
