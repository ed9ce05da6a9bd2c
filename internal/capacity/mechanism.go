package capacity

import (
	"errors"
	"fmt"
	"path"
	"slices"
	"strings"
)

// Mechanism describes what keeps rows within their budget at the target.
type Mechanism struct {
	Rows []string `toml:"rows"` // path.Match patterns for row names, such as "agent/*/bytes"
	By   string   `toml:"by"`   // short label for the tables; "none" if there is no mechanism
	Why  string   `toml:"why"`  // explanation below the tables; may be empty
}

// Mechanisms holds the mechanisms of a file. The first one that matches a row applies.
type Mechanisms struct {
	Path string
	All  []Mechanism
}

// LoadMechanisms reads the mechanisms of a file: `[[mechanism]]` with rows, by and why. A wrong key or
// value yields a one-line error that names the file and the key.
func LoadMechanisms(file string) (*Mechanisms, error) {
	var contents struct {
		Mechanism []Mechanism `toml:"mechanism"`
	}
	if _, err := decodeTOML(file, &contents); err != nil {
		return nil, err
	}
	for i, m := range contents.Mechanism {
		if err := m.check(); err != nil {
			return nil, fmt.Errorf("%s: mechanism %d: %w", file, i+1, err)
		}
	}
	return &Mechanisms{Path: file, All: contents.Mechanism}, nil
}

// check returns an error for the first key with an invalid value.
func (m Mechanism) check() error {
	for _, pattern := range m.Rows {
		if _, err := path.Match(pattern, "x"); pattern == "" || err != nil {
			return fmt.Errorf("rows: %q is not a valid pattern", pattern)
		}
	}
	switch {
	case len(m.Rows) == 0:
		return errors.New("rows: is empty")
	case m.By == "":
		return errors.New("by: is empty")
	case strings.ContainsAny(m.By+m.Why, "|\n"):
		return errors.New("by, why: must not contain | or a line break")
	}
	return nil
}

// noMechanism is the label of a row that no mechanism keeps within its budget.
const noMechanism = "**none**"

// label returns the mechanism's text in the tables.
func (m Mechanism) label() string {
	if m.By == "none" {
		return noMechanism
	}
	return m.By
}

// matchRow reports whether a pattern matches a row's name. The pattern must be valid (see
// Mechanism.check).
func matchRow(pattern, row string) bool {
	ok, _ := path.Match(pattern, row)
	return ok
}

// forRow returns the label of the mechanism of the named row.
func (m *Mechanisms) forRow(row string) string {
	for _, mechanism := range m.All {
		if slices.ContainsFunc(mechanism.Rows, func(pattern string) bool { return matchRow(pattern, row) }) {
			return mechanism.label()
		}
	}
	return noMechanism
}

// checkPatterns returns an error for a pattern that matches no row, because such a pattern has no effect.
func (m *Mechanisms) checkPatterns(rows []*Row) error {
	for i, mechanism := range m.All {
		for _, pattern := range mechanism.Rows {
			if !slices.ContainsFunc(rows, func(r *Row) bool { return matchRow(pattern, r.Name()) }) {
				return fmt.Errorf("%s: mechanism %d: rows: %q matches no row", m.Path, i+1, pattern)
			}
		}
	}
	return nil
}
