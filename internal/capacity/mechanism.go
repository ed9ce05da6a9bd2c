package capacity

import (
	"errors"
	"fmt"
	"path"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"
)

// Mechanism says what carries the rows that its patterns name: what keeps them within their budget
// at the target, or that nothing does (By is then "none").
type Mechanism struct {
	Rows []string `toml:"rows"` // patterns of path.Match over rows' names, such as "agent/*/bytes"
	By   string   `toml:"by"`   // in a few words, for the tables
	Why  string   `toml:"why"`  // told once, below them; may be empty
}

// Mechanisms are read from a file; of those that name a row the first counts.
type Mechanisms struct {
	Path string
	All  []Mechanism
}

// LoadMechanisms reads the table of mechanisms: `[[mechanism]]` with rows, by and why. A wrong key
// or value is an error of one line that names the file and the key.
func LoadMechanisms(file string) (*Mechanisms, error) {
	var in struct {
		Mechanism []Mechanism `toml:"mechanism"`
	}
	md, err := toml.DecodeFile(file, &in)
	if perr := (toml.ParseError{}); errors.As(err, &perr) {
		return nil, fmt.Errorf("%s:%d: %s", file, perr.Position.Line, strings.ReplaceAll(perr.Error(), "\n", " "))
	} else if err != nil {
		return nil, fmt.Errorf("%s: %s", file, strings.ReplaceAll(err.Error(), "\n", " "))
	}
	if unknown := md.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("%s: unknown key %q", file, unknown[0])
	}
	for i, m := range in.Mechanism {
		for _, pattern := range m.Rows {
			if _, err := path.Match(pattern, "x"); pattern == "" || err != nil {
				return nil, fmt.Errorf("%s: mechanism %d: rows: %q is no pattern", file, i+1, pattern)
			}
		}
		switch {
		case len(m.Rows) == 0:
			return nil, fmt.Errorf("%s: mechanism %d: rows: names none", file, i+1)
		case m.By == "":
			return nil, fmt.Errorf("%s: mechanism %d: by: is empty", file, i+1)
		case strings.ContainsAny(m.By+m.Why, "|\n"):
			return nil, fmt.Errorf("%s: mechanism %d: by, why: hold what breaks a table", file, i+1)
		}
	}
	return &Mechanisms{Path: file, All: in.Mechanism}, nil
}

// none is what a row says that nothing carries.
const noMechanism = "**none**"

func (m Mechanism) label() string {
	if m.By == "none" {
		return noMechanism
	}
	return m.By
}

func matchRow(pattern, row string) bool {
	ok, _ := path.Match(pattern, row)
	return ok
}

// of is what carries a row, by its name.
func (m *Mechanisms) forRow(row string) string {
	for _, one := range m.All {
		if slices.ContainsFunc(one.Rows, func(pattern string) bool { return matchRow(pattern, row) }) {
			return one.label()
		}
	}
	return noMechanism
}

// check is an error if a pattern names no row: it would say nothing, unseen.
func (m *Mechanisms) checkPatterns(rows []*Row) error {
	for i, one := range m.All {
		for _, pattern := range one.Rows {
			if !slices.ContainsFunc(rows, func(r *Row) bool { return matchRow(pattern, r.Name()) }) {
				return fmt.Errorf("%s: mechanism %d: rows: %q names no row", m.Path, i+1, pattern)
			}
		}
	}
	return nil
}
