package capacity

import (
	"errors"
	"fmt"
	"math"

	"reflect"
	"strings"

	"github.com/BurntSushi/toml"
)

// Target is the size that is designed for, and what each member may take there: deploy/target.toml.
// Every key has to be there.
type Target struct {
	Fleet struct {
		Agents          int     `toml:"agents"`
		Backends        int     `toml:"backends"`
		Services        int     `toml:"services"`
		CallsPerS       float64 `toml:"calls_per_s"` // over the whole fleet
		CallDepth       int     `toml:"call_depth"`  // the deepest chain
		Regions         int     `toml:"regions"`
		Zones           int     `toml:"zones"`
		ControlMachines int     `toml:"control_machines"`
	} `toml:"fleet"`
	Agent struct {
		AddedP99MS float64 `toml:"added_p99_ms"` // to a call, ms
		ControlCPU float64 `toml:"control_cpu"`  // share of one core, for control alone
		MemoryMB   float64 `toml:"memory_mb"`    // MB
		BytesPerS  float64 `toml:"bytes_per_s"`  // of control, both ways together
	} `toml:"agent"`
	Changes struct {
		PerDay   float64 `toml:"per_day"`    // of configuration
		InForceS float64 `toml:"in_force_s"` // from acknowledged to in force everywhere, s
	} `toml:"changes"`
	Day struct {
		MachinesFailed float64 `toml:"machines_failed"`
		AgentsReplaced float64 `toml:"agents_replaced"` // restarted or replaced
	} `toml:"day"`
}

// LoadTarget reads a target; a key that is unknown or missing, or a value that makes no sense, is
// an error of one line that names the file and the key.
func LoadTarget(path string) (*Target, error) {
	t := new(Target)
	md, err := toml.DecodeFile(path, t)
	if perr := (toml.ParseError{}); errors.As(err, &perr) {
		return nil, fmt.Errorf("%s:%d: %s", path, perr.Position.Line, strings.ReplaceAll(perr.Error(), "\n", " "))
	} else if err != nil {
		return nil, fmt.Errorf("%s: %s", path, strings.ReplaceAll(err.Error(), "\n", " "))
	}
	if unknown := md.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("%s: unknown key %q", path, unknown[0])
	}
	if err := t.check(md.IsDefined); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return t, nil
}

// check walks the keys, all of them numbers in tables: each has to be there, and above zero (what
// a day brings may be zero).
func (t *Target) check(defined func(...string) bool) error {
	for tables, i := reflect.ValueOf(t).Elem(), 0; i < tables.NumField(); i++ {
		table, name := tables.Field(i), tables.Type().Field(i).Tag.Get("toml")
		for j := range table.NumField() {
			key := table.Type().Field(j).Tag.Get("toml")
			full := name + "." + key
			v := table.Field(j).Convert(reflect.TypeFor[float64]()).Float()
			switch {
			case !defined(name, key):
				return fmt.Errorf("key %q is missing", full)
			case math.IsNaN(v) || math.IsInf(v, 0):
				return fmt.Errorf("%s: %v is not a number to design for", full, v)
			case v < 0 || v == 0 && name != "day":
				return fmt.Errorf("%s: must be above 0, is %v", full, v)
			}
		}
	}
	switch f := t.Fleet; {
	case f.Services > f.Backends:
		return fmt.Errorf("fleet.services: %d are more than the %d backends", f.Services, f.Backends)
	case f.Regions > f.Zones:
		return fmt.Errorf("fleet.regions: %d are more than the %d zones", f.Regions, f.Zones)
	case f.Zones > f.Agents:
		return fmt.Errorf("fleet.zones: %d are more than the %d agents", f.Zones, f.Agents)
	}
	return nil
}
