package scaletest

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

// TestAgentLog checks that versions and counters are read from an agent's log lines, also if a line is written in two
// parts.
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

// agentLog is the log of an agent "a", with the realAgents that read it.
type agentLog struct{ agents *realAgents }

// newAgentLog returns an empty log.
func newAgentLog(t *testing.T) agentLog {
	t.Helper()
	agents := &realAgents{directory: t.TempDir(), trackers: newTrackers(), logs: map[string]*agentLogState{"a": {}}}
	agents.trackers.forEach(func(t *tracker) { t.started("a") })
	return agentLog{agents}
}

// write appends a text to the log and has it read.
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

// list returns what was recorded of the agent's endpoint list.
func (l agentLog) list() *incarnation { return l.agents.trackers[kindList].current["a"] }
