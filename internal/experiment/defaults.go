package experiment

import (
	_ "embed"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/BurntSushi/toml"
)

// keepAlive is the time for which servers keep idle connections open.
const keepAlive = time.Minute

// defaultFile is the name of the embedded file in defaultText.
const defaultFile = "default.toml"

//go:embed default.toml
var defaultText string

// decodeDefault decodes the default scenario once. It panics if the embedded file is invalid.
var decodeDefault = sync.OnceValue(func() *Scenario {
	s := new(Scenario)
	if _, err := toml.Decode(defaultText, s); err != nil {
		panic(fmt.Sprintf("experiment: %v", TOMLError(defaultFile, err)))
	}
	return s
})

// Default returns a copy of the scenario in default.toml, which the caller may change.
func Default() *Scenario {
	s := *decodeDefault()
	s.Fleet.Zones = slices.Clone(s.Fleet.Zones)
	s.Classes = slices.Clone(s.Classes)
	s.Models = slices.Clone(s.Models)
	return &s
}

// defaultWithoutTables returns the default scenario without classes and models. The classes and models of a scenario
// file replace the defaults instead of being appended to them.
func defaultWithoutTables() *Scenario {
	s := Default()
	s.Classes = nil
	s.Models = nil
	return s
}

// addDefaultTables sets the classes and the models to the defaults where the scenario has none.
func (s *Scenario) addDefaultTables() {
	defaults := Default()
	if len(s.Classes) == 0 {
		s.Classes = defaults.Classes
	}
	if len(s.Models) == 0 {
		s.Models = defaults.Models
	}
}
