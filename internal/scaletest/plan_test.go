package scaletest

import (
	"context"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/capacity"
)

// TestPlanErrors: a wrong key or value is an error of one line that names the file, the line and it.
func TestPlanErrors(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"name = \"p\"\nsizes = [50]\nhury = 3", `p.toml:3: unknown key "hury"`},
		{"sizes = [50]\n[fleet]\nsize = 3", `p.toml:2: unknown key "fleet"`},
		{"sizes = [50]\nname = \"\"", "p.toml:2: name: must be there"},
		{"name = \"p\"", "p.toml:1: sizes: one at least is needed"},
		{"sizes = [50,\n 2]", "p.toml:1: sizes: 2 hollow agents: 3 at least"},
		{"sizes = [50]\nreal = -1", "p.toml:2: real: must be 0 or more, is -1"},
		{"sizes = [50]\n\nlists = 5", "p.toml:3: lists: must be 3 or 4, is 5"},
		{"sizes = [50]\nlisted = -2", "p.toml:2: listed: must be 0 or more, is -2"},
		{"sizes = [50]\nagents_a_host = 0", "p.toml:2: agents_a_host: must be above 0, is 0"},
		{"sizes = [50]\nrepeats = 0", "p.toml:2: repeats: must be above 0, is 0"},
		{"sizes = [50]\ndays = [\"quiet\", \"party\"]", `p.toml:2: days: there is no day "party"`},
		{"sizes = [50]\ndays = [\"quiet\", \"quiet\"]", `p.toml:2: days: "quiet" is there twice`},
		{"sizes = [50]\ndays = []", "p.toml:2: days: one at least is needed"},
		{"sizes = [50]\nseconds = 1", "p.toml:2: seconds: must be from 5 to 3600, is 1"},
		{"sizes = [50]\nhurry = nan", "p.toml:2: hurry: must be above 0, is NaN"},
		{"sizes = [50]\nhurry = -3.0", "p.toml:2: hurry: must be above 0, is -3"},
		{"sizes = [50]\nsettings = 2", "p.toml:2: settings: must be from 0 to 1, is 2"},
		{"sizes = [50]\nsettings = -0.1", "p.toml:2: settings: must be from 0 to 1, is -0.1"},
		{"sizes = [50]\nsettings = nan", "p.toml:2: settings: must be from 0 to 1, is NaN"},
		{"sizes = [50]\nsettings = \"all\"", "p.toml:2: settings: "},
		{"sizes = [50]\nseed = \"x\"", "p.toml:2: seed: "},
		{"sizes = [50", "p.toml:1: "},
	} {
		_, err := ParsePlan("p.toml", c.text)
		if err == nil || !strings.HasPrefix(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v, want one line that begins with %s", c.text, err, c.want)
		}
	}
	_, err := LoadPlan(filepath.Join(t.TempDir(), "none.toml"))
	if err == nil || !strings.Contains(err.Error(), "none.toml") {
		t.Errorf("no file: %v", err)
	}
	p, err := ParsePlan("p.toml", "sizes = [50, 100]\nseconds = 30.0")
	if err != nil || !slices.Equal(p.Sizes, []int{50, 100}) || p.Seconds != 30 || p.Real != 20 ||
		p.DiscoveryInstances != 3 {
		t.Errorf("a plan of two keys: %+v, %v", p, err)
	}
}

// TestCommittedPlans: the committed plans and the built-in one are valid.
func TestCommittedPlans(t *testing.T) {
	for file, settings := range map[string]float64{"plan.toml": 0, "plan-settings.toml": 1} {
		if p, err := LoadPlan("../../docs/capacity/" + file); err != nil || p.SettingsFraction != settings {
			t.Errorf("%s: %+v, %v", file, p, err)
		}
	}
	if err := SmallPlan().check(); err != nil {
		t.Error(err)
	}
}

// TestTargetRates checks the rates and services of a size against the deployment's target.
func TestTargetRates(t *testing.T) {
	target, err := capacity.LoadTarget(targetFile)
	if err != nil {
		t.Fatal(err)
	}
	// 4,800 changes a day of 1,500 agents: at a size of 150 and 100 times the rate, 5.6 in 10 s.
	got := expectedEvents(target, target.Changes.PerDay, 150, &Plan{Seconds: 10, RateFactor: 100})
	if math.Abs(got-5.5556) > 0.001 {
		t.Errorf("%v changes, want 5.5556", got)
	}
	for size, want := range map[int]int{1500: 150, 70: 7, 3: 1} {
		if got := servicesAt(target, size); got != want {
			t.Errorf("%d services of %d agents, want %d", got, size, want)
		}
	}
}

// TestNextChangeIsSettings: a plan without changes of settings draws no random number for them, and one
// with a fraction draws that.
func TestNextChangeIsSettings(t *testing.T) {
	f := &fleet{plan: DefaultPlan(), random: rand.New(rand.NewPCG(1, 2))}
	for _, c := range []struct {
		share float64
		least int
		most  int
	}{{0, 0, 0}, {0.3, 2700, 3300}, {1, 10_000, 10_000}} {
		f.plan.SettingsFraction = c.share
		n := 0
		for range 10_000 {
			if f.nextChangeIsSettings() {
				n++
			}
		}
		if n < c.least || n > c.most {
			t.Errorf("%v of 10,000 changes: %d", c.share, n)
		}
		if first := rand.New(rand.NewPCG(1, 2)).Uint64(); c.share == 0 && f.random.Uint64() != first {
			t.Error("a plan without changes of settings draws for them")
		}
	}
}

// TestCheckMachine: a size that the machine can't run is refused in one line that says what it would take,
// before anything is started.
func TestCheckMachine(t *testing.T) {
	limits := machineLimits{memoryMB: 12_000, freeMemoryMB: 12_000, descriptors: 20_000}
	for _, c := range []struct {
		hollow, real, host int
		want               string
	}{
		{20_000, 20, 500, "MB, and half of this machine's memory is 12000 MB"},
		{100, 400, 50, "are 406 processes with the runner, and 300 are allowed"},
		{600, 20, 600, "descriptors a process, and 20000 are allowed"},
	} {
		p := DefaultPlan()
		p.Real, p.AgentsPerHost = c.real, c.host
		err := p.checkSize(c.hollow, limits)
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%+v: %v, want %s", c, err, c.want)
		}
	}
	p := DefaultPlan()
	if err := p.checkSize(400, limits); err != nil {
		t.Errorf("400 hollow agents within 12,000 MB: %v", err)
	}
	limits.freeMemoryMB = 500
	if err := p.checkSize(400, limits); err == nil || !strings.Contains(err.Error(), "500 MB are free") {
		t.Errorf("with 500 MB free: %v", err)
	}
	dir := t.TempDir()
	p.Sizes = []int{50, 1_000_000}
	err := Run(context.Background(), Config{
		Plan:        p,
		Target:      &capacity.Target{},
		Directory:   dir,
		Agent:       "none",
		Discovery:   "none",
		HostCommand: []string{"none"},
		OnRun:       func(*capacity.Run) error { t.Error("a run was played"); return nil },
	})
	if err == nil || !strings.Contains(err.Error(), "1000000 hollow agents") {
		t.Errorf("a million agents: %v", err)
	}
	if left, _ := os.ReadDir(dir); len(left) > 0 {
		t.Errorf("a refused plan left %v", left)
	}
}

// TestTrackerLatencies: a change is in force with its version or a later one. An agent without it that ended
// before the timeout is not counted, one that ran for the whole time is counted as never in force, and
// one that dropped log lines as unknown.
func TestTrackerLatencies(t *testing.T) {
	tr := newTracker()
	now := time.Now()
	at := func(s float64) time.Time { return now.Add(time.Duration(s * float64(time.Second))) }
	tr.inForce("early", 7, at(-100)) // before it is known to run
	for _, n := range []string{"early", "all", "over", "late", "never", "short", "blind", "new"} {
		tr.started(n)
		tr.current[n].start = at(-100)
	}
	tr.acknowledged(5, at(-60))
	tr.acknowledged(7, at(-50))
	tr.inForce("all", 5, at(-59))
	tr.inForce("all", 7, at(-49.5))
	tr.inForce("over", 7, at(-48)) // 5 was passed over: 12 s and 2 s
	tr.inForce("late", 7, at(-29)) // 31 s and 21 s: both absent
	tr.inForce("blind", 5, at(-59))
	tr.markIncomplete("blind")
	tr.current["new"].start = at(-55) // the change of version 5 was before it
	tr.inForce("new", 7, at(-50.2))   // before the acknowledgement: at once
	tr.stopping("short")
	short := slices.IndexFunc(tr.incarnations, func(i *incarnation) bool { return i.agent == "short" })
	tr.incarnations[short].end = at(-45)
	times, missing, err := tr.latencies()
	if err != nil {
		t.Fatal(err)
	}
	// early 0, 0; all 1 s, 0.5 s; over 12 s, 2 s; new 0.
	if times.Count != 7 || times.NeverInForce != 4 || missing != 2 || math.Abs(times.Max-12_000) > 12 ||
		math.Abs(times.P50-500) > 1 {
		t.Errorf("%+v, missing %d", times, missing)
	}
	tr.reset()
	times, missing, err = tr.latencies()
	if err != nil || times.Count != 0 || times.NeverInForce != 0 || missing != 0 || tr.latestVersion("all") != 0 {
		t.Errorf("on the next day: %+v, %d, %v", times, missing, err)
	}
}

// TestTrackerOfService: a change of a service's settings is for its agents alone, and so is its version.
func TestTrackerOfService(t *testing.T) {
	tr := newTrackers()[kindSettings]
	tr.serviceOf["a"], tr.serviceOf["b"] = "one", "two"
	tr.started("a")
	tr.started("b")
	acked := time.Now()
	tr.acknowledgedFor("one", 5, acked)
	tr.acknowledgedFor("two", 9, acked)
	tr.inForce("a", 5, acked.Add(time.Second))
	tr.inForce("b", 9, acked.Add(3*time.Second))
	times, _, err := tr.latencies()
	if err != nil || times.Count != 2 || math.Abs(times.Max-3000) > 3 || tr.latestVersion("a") != 5 ||
		tr.latestVersion("b") != 9 || tr.latestVersion("c") != 0 {
		t.Errorf("%+v, %v; last %d and %d", times, err, tr.latestVersion("a"), tr.latestVersion("b"))
	}
}

// TestAgentLog: versions and counts are read from the agent's own lines.
func TestAgentLog(t *testing.T) {
	dir := t.TempDir()
	byKind := newTrackers()
	tr, settings := byKind[kindList], byKind[kindSettings]
	r := &realAgents{directory: dir, trackers: byKind, logs: map[string]*agentLogState{"a": {}}}
	byKind.forEach(func(t *tracker) { t.started("a") })
	write := func(text string) {
		f, err := os.OpenFile(filepath.Join(dir, "a.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			t.Fatal(err)
		}
		defer f.Close()
		if _, err := f.WriteString(text); err != nil {
			t.Fatal(err)
		}
	}
	write("time=2026-12-02T04:23:10.125Z level=INFO msg=list watch=true full=false from=0 to=36 lines=33\n" +
		`time=2026-12-02T04:23:11.000Z level=INFO msg=figures open=0 module="{States:[1 30 2 0] Held:0 InFlight:0}" counts="{taken:0 unlisted:1 unlogged:0 listIn:700 listOut:90 listCalls:3}"` + "\n" +
		"time=2026-12-02T04:23:12.5")
	if err := r.readLog("a"); err != nil {
		t.Fatal(err)
	}
	if l := r.state("a"); l.listVersion != 36 || l.servers != 33 || l.listIn != 700 || l.listOut != 90 || l.listCalls != 3 || tr.current["a"].incomplete {
		t.Errorf("%+v, blind %v", l, tr.current["a"].incomplete)
	}
	write("00Z level=INFO msg=list watch=true full=false from=36 to=38 lines=1\n" +
		`time=2026-12-02T04:23:12.750Z level=INFO msg="settings taken over" classes=3 max_attempts=5 version=41` + "\n" +
		`time=2026-12-02T04:23:12.800Z level=INFO msg="settings taken over" classes=3 max_attempts=5` + "\n" +
		`time=2026-12-02T04:23:13.000Z level=INFO msg=figures module="{States:[1 30 2 0] Held:0}" counts="{taken:0 unlogged:2 listIn:800 listOut:120 listCalls:4}"` + "\n")
	if err := r.readLog("a"); err != nil {
		t.Fatal(err)
	}
	want := time.Date(2026, 12, 2, 4, 23, 12, 500e6, time.UTC)
	if f := tr.current["a"].versions; len(f) != 2 || f[1].version != 38 || !f[1].at.Equal(want) || !tr.current["a"].incomplete {
		t.Errorf("%+v, blind %v", f, tr.current["a"].incomplete)
	}
	if f := settings.current["a"].versions; len(f) != 1 || f[0].version != 41 || !f[0].at.Equal(want.Add(250*time.Millisecond)) || r.state("a").settingsVersion != 41 {
		t.Errorf("settings: %+v, %+v", f, r.state("a"))
	}
}
