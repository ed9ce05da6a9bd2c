package membership

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// KeyError says what is wrong with a key of the agent's configuration that the membership needs.
type KeyError struct {
	Key     string // of the section "fleet", such as "seeds[0]", or of the whole file; empty: the section itself
	Problem string
}

// Error names the section, the key and the problem, on one line.
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

// decodeError is the *KeyError of an error of encoding/json.
func decodeError(err error) error {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return invalid(typeError.Field, "has the wrong type: %s", typeError.Value)
	}
	text := strings.TrimPrefix(err.Error(), "json: ")
	if key, ok := strings.CutPrefix(text, "unknown field "); ok { // encoding/json has no type for it
		return invalid(strings.Trim(key, `"`), "unknown key")
	}
	return invalid("", "%s", text)
}
