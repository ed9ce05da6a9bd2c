package capacity

import (
	"fmt"
	"math"
	"reflect"
)

// Target is the fleet size that the system is designed for and the budgets of each agent at that size,
// read from deploy/target.toml. Every key is required.
type Target struct {
	Fleet struct {
		Agents          int     `toml:"agents"`
		Servers         int     `toml:"backends"`
		Services        int     `toml:"services"`
		CallsPerS       float64 `toml:"calls_per_s"` // over the whole fleet
		CallDepth       int     `toml:"call_depth"`  // longest chain of calls
		Regions         int     `toml:"regions"`
		Zones           int     `toml:"zones"`
		ControlMachines int     `toml:"control_machines"`
	} `toml:"fleet"`
	Agent struct {
		AddedP99MS float64 `toml:"added_p99_ms"` // latency added to a call, ms
		ControlCPU float64 `toml:"control_cpu"`  // fraction of one core, for control only
		MemoryMB   float64 `toml:"memory_mb"`    // MB
		BytesPerS  float64 `toml:"bytes_per_s"`  // control traffic, both directions together
	} `toml:"agent"`
	Changes struct {
		PerDay   float64 `toml:"per_day"`    // changes of the configuration
		InForceS float64 `toml:"in_force_s"` // from the acknowledgement until in force everywhere, s
	} `toml:"changes"`
	Daily struct {
		MachinesFailed float64 `toml:"machines_failed"`
		AgentsReplaced float64 `toml:"agents_replaced"` // restarted or replaced
	} `toml:"day"`
}

// LoadTarget reads a target. An unknown or missing key, or an invalid value, yields a one-line
// error that names the file and the key.
func LoadTarget(path string) (*Target, error) {
	t := new(Target)
	meta, err := decodeTOML(path, t)
	if err != nil {
		return nil, err
	}
	if err := t.checkNumbers(meta.IsDefined); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if err := t.checkRelations(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return t, nil
}

// dailyTable is the only table in which values may be zero.
const dailyTable = "day"

// checkNumbers checks all keys. Each key is a number in a table, and must be present, finite and positive.
// In dailyTable, zero is also valid.
func (t *Target) checkNumbers(defined func(...string) bool) error {
	tables := reflect.ValueOf(t).Elem()
	for i := range tables.NumField() {
		table := tables.Field(i)
		tableName := tables.Type().Field(i).Tag.Get("toml")
		for j := range table.NumField() {
			key := table.Type().Field(j).Tag.Get("toml")
			name := tableName + "." + key
			value := table.Field(j).Convert(reflect.TypeFor[float64]()).Float()
			switch {
			case !defined(tableName, key):
				return fmt.Errorf("key %q is missing", name)
			case math.IsNaN(value) || math.IsInf(value, 0):
				return fmt.Errorf("%s: %v is not a finite number", name, value)
			case value < 0 || value == 0 && tableName != dailyTable:
				return fmt.Errorf("%s: must be above 0, is %v", name, value)
			}
		}
	}
	return nil
}

// checkRelations checks the numbers of the fleet for consistency.
func (t *Target) checkRelations() error {
	switch fleet := t.Fleet; {
	case fleet.Services > fleet.Servers:
		return fmt.Errorf("fleet.services: %d are more than the %d backends", fleet.Services, fleet.Servers)
	case fleet.Regions > fleet.Zones:
		return fmt.Errorf("fleet.regions: %d are more than the %d zones", fleet.Regions, fleet.Zones)
	case fleet.Zones > fleet.Agents:
		return fmt.Errorf("fleet.zones: %d are more than the %d agents", fleet.Zones, fleet.Agents)
	}
	return nil
}
