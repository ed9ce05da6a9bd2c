package experiment

import (
	_ "embed"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/BurntSushi/toml"
)

// keepAlive is how long servers keep an idle connection.
const keepAlive = time.Minute

// defaultFile is the name of the file that defaultText is read from.
const defaultFile = "default.toml"

//go:embed default.toml
var defaultText string

// decodeDefault decodes the default scenario once. It panics if the file, which is part of the program, has an error.
var decodeDefault = sync.OnceValue(func() *Scenario {
	s := new(Scenario)
	if _, err := toml.Decode(defaultText, s); err != nil {
		panic(fmt.Sprintf("experiment: %v", TOMLError(defaultFile, err)))
	}
	return s
})

// Default returns the scenario of default.toml. The caller may change it.
func Default() *Scenario {
	s := *decodeDefault()
	s.Fleet.Zones = slices.Clone(s.Fleet.Zones)
	s.Classes = slices.Clone(s.Classes)
	s.Models = slices.Clone(s.Models)
	return &s
}

// defaultWithoutTables returns the default scenario without its classes and models, which a file replaces as a whole.
func defaultWithoutTables() *Scenario {
	s := Default()
	s.Classes = nil
	s.Models = nil
	return s
}

// addDefaultTables gives a scenario without classes or models those of the default scenario.
func (s *Scenario) addDefaultTables() {
	defaults := Default()
	if len(s.Classes) == 0 {
		s.Classes = defaults.Classes
	}
	if len(s.Models) == 0 {
		s.Models = defaults.Models
	}
}
