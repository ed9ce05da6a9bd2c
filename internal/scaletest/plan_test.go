package scaletest

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
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
		{"sizes = [50]\ndays = [\"quiet\", \"party\"]", `p.toml:2: days: there is no load profile "party"`},
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

// TestAgentLog: versions and counts are read from the agent's own lines, also where a line comes in two parts.
func TestAgentLog(t *testing.T) {
	const (
		listLine = `time=2026-12-02T04:23:10.125Z level=INFO msg="endpoint list" watch=true full=false` +
			" from=0 to=36 endpoints=33\n"
		metricsLine = `time=2026-12-02T04:23:11.000Z level=INFO msg=metrics open=0` +
			` policy="{States:[1 30 2 0] Queued:0 InFlight:0}"` +
			` counts="{requests:0 listFailures:1 unlogged:0 listIn:700 listOut:90 listCalls:3}"` + "\n"
		lineBegin = "time=2026-12-02T04:23:12.5"

		lineEnd      = "00Z level=INFO msg=\"endpoint list\" watch=true full=false from=36 to=38 endpoints=1\n"
		settingsLine = `time=2026-12-02T04:23:12.750Z level=INFO msg="settings applied" classes=3` +
			" max_attempts=5 version=41\n"
		ownSettingsLine = `time=2026-12-02T04:23:12.800Z level=INFO msg="settings applied" classes=3` +
			" max_attempts=5\n"
		droppingLine = `time=2026-12-02T04:23:13.000Z level=INFO msg=metrics policy="{States:[1 30 2 0] Queued:0}"` +
			` counts="{requests:0 unlogged:2 listIn:800 listOut:120 listCalls:4}"` + "\n"
	)
	log := newAgentLog(t)
	log.write(t, listLine+metricsLine+lineBegin)
	state := log.agents.state("a")
	if state.listVersion != 36 || state.servers != 33 || state.listIn != 700 || state.listOut != 90 ||
		state.listCalls != 3 || log.list().incomplete {
		t.Errorf("%+v, incomplete %v", state, log.list().incomplete)
	}
	log.write(t, lineEnd+settingsLine+ownSettingsLine+droppingLine)
	want := time.Date(2026, 12, 2, 4, 23, 12, 500e6, time.UTC)
	versions := log.list().versions
	if len(versions) != 2 || versions[1].version != 38 || !versions[1].at.Equal(want) || !log.list().incomplete {
		t.Errorf("%+v, incomplete %v", versions, log.list().incomplete)
	}
	applied := log.agents.trackers[kindSettings].current["a"].versions
	if len(applied) != 1 || applied[0].version != 41 || !applied[0].at.Equal(want.Add(250*time.Millisecond)) ||
		log.agents.state("a").settingsVersion != 41 {
		t.Errorf("settings: %+v, %+v", applied, log.agents.state("a"))
	}
}

// agentLog is the log of an agent "a", and what reads it.
type agentLog struct{ agents *realAgents }

// newAgentLog returns an empty log.
func newAgentLog(t *testing.T) agentLog {
	t.Helper()
	agents := &realAgents{directory: t.TempDir(), trackers: newTrackers(), logs: map[string]*agentLogState{"a": {}}}
	agents.trackers.forEach(func(t *tracker) { t.started("a") })
	return agentLog{agents}
}

// write appends a text to the log, and reads it.
func (l agentLog) write(t *testing.T, text string) {
	t.Helper()
	path := filepath.Join(l.agents.directory, "a.log")
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.WriteString(text); err != nil {
		t.Fatal(err)
	}
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
	if err := l.agents.readLog("a"); err != nil {
		t.Fatal(err)
	}
}

// list is what was recorded of the endpoint list.
func (l agentLog) list() *incarnation { return l.agents.trackers[kindList].current["a"] }
