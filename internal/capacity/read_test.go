package capacity

import (
	"bytes"
	"math"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

const targetFile = "../../deploy/target.toml"

func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	return path
}

// requireOneLineError fails unless an error is one line that holds all the words.
func requireOneLineError(t *testing.T, err error, words ...string) {
	t.Helper()
	if err == nil {
		t.Errorf("no error; want one that names %q", words)
		return
	}
	if strings.Contains(err.Error(), "\n") {
		t.Errorf("more than one line: %q", err)
	}
	for _, w := range words {
		if !strings.Contains(err.Error(), w) {
			t.Errorf("%q does not name %q", err, w)
		}
	}
}

func TestLoadTargetOfDeployment(t *testing.T) {
	got, err := LoadTarget(targetFile)
	if err != nil {
		t.Fatal(err)
	}
	if got.Fleet.Agents != 1500 || got.Agent.ControlCPU != 0.012 || got.Agent.BytesPerS != 11000 ||
		got.Changes.InForceS != 11 || got.Day.AgentsReplaced != 340 {
		t.Errorf("read %+v", got)
	}
}

func TestLoadTargetErrors(t *testing.T) {
	whole, err := os.ReadFile(targetFile)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, names string }{
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
		if !strings.Contains(string(whole), c.old) {
			t.Fatalf("the target has no %q", c.old)
		}
		path := writeFile(t, "target.toml", strings.Replace(string(whole), c.old, c.new, 1))
		got, err := LoadTarget(path)
		requireOneLineError(t, err, path, c.names)
		if got != nil {
			t.Errorf("%q for %q: half a target", c.new, c.old)
		}
	}
	_, err = LoadTarget(filepath.Join(t.TempDir(), "none.toml"))
	requireOneLineError(t, err, "none.toml")
}

func validRun() *Run {
	return &Run{Plan: "p", Commit: "abc", Day: "quiet", Repeat: 1, Size: 50, Hollow: 30, Real: 20, DiscoveryInstances: 3,
		ListedServers: 50, RateFactor: 1, Seconds: 20, Converged: true,
		Roles: map[string]RoleMetrics{RoleReal: {
			Count: 20,
			Mean:  map[string]float64{CPU: 0.002},
			Max:   map[string]float64{CPU: 0.003},
		}},
		InForce: map[string]Latencies{"list": {Count: 9, P50: 1, P99: 2, Max: 3}}}
}

func TestRunRoundTrip(t *testing.T) {
	var b bytes.Buffer
	one, two := validRun(), validRun()
	two.Seed = math.MaxUint64
	two.Missing = []string{"alloc"}
	two.Invalid = []string{"late"}
	two.RateFactor = 0
	two.Seconds = 0
	for _, r := range []*Run{one, two} {
		if err := WriteRun(&b, r); err != nil {
			t.Fatal(err)
		}
	}
	got, err := ReadRuns(writeFile(t, "r.jsonl", b.String()))
	if err != nil || !reflect.DeepEqual(got, []*Run{one, two}) {
		t.Errorf("read %v, %v", got, err)
	}
}

func TestWriteRunRefusesInvalidRun(t *testing.T) {
	for names, spoil := range map[string]func(*Run){
		"plan":                func(r *Run) { r.Plan = "" },
		"day":                 func(r *Run) { r.Day = "holiday" },
		"repeat":              func(r *Run) { r.Repeat = 0 },
		"size":                func(r *Run) { r.Size = 51 },
		"hurry":               func(r *Run) { r.RateFactor = 0 },
		"seconds":             func(r *Run) { r.Seconds = math.NaN() },
		"roles":               func(r *Run) { r.Roles["boss"] = RoleMetrics{} },
		"roles.real.mean.cpu": func(r *Run) { r.Roles[RoleReal].Mean[CPU] = math.Inf(1) },
		"roles.real.most.cpu": func(r *Run) { r.Roles[RoleReal].Max[CPU] = -1 },
		"in_force.list":       func(r *Run) { r.InForce["list"] = Latencies{P99: math.NaN()} },
	} {
		r, b := validRun(), new(bytes.Buffer)
		spoil(r)
		requireOneLineError(t, WriteRun(b, r), names)
		if b.Len() > 0 {
			t.Errorf("%s: written all the same", names)
		}
	}
}

func TestReadRunsErrors(t *testing.T) {
	var b bytes.Buffer
	if err := WriteRun(&b, validRun()); err != nil {
		t.Fatal(err)
	}
	good := b.String()
	for _, c := range []struct{ old, new, names string }{
		{`"size":50`, `"siez":50`, "siez"},
		{`"size":50,`, ``, "size"},
		{`"size":50`, `"size":"50"`, "size"},
		{`"size":50`, `"size":50.5`, "size"},
		{`"cpu":0.002`, `"cpu":NaN`, ""},
		{`"cpu":0.002`, `"cpu":-1`, "roles.real.mean.cpu"},
		{`"in_force"`, `"in_farce"`, "in_farce"},
		{"}\n", "} {}\n", "follows"},
		{"}\n", "", ""},
	} {
		if !strings.Contains(good, c.old) {
			t.Fatalf("no %q in %s", c.old, good)
		}
		path := writeFile(t, "r.jsonl", good+"\n"+strings.Replace(good, c.old, c.new, 1))
		runs, err := ReadRuns(path)
		requireOneLineError(t, err, path+":3:", c.names)
		if runs != nil {
			t.Errorf("%q for %q: half read", c.new, c.old)
		}
	}
}
