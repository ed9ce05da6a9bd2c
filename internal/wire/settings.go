package wire

import (
	"encoding/json"
	"errors"
	"fmt"

	"fernbeam.example/fernbeam/internal/balancer"
)

// ParseSettings reads the JSON text of a boot record. Unknown keys are ignored; a value of a wrong type
// is an error that names the key.
func ParseSettings(text []byte) (balancer.Settings, error) {
	var settings balancer.Settings
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
