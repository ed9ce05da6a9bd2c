package capacity

import (
	"bytes"
	"fmt"
	"math"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// renderTables makes a page from runs and benchmark files, and returns its tables and the page.
func renderTables(t interface {
	Fatal(...any)
	Helper()
}, runs []*Run, benchmarkPaths ...string) (string, *Page) {
	t.Helper()
	target, err := LoadTarget(targetFile)
	if err != nil {
		t.Fatal(err)
	}
	m, err := LoadMechanisms(mechanismsFile)
	if err != nil {
		t.Fatal(err)
	}
	var benchmarks []*BenchmarkFile
	for _, path := range benchmarkPaths {
		b, err := ReadBenchmarkFile(path)
		if err != nil {
			t.Fatal(err)
		}
		benchmarks = append(benchmarks, b)
	}
	var records []Record
	if runs != nil {
		records = []Record{{Path: "made-up.jsonl", Runs: runs}}
	}
	p, err := NewPage(target, m, records, benchmarks)
	if err != nil {
		t.Fatal(err)
	}
	p.Command = "experiment capacity"
	var b bytes.Buffer
	if err := p.Write(&b); err != nil {
		t.Fatal(err)
	}
	return b.String(), p
}

// syntheticRuns reads the runs of testdata, which are computed by known laws and not measured.
func syntheticRuns(t *testing.T) []*Run {
	t.Helper()
	runs, err := ReadRuns("testdata/made-up.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	return runs
}

// tableDefect describes the first defect of a page: a number that is not finite, a formatting error, an
// empty cell, or a line of a table with more or fewer cells than its header. It returns "" if there is
// none.
func tableDefect(text string) string {
	if found := regexp.MustCompile(`NaN|\bInf|%!`).FindString(text); found != "" {
		return found
	}
	cells := 0
	for _, line := range strings.Split(text, "\n") {
		if !strings.HasPrefix(line, "|") {
			cells = 0
			continue
		}
		parts := strings.Split(strings.Trim(line, "|"), "|")
		if cells == 0 {
			cells = len(parts)
		}
		if len(parts) != cells {
			return fmt.Sprintf("%d cells of %d: %s", len(parts), cells, line)
		}
		for _, p := range parts {
			if strings.TrimSpace(p) == "" {
				return "an empty cell: " + line
			}
		}
	}
	return ""
}

// rowNamed returns the row with the given name, or fails the test.
func (p *Page) rowNamed(t *testing.T, name string) *Row {
	t.Helper()
	for _, r := range p.rows {
		if r.Name() == name {
			return r
		}
	}
	t.Fatal("no row ", name)
	return nil
}

// requireLine fails the test unless exactly one line of the text contains all the words.
func requireLine(t *testing.T, text string, words ...string) {
	t.Helper()
	var found []string
	for _, l := range strings.Split(text, "\n") {
		if !slices.ContainsFunc(words, func(w string) bool { return !strings.Contains(l, w) }) {
			found = append(found, l)
		}
	}
	if len(found) != 1 {
		t.Fatalf("%d lines with %q: %q", len(found), words, found)
	}
}

func TestPageWithoutRuns(t *testing.T) {
	text, p := renderTables(t, nil, "testdata/none.txt")
	if defect := tableDefect(text); defect != "" {
		t.Error(defect)
	}
	for _, r := range p.rows {
		if r.Known || r.targetCell() != "not measured" || r.Budget > 0 && r.usageCell() != "not measured" {
			t.Errorf("%s: %q, use %q", r.Name(), r.targetCell(), r.usageCell())
		}
	}
	ranked, _ := p.Ranked()
	for _, r := range ranked {
		if !r.MechanismRequired || r.HasMechanism() {
			t.Errorf("%s is ranked without measurements", r.Name())
		}
	}
}

func TestPageOfSyntheticRuns(t *testing.T) {
	text, p := renderTables(t, syntheticRuns(t), "testdata/made-up-path.txt", "testdata/made-up-decision.txt")
	if defect := tableDefect(text); defect != "" {
		t.Error(defect)
	}
	// The values at 1500 agents of the laws that the runs were computed by.
	for name, want := range map[string]float64{
		"agent/quiet/state":           3000,
		"agent/quiet/bytes":           200 + 1.5*1500,
		"agent/quiet/processor":       0.2 + 0.0005*1500, // hollow agents use half of it
		"agent/quiet/memory":          14 + 0.02*1500,    // hollow agents have a smaller constant part
		"agent/rollout/bytes":         200 + 4.5*1500,
		"agent/ordinary/bytes":        200 + 1.5*1500*(1+1.0/200), // accelerated by 200
		"list leader/quiet/live heap": 8 + 0.03*1500,
		"data path/calm/added":        410,
	} {
		r := p.rowNamed(t, name)
		if !r.Known || math.Abs(r.Value/want-1) > 0.15 || r.Extrapolated == (r.Subject == subjectDataPath) {
			t.Errorf("%s: %s (known %v, extrapolated %v), want about %s",
				name, r.targetCell(), r.Known, r.Extrapolated, formatNumber(want))
		}
	}
	for name, want := range map[string]string{
		"agent/quiet/bytes":              "hollow",
		"agent/quiet/memory":             "real; hollow not used",
		"agent/ordinary/processor":       "hollow ÷ 0.501; scaled from ×200 the rates",
		"agent/ordinary/live heap":       "hollow; at ×200 the rates",
		"list follower/quiet/live heap":  "",
		"agent/region/processor":         "hollow ÷ 0.501",
		"list follower/control/messages": "",
	} {
		if got := p.rowNamed(t, name).Source; got != want {
			t.Errorf("%s: source %q, want %q", name, got, want)
		}
	}
	if r := p.rowNamed(t, "agent/region/bytes"); r.Known || !strings.Contains(r.targetCell(), "no fit: 2 of 3 sizes") {
		t.Errorf("two sizes: %q", r.targetCell())
	}
	if r := p.rowNamed(t, "list leader/ordinary/messages"); r.Fit == nil || r.Fit.Shape != ShapePerChange {
		t.Errorf("the leader's messages: %s", r.Fit.slopeCell())
	}
	requireLine(t, text, "made-up, none | quiet | 70 × 3, 120 × 3, 220 × 2, 420 × 3 |", "| 1: made up as late |")
	requireLine(t, text, "made-up, none | rollout |", "420 × 1", "| 3 | 0 | nothing |")
	requireLine(t, text, "made-up, none | zone |", "list follower: made up as missing")
	requireLine(t, text, "| 1500 | demoted | not measured |")
	requireLine(t, text, "| list | zone | 420 (3) |", "| 21 |")
}

// TestRolesUseFirstPlanOnly checks that a second plan contributes its changes in force, but not to the
// metrics of roles.
func TestRolesUseFirstPlanOnly(t *testing.T) {
	first, second := validRun(), validRun()
	second.Plan, second.Profile, second.Size = "second", first.Profile, first.Size+1
	first.Roles[RoleReal].Mean[ResidentMB], second.Roles[RoleReal].Mean[ResidentMB] = 10, 30
	second.InForce = map[ChangeKind]Latencies{"settings": {Count: 5, P50: 1, P99: 2, Max: 3}}
	_, onePlan := renderTables(t, []*Run{first})
	_, twoPlans := renderTables(t, []*Run{first, second})
	const memory = "agent/quiet/memory"
	if a, b := onePlan.rowNamed(t, memory).targetCell(), twoPlans.rowNamed(t, memory).targetCell(); a != b {
		t.Errorf("memory %q with a second plan, %q without", b, a)
	}
	if twoPlans.usesRun(second, twoPlans.rowNamed(t, memory)) {
		t.Error("memory is attributed to the second plan")
	}
	second.Profile = "ordinary"
	_, twoPlans = renderTables(t, []*Run{first, second})
	if twoPlans.rowNamed(t, "in force/ordinary/settings").targetCell() == notMeasured {
		t.Error("the second plan's settings in force are missing")
	}
}

// TestPageOfArbitraryRuns checks that the page has no defect for arbitrary runs with metrics missing.
func TestPageOfArbitraryRuns(t *testing.T) {
	keys := []MetricKey{
		Members, Servers, BytesIn, BytesOut, MessagesIn, MessagesOut, CPU, ResidentMB, HeapMB,
		MembershipBytes, DiscoveryBytes,
	}
	rapid.Check(t, func(t *rapid.T) {
		var runs []*Run
		for range rapid.IntRange(0, 30).Draw(t, "runs") {
			r := validRun()
			r.Size = rapid.SampledFrom([]int{30, 50, 100, 200, 400, 1500}).Draw(t, "size")
			r.Hollow = r.Size - r.Real
			r.Profile, r.Repeat = rapid.SampledFrom(Profiles).Draw(t, "day"), rapid.IntRange(1, 3).Draw(t, "repeat")
			r.RateFactor = rapid.SampledFrom([]float64{1, 200}).Draw(t, "hurry")
			r.Changes = rapid.IntRange(0, 50).Draw(t, "changes")
			r.Roles = map[Role]RoleMetrics{}
			r.InForce = map[ChangeKind]Latencies{}
			if rapid.IntRange(0, 5).Draw(t, "valid") == 0 {
				r.Invalid, r.Seconds = []string{"late | by\na lot"}, 0
			}
			for _, role := range knownRoles {
				mean := map[MetricKey]float64{}
				for _, key := range keys {
					if rapid.IntRange(0, 4).Draw(t, "there") > 0 {
						mean[key] = rapid.OneOf(rapid.Just(0.0), rapid.Just(3.0), rapid.Float64Range(0, 1e15)).Draw(t, string(key))
					}
				}
				r.Roles[role] = RoleMetrics{Count: rapid.IntRange(0, 2).Draw(t, "count"), Mean: mean}
			}
			for _, kind := range changeKinds {
				r.InForce[kind] = Latencies{Count: int64(rapid.IntRange(0, 3).Draw(t, "n")), P50: 1, P99: 2,
					Max:          rapid.Float64Range(0, 1e6).Draw(t, "worst"),
					NeverInForce: int64(rapid.IntRange(0, 1).Draw(t, "absent"))}
			}
			if err := r.check(); err != nil {
				t.Fatal(err)
			}
			runs = append(runs, r)
		}
		text, _ := renderTables(t, runs)
		if defect := tableDefect(text); defect != "" {
			t.Fatal(defect)
		}
	})
}

func TestSyntheticRunsAreMarked(t *testing.T) {
	for _, r := range syntheticRuns(t) {
		if r.Plan != "made-up" || r.Commit != "none" {
			t.Errorf("a run of plan %q, commit %q", r.Plan, r.Commit)
		}
	}
	text, err := os.ReadFile("testdata/README.md")
	if err != nil || !strings.Contains(string(text), "nothing here was measured") {
		t.Errorf("%s, %v", text, err)
	}
}
