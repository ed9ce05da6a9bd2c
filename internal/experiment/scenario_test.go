package experiment

import (
	"bytes"
	"reflect"
	"strings"
	"testing"
	"time"
)

func TestParseErrorNamesLine(t *testing.T) {
	for _, test := range []struct{ name, text, want string }{
		{"unknown key", "length = \"1s\"\nwidth = 3", "s.toml:2: unknown key \"width\""},
		{"invalid duration", "length = \"long\"", "s.toml:1"},
		{"no agents", "[fleet]\n\nagents = 0", "s.toml:3: fleet.agents"},
		{"unknown fault", "[[trouble]]\nat = \"1s\"\nkind = \"flood\"", "s.toml:3: trouble.kind"},
		{"unknown zone", "[[trouble]]\nkind = \"zone cut\"\nzone = \"z\"", "s.toml:3: trouble.zone"},
		{"duplicate arm name", "[[arm]]\nname = \"a\"\n[[arm]]\nname = \"a\"", "s.toml:2: arm.name"},
		{"wrong type", "[fleet]\nagents = \"x\"", "s.toml:2: fleet.agents: "},
		{"out of range", "[traffic]\nload = 0.5\nuneven = 1.5", "s.toml:3: traffic.uneven"},
		{
			"unknown key of an arm",
			"[[arm]]\nname = \"a\"\nflet = true\n[arm.config.limits]\ncores = 1",
			"s.toml:3: unknown key \"arm.flet\"",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			if _, err := Parse("s.toml", test.text); err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("Parse(%q) error is %v, want it to contain %q", test.text, err, test.want)
			}
		})
	}
}

func TestParseGeneratedScenarios(t *testing.T) {
	for _, kind := range ScenarioKinds() {
		t.Run(kind, func(t *testing.T) {
			var text bytes.Buffer
			config := GeneratorConfig{Kind: kind, Seed: 3, Agents: 8, Servers: 6, Length: 10 * time.Second}
			if err := Generate(&text, config); err != nil {
				t.Fatal(err)
			}
			if _, err := Parse(kind, text.String()); err != nil {
				t.Error(err)
			}
		})
	}
}

// TestDefaultScenario checks that the default scenario is valid and has no unknown keys, and that an empty scenario
// is the default with one arm.
func TestDefaultScenario(t *testing.T) {
	if _, err := Parse(defaultFile, defaultText); err != nil {
		t.Error(err)
	}
	empty, err := Parse("empty.toml", "")
	if err != nil {
		t.Fatal(err)
	}
	want := Default()
	want.Arms = []Arm{{Name: defaultArm}}
	if !reflect.DeepEqual(empty, want) {
		t.Errorf("empty scenario is\n%+v\nwant\n%+v", empty, want)
	}
}

// TestDefaultIsNotShared checks that changes to the result of Default do not affect other callers.
func TestDefaultIsNotShared(t *testing.T) {
	changed := Default()
	changed.Fleet.Zones[0] = "changed"
	changed.Classes[0].Name = "changed"
	changed.Models[0].Kind = "changed"
	if other := Default(); other.Fleet.Zones[0] == "changed" || other.Classes[0].Name == "changed" ||
		other.Models[0].Kind == "changed" {
		t.Errorf("default scenario is changed: %+v", other)
	}
}

func TestScenarioWithModelsAndClasses(t *testing.T) {
	s, err := Parse("s.toml", `
[[model]]
share = 1
kind = "k"
cores = 4
[model.choke]
over = "2s"
[[class]]
name = "c"
give_up = "3s"
`)
	if err != nil {
		t.Fatal(err)
	}
	model := s.Models[0]
	if model.Share != 1 || model.Cores != 4 || model.Congestion.OnsetTime != 2*time.Second {
		t.Errorf("model is %+v", model)
	}
	if s.Classes[0].TotalTimeout != 3*time.Second {
		t.Errorf("class is %+v", s.Classes[0])
	}
}

func TestCheckMachineRejectsTooLargeScenario(t *testing.T) {
	s, err := Parse("s.toml", "[fleet]\nagents = 50000\nnodes = 3000")
	if err != nil {
		t.Fatal(err)
	}
	if err := s.checkMachine(); err == nil || !strings.Contains(err.Error(), "need about") {
		t.Errorf("checkMachine() error is %v, want one that states the needs", err)
	}
}
