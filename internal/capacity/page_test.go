package capacity

import (
	"bytes"
	"fmt"
	"maps"
	"math"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

const mechanismsFile = "testdata/mechanisms.toml"

// renderTables makes a page from runs and benchmark files, and returns its tables.
func renderTables(t interface {
	Fatal(...any)
	Helper()
}, runs []*Run, benches ...string) (string, *Page) {
	t.Helper()
	target, err := LoadTarget(targetFile)
	if err != nil {
		t.Fatal(err)
	}
	m, err := LoadMechanisms(mechanismsFile)
	if err != nil {
		t.Fatal(err)
	}
	var read []*BenchmarkFile
	for _, path := range benches {
		b, err := ReadBenchmarkFile(path)
		if err != nil {
			t.Fatal(err)
		}
		read = append(read, b)
	}
	var records []Record
	if runs != nil {
		records = []Record{{Path: "made-up.jsonl", Runs: runs}}
	}
	p, err := NewPage(target, m, records, read)
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

func syntheticRuns(t *testing.T) []*Run {
	t.Helper()
	runs, err := ReadRuns("testdata/made-up.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	return runs
}

// tableDefect describes the first defect of a page: a number that is not finite, an empty cell, or a line
// of a table with more or fewer cells than its head. It is empty if there is none.
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

// requireLine returns the one line of a text that contains all the words.
func requireLine(t *testing.T, text string, words ...string) string {
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
	return found[0]
}

func TestPageWithoutRuns(t *testing.T) {
	text, p := renderTables(t, nil, "testdata/none.txt")
	if f := tableDefect(text); f != "" {
		t.Error(f)
	}
	for _, r := range p.rows {
		if r.Known || r.targetCell() != "not measured" || r.Budget > 0 && r.usageCell() != "not measured" {
			t.Errorf("%s: %q, use %q", r.Name(), r.targetCell(), r.usageCell())
		}
	}
	ranked, _ := p.Ranked()
	for _, r := range ranked {
		if !r.RequiredDaily || r.HasMechanism() {
			t.Errorf("%s is ranked with nothing measured", r.Name())
		}
	}
}

func TestPageOfSyntheticRuns(t *testing.T) {
	text, p := renderTables(t, syntheticRuns(t), "testdata/made-up-path.txt", "testdata/made-up-decision.txt")
	if f := tableDefect(text); f != "" {
		t.Error(f)
	}
	// The laws that the runs were made up by, at 1,500.
	for name, want := range map[string]float64{
		"agent/quiet/state":           3000,
		"agent/quiet/bytes":           200 + 1.5*1500,
		"agent/quiet/processor":       0.2 + 0.0005*1500, // hollow takes half
		"agent/quiet/memory":          14 + 0.02*1500,    // hollow has less by what does not grow
		"agent/rollout/bytes":         200 + 4.5*1500,
		"agent/ordinary/bytes":        200 + 1.5*1500*(1+1.0/200), // hurried by 200
		"list leader/quiet/live heap": 8 + 0.03*1500,
		"data path/calm/added":        410,
	} {
		r := p.rowNamed(t, name)
		if !r.Known || math.Abs(r.Value/want-1) > 0.15 || r.Extrapolated == (r.Subject == subjectDataPath) {
			t.Errorf("%s: %s (known %v, extrapolated %v), want some %s",
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
			t.Errorf("%s is from %q, want %q", name, got, want)
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

func TestRanking(t *testing.T) {
	_, p := renderTables(t, syntheticRuns(t), "testdata/made-up-path.txt")
	ranked, rest := p.Ranked()
	if len(ranked) < 5 || ranked[0].Name() != "in force/ordinary/settings" || ranked[1].Name() != "in force/zone/list" {
		t.Fatalf("ranked first: %v, %v", ranked[0].Name(), ranked[1].Name())
	}
	last := math.Inf(1)
	for _, r := range ranked[2:] {
		use, _, ok := r.Use()
		if !ok || use > last {
			t.Errorf("%s has use %v (%v), below %v", r.Name(), use, ok, last)
		}
		last = use
	}
	for _, r := range rest {
		if r.Known {
			t.Errorf("%s is known and not ranked", r.Name())
		}
	}
	// With something that carries them, settings are ranked as all else is.
	for _, r := range p.rows {
		r.Mechanism = "watch"
	}
	settings := p.rowNamed(t, "in force/ordinary/settings")
	if ranked, rest := p.Ranked(); ranked[0].Name() != "in force/zone/list" || !slices.Contains(rest, settings) {
		t.Errorf("carried: %s is first", ranked[0].Name())
	}
}

// TestUseOverBudgetAtMeasuredSize: a metric that is over its budget at a measured size needs no fit.
func TestUseOverBudgetAtMeasuredSize(t *testing.T) {
	runs := []*Run{validRun()}
	runs[0].Roles[RoleReal].Mean[ResidentMB] = 128
	_, p := renderTables(t, runs)
	if r := p.rowNamed(t, "agent/quiet/memory"); r.Known || r.usageCell() != "2 at 50 already" {
		t.Errorf("%q, use %q", r.targetCell(), r.usageCell())
	}
	if ranked, _ := p.Ranked(); ranked[1].Name() != "agent/quiet/memory" {
		t.Errorf("%s is second", ranked[1].Name())
	}
}

// TestRolesUseFirstPlanOnly: a second plan adds its changes in force, and nothing to the metrics of roles.
func TestRolesUseFirstPlanOnly(t *testing.T) {
	first, second := validRun(), validRun()
	second.Plan, second.Day, second.Size = "second", first.Day, first.Size+1
	first.Roles[RoleReal].Mean[ResidentMB], second.Roles[RoleReal].Mean[ResidentMB] = 10, 30
	second.InForce = map[string]Latencies{"settings": {Count: 5, P50: 1, P99: 2, Max: 3}}
	_, alone := renderTables(t, []*Run{first})
	_, both := renderTables(t, []*Run{first, second})
	const memory = "agent/quiet/memory"
	if a, b := alone.rowNamed(t, memory).targetCell(), both.rowNamed(t, memory).targetCell(); a != b {
		t.Errorf("memory %q with a second plan, %q without", b, a)
	}
	if both.usesRun(second, both.rowNamed(t, memory)) {
		t.Error("memory is said to come from the second plan")
	}
	second.Day = "ordinary"
	_, both = renderTables(t, []*Run{first, second})
	if both.rowNamed(t, "in force/ordinary/settings").targetCell() == notMeasured {
		t.Error("the second plan's settings in force are not told")
	}
}

func TestValidRunsKeepsLastRepeat(t *testing.T) {
	first, again, other, late := validRun(), validRun(), validRun(), validRun()
	other.Repeat, late.Repeat, late.Invalid = 2, 3, []string{"late"}
	if got := ValidRuns([]*Run{first, other, again, late}); !slices.Equal(got, []*Run{other, again}) {
		t.Errorf("%d count", len(got))
	}
}

func TestSelectSource(t *testing.T) {
	cpu := Metrics[slices.IndexFunc(Metrics, func(f Metric) bool { return f.Name == "processor" })]
	run := func(size int, hollow, real float64) *Run {
		r := validRun()
		r.Size, r.Hollow = size, size-r.Real
		r.Roles = map[string]RoleMetrics{}
		if hollow >= 0 {
			r.Roles[RoleHollow] = RoleMetrics{Count: r.Hollow, Mean: map[string]float64{CPU: hollow}}
		}
		if real >= 0 {
			r.Roles[RoleReal] = RoleMetrics{Count: r.Real, Mean: map[string]float64{CPU: real}}
		}
		return r
	}
	for _, c := range []struct {
		runs      []*Run
		why, role string
	}{
		{nil, "not measured", RoleHollow},
		{[]*Run{run(50, -1, 1), run(50, -1, 1)}, "real; hollow not measured", RoleReal},
		{[]*Run{run(50, 1, -1)}, "hollow, not held to real", RoleHollow},
		{[]*Run{run(50, 1, 1)}, "real; no ratio to hollow", RoleReal},
		{[]*Run{run(50, 0, 0), run(100, 0, 0)}, "hollow; both 0", RoleHollow},
		{[]*Run{run(50, 1, 1.1), run(100, 2, 1.9)}, "hollow", RoleHollow},
		{[]*Run{run(50, 1, 2), run(50, 1, 2.01), run(100, 2, 4)}, "hollow ÷ 0.499", RoleHollow},
		{[]*Run{run(50, 1, 2), run(50, 1, 2), run(100, 1, 4), run(100, 1, 4)}, "real; hollow not used", RoleReal},
	} {
		if s := selectSource(c.runs, cpu); s.Description != c.why || s.Role != c.role {
			t.Errorf("%q of %s, want %q of %s", s.Description, s.Role, c.why, c.role)
		}
	}
}

// TestPageOfArbitraryRuns: for arbitrary runs, with any of the metrics missing, the page has no defect.
func TestPageOfArbitraryRuns(t *testing.T) {
	names := []string{
		Members, Servers, BytesIn, BytesOut, MessagesIn, MessagesOut, CPU, ResidentMB, HeapMB, ViewBytes, ListBytes,
	}
	rapid.Check(t, func(t *rapid.T) {
		var runs []*Run
		for range rapid.IntRange(0, 30).Draw(t, "runs") {
			r := validRun()
			r.Size = rapid.SampledFrom([]int{30, 50, 100, 200, 400, 1500}).Draw(t, "size")
			r.Hollow = r.Size - r.Real
			r.Day, r.Repeat = rapid.SampledFrom(Days).Draw(t, "day"), rapid.IntRange(1, 3).Draw(t, "repeat")
			r.RateFactor = rapid.SampledFrom([]float64{1, 200}).Draw(t, "hurry")
			r.Changes = rapid.IntRange(0, 50).Draw(t, "changes")
			r.Roles = map[string]RoleMetrics{}
			r.InForce = map[string]Latencies{}
			if rapid.IntRange(0, 5).Draw(t, "valid") == 0 {
				r.Invalid, r.Seconds = []string{"late | by\na lot"}, 0
			}
			for _, role := range knownRoles {
				mean := map[string]float64{}
				for _, f := range names {
					if rapid.IntRange(0, 4).Draw(t, "there") > 0 {
						mean[f] = rapid.OneOf(rapid.Just(0.0), rapid.Just(3.0), rapid.Float64Range(0, 1e15)).Draw(t, f)
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
		if f := tableDefect(text); f != "" {
			t.Fatal(f)
		}
	})
}

func TestReadBenchmarkFileErrors(t *testing.T) {
	for text, says := range map[string]string{
		"BenchmarkPath/servers=10 100 nonsense added-p99-us\n": ":1: ",
		"goos: linux\n--- FAIL: BenchmarkPath\n":               ":2: a benchmark failed",
		"FAIL\tsome/package\n":                                 ":1: a benchmark failed",
		"BenchmarkPath/servers=10 100 NaN added-p99-us\n":      ":1: added-p99-us: NaN",
	} {
		path := writeFile(t, "b.txt", text)
		b, err := ReadBenchmarkFile(path)
		requireOneLineError(t, err, path+says)
		if b != nil {
			t.Errorf("%q: half read", text)
		}
	}
	const good = "commit: abc\nBenchmarkDecision/servers=10/state=calm-8 100 2500 ns/op\n"
	one, err := ReadBenchmarkFile(writeFile(t, "b.txt", good))
	if err != nil {
		t.Fatal(err)
	}
	e, ok := one.Estimate("Decision/servers=10/state=calm", "sec/op")
	if !ok || !e.SingleRun || math.Abs(e.Mean-2.5e-6) > 1e-12 || one.Config["commit"] != "abc" {
		t.Errorf("%+v, %v, %v", e, ok, one.Config)
	}
	if got := slices.Sorted(maps.Keys(one.ServerCounts(decisionBenchmark))); !slices.Equal(got, []int{10}) {
		t.Errorf("servers %v", got)
	}
}

func TestMechanismErrors(t *testing.T) {
	const head = "[[mechanism]]\n"
	for text, says := range map[string]string{
		head + "rows = [\"agent/*/bytes\"]\n":                               "by: is empty",
		head + "by = \"gossip\"\n":                                          "rows: names none",
		head + "rows = [\"[\"]\nby = \"gossip\"\n":                          "is no pattern",
		head + "rows = [\"agent/*/bytes\"]\nby = \"a\"\nhow = 1\n":          "mechanism.how",
		head + "rows = [\"agent/*/bytes\"]\nby = \"a | b\"\n":               "breaks a table",
		head + "rows = [\"agent/*/bytes\", \"agent/*/byts\"]\nby = \"a\"\n": "names no row",
		head + "rows = 3\n":                                                 "rows",
	} {
		path := writeFile(t, "m.toml", text)
		m, err := LoadMechanisms(path)
		if err == nil {
			target, terr := LoadTarget(targetFile)
			if terr != nil {
				t.Fatal(terr)
			}
			_, err = NewPage(target, m, nil, nil)
		}
		requireOneLineError(t, err, path, says)
	}
	if m := (&Mechanisms{}); m.forRow("agent/quiet/bytes") != noMechanism {
		t.Errorf("a row that nothing names is carried by %q", m.forRow("agent/quiet/bytes"))
	}
}

func TestReplaceTables(t *testing.T) {
	page := "# Page\n\n" + BeginMarker + "\nold\n" + EndMarker + "\nafter\n"
	got, err := ReplaceTables(page, "new\n\n")
	if want := "# Page\n\n" + BeginMarker + "\nnew\n" + EndMarker + "\nafter\n"; err != nil || got != want {
		t.Errorf("%q, %v", got, err)
	}
	for _, wrong := range []string{
		"",
		BeginMarker + "\n",
		EndMarker + "\n" + BeginMarker + "\n",
		page + page,
		"x" + page[len("# Page\n\n"):],
	} {
		if got, err := ReplaceTables(wrong, "new"); err == nil {
			t.Errorf("%q made %q", wrong, got)
		}
	}
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

// TestCorrectionWidensInterval: the uncertainty of the ratio that hollow agents' metrics are divided by is
// part of the interval.
func TestCorrectionWidensInterval(t *testing.T) {
	s := Source{Corrected: true, Ratio: Ratio{Mean: 0.5, Interval: Interval{0.4, 0.625}}}
	if v, in := s.widen(10, Interval{10, 10}); v != 10 || math.Abs(in.Lo-8) > 1e-9 || math.Abs(in.Hi-12.5) > 1e-9 {
		t.Errorf("%v (%v)", v, in)
	}
	_, p := renderTables(t, syntheticRuns(t))
	r := p.rowNamed(t, "agent/rollout/processor")
	runs, _ := p.comparableRuns(subjectAgent, "rollout")
	_, plain := r.Fit.Predict(1500, changesPerAgent(runs)*1500*200)
	if r.Interval.Lo >= plain.Lo || r.Interval.Hi <= plain.Hi {
		t.Errorf("%v, no wider than %v", r.Interval, plain)
	}
}

func TestRescaleToTarget(t *testing.T) {
	near := func(got, want float64) bool { return math.Abs(got-want) <= 1e-9 }
	const scaled = 100*0.75 + 500*0.25
	for _, c := range []struct {
		name       string
		rateFactor float64
		value      float64
		interval   Interval
	}{
		{"four times the rate", 4, scaled, Interval{scaled - math.Hypot(7.5, 25), scaled + math.Hypot(15, 50)}},
		{"the target's rate", 1, 500, Interval{400, 700}},
	} {
		t.Run(c.name, func(t *testing.T) {
			v, in := rescaleToTarget(100, Interval{90, 120}, 500, Interval{400, 700}, c.rateFactor)
			if v != c.value || !near(in.Lo, c.interval.Lo) || !near(in.Hi, c.interval.Hi) {
				t.Errorf("%v (%v), want %v (%v)", v, in, c.value, c.interval)
			}
		})
	}
}

func TestPlanArgument(t *testing.T) {
	file := writeFile(t, "plan.toml", "name = \"two\"\nsizes = [1]\n")
	record := filepath.Join(filepath.Dir(file), "r.jsonl")
	for plan, want := range map[string]string{"two": file, "small": "--small", "three": "three.toml"} {
		if got := planArgument(record, plan); got != want {
			t.Errorf("%q is %q, want %q", plan, got, want)
		}
	}
}
