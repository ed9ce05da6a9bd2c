package server

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/hashicorp/raft"
	"pgregory.net/rapid"

	"fernbeam.example/fernbeam/internal/endpoint"
)

// SettingsText returns settings that agents accept, with the given roundMs. Different values of roundMs
// result in different texts.
func SettingsText(roundMs int) string {
	return fmt.Sprintf(`{"classes":[{"name":"read","aimMs":20,"giveUpMs":40,"effect":"free"}],`+
		`"limits":{"maxAttempts":3},"membershipMode":"pushed","roundMs":%d}`, roundMs)
}

// memorySink is a snapshot sink in memory (raft.SnapshotSink).
type memorySink struct{ bytes.Buffer }

func (*memorySink) ID() string    { return "m" }
func (*memorySink) Cancel() error { return nil }
func (*memorySink) Close() error  { return nil }

// restoreFromSnapshot returns a new state machine restored from a snapshot of state.
func restoreFromSnapshot(t *rapid.T, state *stateMachine) *stateMachine {
	t.Helper()
	snapshot, err := state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	var sink memorySink
	if err := snapshot.Persist(&sink); err != nil {
		t.Fatal(err)
	}
	restored := newStateMachine(state.maxChanges)
	if err := restored.Restore(io.NopCloser(&sink.Buffer)); err != nil {
		t.Fatal(err)
	}
	return restored
}

// applyCommand applies a command as the log entry with the given index.
func applyCommand(t interface{ Fatal(...any) }, state *stateMachine, index uint64, c command) applyResult {
	data, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	return state.Apply(&raft.Log{Index: index, Data: data}).(applyResult)
}

// settingsModel is a simple model of the stored settings versions, by service, oldest first.
type settingsModel map[string][]SettingsVersion

// apply applies a write of settings and returns its expected result.
func (m settingsModel) apply(c command, index uint64) applyResult {
	newest := m.newest(c.Service)
	switch {
	case newest.Text == c.Text:
		return applyResult{version: newest.Version}
	case c.IfVersion != nil && *c.IfVersion != newest.Version:
		conflict := versionConflictError{service: c.Service, expected: *c.IfVersion, current: newest.Version}
		return applyResult{err: conflict}
	}
	written := SettingsVersion{Version: index, WrittenAtMs: c.WrittenAtMs, Bytes: len(c.Text), Text: c.Text}
	m[c.Service] = append(m[c.Service], written)
	m[c.Service] = m[c.Service][max(0, len(m[c.Service])-20):]
	return applyResult{version: index}
}

// newest returns the newest version of a service's settings, or the zero SettingsVersion if there is none.
func (m settingsModel) newest(service string) SettingsVersion {
	versions := m[service]
	if len(versions) == 0 {
		return SettingsVersion{}
	}
	return versions[len(versions)-1]
}

// TestSettingsStateMachine compares the results of random writes of settings with those of
// settingsModel. Two writers write settings, with or without the version that they replace. Between the
// writes a server is changed, and the state machine is restored from a snapshot. Versions must increase,
// a repeated write must return the existing version, a write that replaces an outdated version must be
// rejected, and the last 20 versions must be stored. A watch that names no service must be notified of
// server changes only, never of settings changes.
func TestSettingsStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := newStateMachine(8)
		model := settingsModel{}
		listVersion := uint64(0)                     // of the last change of the server
		knownVersions := []map[string]uint64{{}, {}} // per writer, the last known version by service
		for index := uint64(1); index <= uint64(rapid.IntRange(1, 120).Draw(t, "writes")); index++ {
			if rapid.IntRange(0, 9).Draw(t, "snapshot") == 0 {
				state = restoreFromSnapshot(t, state)
			}
			if rapid.IntRange(0, 4).Draw(t, "server") == 0 {
				entry := endpoint.Endpoint{ID: "s", Weight: float64(index)}
				result := applyCommand(t, state, index, command{Op: operationPut, Server: entry})
				if result.err != nil {
					t.Fatal(result.err)
				}
				listVersion = result.version
				continue
			}
			service := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service")
			versions := knownVersions[rapid.IntRange(0, 1).Draw(t, "writer")]
			text := SettingsText(rapid.IntRange(1, 40).Draw(t, "text"))
			c := command{Op: operationSettings, Service: service, Text: text, WrittenAtMs: int64(index)}
			if rapid.Bool().Draw(t, "if") {
				version := versions[service]
				c.IfVersion = &version
			}
			got := applyCommand(t, state, index, c)
			if want := model.apply(c, index); got != want {
				t.Fatalf("write %d: %v, want %v", index, got, want)
			}
			versions[service] = model.newest(service).Version
			if got, want := fmt.Sprint(state.history(service)), fmt.Sprint(model[service]); got != want {
				t.Fatalf("history after write %d: %s, want %s", index, got, want)
			}
			checkServerWatches(t, state, listVersion)
		}
	})
}

// checkServerWatches checks the responses to watches that name no service, given the current version of
// the list. They must have no settings.
func checkServerWatches(t *rapid.T, state *stateMachine, version uint64) {
	t.Helper()
	for _, query := range []watchQuery{{full: true}, {version: version}, {version: version / 2}} {
		response := state.changesSince(query)
		var list endpoint.List
		err := json.Unmarshal(response.body, &list)
		wantUpdate := query.full || query.version < version
		wrongServer := len(list.Servers) > 0 && list.Servers[0].Weight != float64(version)
		if err != nil || list.Version != version || list.Settings != nil || response.hasUpdate != wantUpdate || wrongServer {
			t.Fatalf("watch %+v without a service got %s (%v) at version %d", query, response.body, err, version)
		}
	}
}

// TestRestoreSnapshotWithoutSettings checks that a snapshot of a program version that did not store
// settings can be restored, and that settings can be written after it.
func TestRestoreSnapshotWithoutSettings(t *testing.T) {
	state := newStateMachine(8)
	const snapshot = `{"version":7,"floor":0,"servers":[{"id":"s","addr":"127.0.0.1:9","state":"up","weight":1}],` +
		`"changes":[],"set_at":{"s":7}}`
	if err := state.Restore(io.NopCloser(strings.NewReader(snapshot))); err != nil {
		t.Fatal(err)
	}
	got := applyCommand(t, state, 8, command{Op: operationSettings, Service: "a", Text: SettingsText(1)})
	version, servers := state.currentVersion(), len(state.allEndpoints())
	if got != (applyResult{version: 8}) || version != 7 || servers != 1 {
		t.Errorf("write returned %v, list has version %d and %d servers, want 8, 7 and 1", got, version, servers)
	}
}
