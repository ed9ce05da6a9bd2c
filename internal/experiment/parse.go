package experiment

import (
	"errors"
	"fmt"
	"os"
	"regexp"
	"strings"

	"github.com/BurntSushi/toml"
)

// defaultArm is the name of the arm of a scenario that defines none.
const defaultArm = "as it is"

// Load reads a scenario from a file. Errors for invalid keys or values name the file and the line.
func Load(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, string(text))
}

// Parse parses a scenario in TOML; path is the file name for errors.
func Parse(path, text string) (*Scenario, error) {
	s := defaultWithoutTables()
	metadata, err := toml.Decode(text, s)
	if err != nil {
		return nil, TOMLError(path, err)
	}
	for _, key := range metadata.Undecoded() {
		if !strings.Contains(key.String(), "config.") { // an arm's configuration may have any key
			return nil, fmt.Errorf("%s:%d: unknown key %q", path, LineOf(text, key), key)
		}
	}
	s.addDefaultTables()
	if key, err := s.validate(); err != nil {
		return nil, fmt.Errorf("%s:%d: %s: %w", path, LineOf(text, strings.Split(key, ".")), key, err)
	}
	if len(s.Arms) == 0 {
		s.Arms = []Arm{{Name: defaultArm}}
	}
	return s, nil
}

// typeErrorPattern matches the message of the TOML library's error for a value of the wrong type. The library has no Go
// type for this error.
var typeErrorPattern = regexp.MustCompile(`^toml: line (\d+) \(last key "(.*?)"\): `)

// TOMLError converts an error of toml.Decode to one that names the file and the line. For a value of the wrong type,
// the new error also names the key.
func TOMLError(path string, err error) error {
	if parseError := (toml.ParseError{}); errors.As(err, &parseError) {
		return fmt.Errorf("%s:%d: %s", path, parseError.Position.Line, parseError.Message)
	}
	text := err.Error()
	if match := typeErrorPattern.FindStringSubmatch(text); match != nil {
		line, key, reason := match[1], match[2], text[len(match[0]):]
		return fmt.Errorf("%s:%s: %s: %s", path, line, key, reason)
	}
	return fmt.Errorf("%s: %w", path, err)
}

// LineOf returns the number of the first line of a TOML text that sets the last part of the key. If there is none, it
// returns the line of the innermost enclosing table, or else 1.
func LineOf(text string, key []string) int {
	for i := len(key) - 1; i >= 0; i-- {
		name := regexp.QuoteMeta(key[i])
		pattern := regexp.MustCompile(`^\s*(` + name + `\s*=|\[+[^]]*\b` + name + `\]+)`)
		for n, line := range strings.Split(text, "\n") {
			if pattern.MatchString(line) {
				return n + 1
			}
		}
	}
	return 1
}
