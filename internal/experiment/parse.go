package experiment

import (
	"errors"
	"fmt"
	"os"
	"regexp"
	"strings"

	"github.com/BurntSushi/toml"
)

// defaultArm is the name of the only arm of a scenario that names none.
const defaultArm = "as it is"

// Load reads a scenario from a file. The error of a wrong key or value names the file and the line.
func Load(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, string(text))
}

// Parse reads a scenario from a text; path is the name that errors give it.
func Parse(path, text string) (*Scenario, error) {
	s := defaultWithoutTables()
	metadata, err := toml.Decode(text, s)
	if err != nil {
		return nil, TOMLError(path, err)
	}
	for _, key := range metadata.Undecoded() {
		if !strings.Contains(key.String(), "config.") { // the configuration of an arm may have any key
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

// typeErrorPattern matches the library's error for a value of a wrong type, for which it has no Go type.
var typeErrorPattern = regexp.MustCompile(`^toml: line (\d+) \(last key "(.*?)"\): `)

// TOMLError turns an error of toml.Decode into one that names the file and the line, and the key of a value of a
// wrong type.
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

// LineOf returns the line of a text in which the last part of a key is set, else the line of its table, else 1.
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
