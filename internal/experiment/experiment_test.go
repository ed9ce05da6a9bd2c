package experiment

import (
	"bytes"
	"context"
	"fmt"
	"math"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/emulator"
)

// hard is a small scenario with the faults that are hardest on a lab: agents that die holding
// requests, leave, and stand still and wake, nodes that are released, silent and cut off, and
// a list that is silent; it ends while requests are open.
const hard = `
name = "hard"
length = "6s"
[fleet]
agents = 8
nodes = 6
pod = 3
list_delay = ["100ms", "400ms"]
[traffic]
load = 0.4
[[trouble]]
at = "1s"
kind = "kill agents"
share = 0.25
back = "300ms"
[[trouble]]
at = "1500ms"
kind = "release"
share = 0.4
batch = 0.5
drain = "1s"
for = "2s"
[[trouble]]
at = "2s"
kind = "list down"
for = "1s"
[[trouble]]
at = "3s"
kind = "pause agents"
share = 0.25
for = "900ms"
[[trouble]]
at = "4s"
kind = "zone cut"
zone = "quito-sur"
for = "800ms"
[[trouble]]
at = "4500ms"
kind = "restart agents"
share = 0.25
batch = 0.5
for = "1s"
[[trouble]]
at = "5800ms"
kind = "silent nodes"
share = 0.2
for = "500ms"
[[arm]]
name = "off"
[[arm]]
name = "fleet"
fleet = true
`

// TestHardScenarioKeepsTheRules plays the hard scenario with both arms in two labs at once: the
// four rules hold, every agent that was started again serves, and the arms were asked the same.
// It judges no times: on a machine that is busy a run may not count.
func TestHardScenarioKeepsTheRules(t *testing.T) {
	dir := t.TempDir()
	bin := filepath.Join(dir, "agent")
	if out, err := exec.Command("go", "build", "-o", bin, "../../cmd/agent").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	for lab := range 2 {
		t.Run(fmt.Sprint("lab ", lab), func(t *testing.T) {
			t.Parallel()
			s, err := Parse("hard.toml", hard)
			if err != nil {
				t.Fatal(err)
			}
			s.Seed = uint64(lab + 1)
			var recs []*Record
			if err := Run(context.Background(), Config{Scenario: s, Binary: bin, Dir: t.TempDir(),
				Done: func(r *Record) error { recs = append(recs, r); return nil }}); err != nil {
				t.Fatal(err)
			}
			for _, r := range recs {
				for _, v := range r.Result.Violations {
					t.Errorf("arm %q: %v", r.Arm, v)
				}
				if r.AgentError != "" || r.Result.Metrics["in time"]+r.Result.Metrics["late"] < 0.2 || r.Result.Attempts == 0 {
					t.Errorf("arm %q: %q, figures %v", r.Arm, r.AgentError, r.Result.Metrics)
				}
			}
			for _, r := range recs {
				all := func(v [2]int) bool { return v == [2]int{8, 8} }
				if slices.ContainsFunc(r.Views, all) != (r.Arm == "fleet") {
					t.Errorf("arm %q: views %v", r.Arm, r.Views)
				}
			}
			if paths, err := Plot(recs, t.TempDir(), "svg"); err != nil || len(paths) != 3 {
				t.Errorf("plots: %v, %v", paths, err)
			}
			if a, b := recs[0].Result.Metrics["requests"], recs[1].Result.Metrics["requests"]; a != b {
				t.Errorf("one arm was asked %v, the other %v", a, b)
			}
		})
	}
}

func TestWrongScenariosNameTheirLine(t *testing.T) {
	for text, want := range map[string]string{
		"length = \"1s\"\nlenght = 3":                                        "s.toml:2: unknown key \"lenght\"",
		"length = \"long\"":                                                  "s.toml:1",
		"[fleet]\n\nagents = 0":                                              "s.toml:3: fleet.agents",
		"[[trouble]]\nat = \"1s\"\nkind = \"flood\"":                         "s.toml:3: trouble.kind",
		"[[trouble]]\nkind = \"zone cut\"\nzone = \"z\"":                     "s.toml:3: trouble.zone",
		"[[arm]]\nname = \"a\"\n[[arm]]\nname = \"a\"":                       "s.toml:2: arm.name",
		"[fleet]\nagents = \"x\"":                                            "s.toml:2: fleet.agents: ",
		"[traffic]\nload = 0.5\nuneven = 1.5":                                "s.toml:3: traffic.uneven",
		"[[arm]]\nname = \"a\"\nflet = true\n[arm.config.limits]\ncores = 1": "s.toml:3: unknown key \"arm.flet\"",
	} {
		if _, err := Parse("s.toml", text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, should name %s", text, err, want)
		}
	}
	for _, day := range ScenarioKinds() { // what is drawn can be read
		var b bytes.Buffer
		if err := Generate(&b, day, 3, 8, 6, 10*time.Second); err != nil {
			t.Fatal(err)
		}
		if _, err := Parse(day, b.String()); err != nil {
			t.Error(err)
		}
	}
	own, err := Parse("s.toml", "[[model]]\nshare = 1\nkind = \"k\"\ncores = 4\n[model.choke]\nover = \"2s\"\n[[class]]\nname = \"c\"\ngive_up = \"3s\"")
	if err != nil || own.Models[0].Share != 1 || own.Models[0].Cores != 4 || own.Models[0].Congestion.OnsetTime != 2*time.Second || own.Classes[0].TotalTimeout != 3*time.Second {
		t.Errorf("own models and classes: %+v, %v", own, err)
	}
	s, _ := Parse("s.toml", "[fleet]\nagents = 50000\nnodes = 3000")
	if err := s.checkMachine(); err == nil || !strings.Contains(err.Error(), "take some") {
		t.Errorf("a scenario for a larger machine: %v", err)
	}
}

// TestCompareIsPaired: what differs from seed to seed alike in both arms is no difference, a run
// that does not count is left out, and one pair is refused.
func TestCompareIsPaired(t *testing.T) {
	var recs []*Record
	add := func(arm string, seed uint64, x float64, counts bool) {
		recs = append(recs, &Record{Arm: arm, Seed: seed, Valid: counts, Result: &emulator.Result{Metrics: map[string]float64{"x": x}}})
	}
	for seed, x := range []float64{1, 5, 9, 40} {
		add("a", uint64(seed), x, true)
		add("b", uint64(seed), x+1+0.1*float64(seed%2), true)
	}
	add("b", 9, 1e9, true)
	add("a", 9, 0, false)
	diffs, err := Compare(recs, "a", "b")
	if err != nil {
		t.Fatal(err)
	}
	for _, d := range diffs {
		// By hand: differences 1, 1.1, 1, 1.1; t of 3 degrees 3.182; sd 0.0577.
		if d.Metric == "x" && (math.Abs(d.Mean-1.05) > 1e-9 || math.Abs(d.HalfWidth-0.0919) > 1e-3 || d.IncludesZero() || d.Pairs != 4) {
			t.Errorf("%+v", d)
		}
	}
	if _, err := Compare(recs[:2], "a", "b"); err == nil {
		t.Error("one pair makes an interval")
	}
}
