package membership

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// KeyError is the error for an invalid key or value in the agent's configuration.
type KeyError struct {
	Key     string // key in section "fleet", such as "seeds[0]", or in the whole file; empty for the section itself
	Problem string
}

// Error returns the section, the key and the problem on one line.
func (e *KeyError) Error() string {
	if e.Key == "" {
		return "fleet: " + e.Problem
	}
	return fmt.Sprintf("fleet: %s: %s", e.Key, e.Problem)
}

// invalid returns a *KeyError.
func invalid(key, format string, args ...any) error {
	return &KeyError{Key: key, Problem: fmt.Sprintf(format, args...)}
}

// decodeError converts an error of encoding/json to a *KeyError.
func decodeError(err error) error {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return invalid(typeError.Field, "has the wrong type: %s", typeError.Value)
	}
	text := strings.TrimPrefix(err.Error(), "json: ")
	if key, ok := strings.CutPrefix(text, "unknown field "); ok { // encoding/json has no type for this error
		return invalid(strings.Trim(key, `"`), "unknown key")
	}
	return invalid("", "%s", text)
}
