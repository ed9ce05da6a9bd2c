package capacity

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const targetFile = "../../deploy/target.toml"

func TestLoadTargetOfDeployment(t *testing.T) {
	got, err := LoadTarget(targetFile)
	if err != nil {
		t.Fatal(err)
	}
	if got.Fleet.Agents != 1500 || got.Agent.ControlCPU != 0.012 || got.Agent.BytesPerS != 11000 ||
		got.Changes.InForceS != 11 || got.Daily.AgentsReplaced != 340 {
		t.Errorf("read %+v", got)
	}
}

func TestLoadTargetErrors(t *testing.T) {
	valid, err := os.ReadFile(targetFile)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, want string }{
		{"agents = 1500", "agents = 0", "fleet.agents"},
		{"agents = 1500", "agents = -1", "fleet.agents"},
		{"agents = 1500 ", "agents = 1500\nagenst = 1", "fleet.agenst"},
		{"agents = 1500", "agents = \"many\"", "agents"},
		{"agents = 1500", "", "fleet.agents"},
		{"memory_mb = 64", "memory_mb = nan", "agent.memory_mb"},
		{"memory_mb = 64", "memory_mb = inf", "agent.memory_mb"},
		{"memory_mb = 64", "", "agent.memory_mb"},
		{"in_force_s = 11", "in_force_s = 0", "changes.in_force_s"},
		{"per_day = 4800", "per_day = -1", "changes.per_day"},
		{"agents_replaced = 340", "agents_replaced = -1", "day.agents_replaced"},
		{"services = 150", "", "fleet.services"},
		{"services = 150", "services = 1501", "fleet.services"},
		{"regions = 2", "regions = 7", "fleet.regions"},
		{"machines_failed = 4", "machines_failed = -4", "day.machines_failed"},
		{"[day] ", "[days] ", "days"},
		{"[day] ", "[day", ""},
	} {
		if !strings.Contains(string(valid), c.old) {
			t.Fatalf("the target has no %q", c.old)
		}
		path := writeFile(t, "target.toml", strings.Replace(string(valid), c.old, c.new, 1))
		got, err := LoadTarget(path)
		requireOneLineError(t, err, path, c.want)
		if got != nil {
			t.Errorf("%q for %q: got a partial target", c.new, c.old)
		}
	}
	_, err = LoadTarget(filepath.Join(t.TempDir(), "none.toml"))
	requireOneLineError(t, err, "none.toml")
}
