package server

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	"pgregory.net/rapid"

	"fernbeam.example/fernbeam/internal/endpoint"
)

// SettingsText returns settings that agents accept; texts differ by their mark.
func SettingsText(mark int) string {
	return fmt.Sprintf(`{"classes":[{"name":"read","aimMs":20,"giveUpMs":40,"effect":"free"}],`+
		`"limits":{"maxAttempts":3},"membershipMode":"pushed","roundMs":%d}`, mark)
}

// memorySink is a snapshot sink in memory (raft.SnapshotSink).
type memorySink struct{ bytes.Buffer }

func (*memorySink) ID() string    { return "m" }
func (*memorySink) Cancel() error { return nil }
func (*memorySink) Close() error  { return nil }

// restored is a new list from a snapshot of l.
func restoreFromSnapshot(t interface{ Fatal(...any) }, l *stateMachine) *stateMachine {
	snap, err := l.Snapshot()
	var sink memorySink
	if err == nil {
		err = snap.Persist(&sink)
	}
	next := newStateMachine(l.maxChanges)
	if err == nil {
		err = next.Restore(io.NopCloser(&sink.Buffer))
	}
	if err != nil {
		t.Fatal(err)
	}
	return next
}

// TestSettingsStateMachine holds random writes, of two writers that may name the version
// they replace, and snapshots and a server's changes between them against a plain model:
// versions only grow, a repeat answers its version, a write over another's is refused, the
// last 20 are kept, and watches of servers see those alone, from answers that they share.
func TestSettingsStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, model := newStateMachine(8), map[string][]SettingsVersion{}
		servers := uint64(0)                // the version of their last change
		seen := []map[string]uint64{{}, {}} // what each writer last knew of a service
		for index := uint64(1); index <= uint64(rapid.IntRange(1, 120).Draw(t, "writes")); index++ {
			if rapid.IntRange(0, 9).Draw(t, "snapshot") == 0 {
				l = restoreFromSnapshot(t, l)
			}
			if rapid.IntRange(0, 4).Draw(t, "server") == 0 {
				data, _ := json.Marshal(command{Op: "put", Server: endpoint.Endpoint{ID: "s", Weight: float64(index)}})
				servers = l.Apply(&raft.Log{Index: index, Data: data}).(uint64)
				continue
			}
			service := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service")
			know := seen[rapid.IntRange(0, 1).Draw(t, "writer")]
			c := command{Op: "settings", Service: service, Text: SettingsText(rapid.IntRange(1, 40).Draw(t, "text")), WrittenAtMs: int64(index)}
			if rapid.Bool().Draw(t, "if") {
				v := know[service]
				c.IfVersion = &v
			}
			data, _ := json.Marshal(c)
			got := l.Apply(&raft.Log{Index: index, Data: data})
			kept, newest := model[service], SettingsVersion{}
			if len(kept) > 0 {
				newest = kept[len(kept)-1]
			}
			var want any = index
			switch {
			case newest.Text == c.Text:
				want = newest.Version
			case c.IfVersion != nil && *c.IfVersion != newest.Version:
				want = versionConflict{service: service, expected: *c.IfVersion, current: newest.Version}
			default:
				kept = append(kept, SettingsVersion{Version: index, WrittenAtMs: c.WrittenAtMs, Bytes: len(c.Text), Text: c.Text})
				model[service] = kept[max(0, len(kept)-20):]
			}
			if got != want {
				t.Fatalf("write %d: %v, want %v", index, got, want)
			}
			if v, ok := got.(uint64); ok {
				know[service] = v
			} else {
				know[service] = newest.Version // it reads anew
			}
			if a, b := fmt.Sprint(l.history(service)), fmt.Sprint(model[service]); a != b {
				t.Fatalf("after write %d kept %s, want %s", index, a, b)
			}
			for _, q := range []watchQuery{{full: true}, {version: servers}, {version: servers / 2}} {
				out, _, _ := l.changesSince(q)
				var got endpoint.List
				if err := json.Unmarshal(out.body, &got); err != nil || got.Version != servers || got.Settings != nil ||
					out.hasUpdate != (q.full || q.version < servers) || len(got.Servers) > 0 && got.Servers[0].Weight != float64(servers) {
					t.Fatalf("a watch of servers, %+v, gets %s (%v) at version %d", q, out.body, err, servers)
				}
			}
		}
	})
}

// TestOldSnapshot: a snapshot from before settings were kept is read, and settings go on
// from it.
func TestRestoreSnapshotWithoutSettings(t *testing.T) {
	l := newStateMachine(8)
	old := `{"version":7,"floor":0,"servers":[{"id":"s","addr":"127.0.0.1:9","state":"up","weight":1}],"changes":[],"set_at":{"s":7}}`
	if err := l.Restore(io.NopCloser(strings.NewReader(old))); err != nil {
		t.Fatal(err)
	}
	data, _ := json.Marshal(command{Op: "settings", Service: "a", Text: SettingsText(1)})
	if got := l.Apply(&raft.Log{Index: 8, Data: data}); got != uint64(8) || l.currentVersion() != 7 || len(l.allEndpoints()) != 1 {
		t.Errorf("write gave %v on version %d with %d servers, want 8, 7 and 1", got, l.currentVersion(), len(l.allEndpoints()))
	}
}

// TestCheckSettings: what no agent could take is refused with one line that names the key.
func TestCheckSettings(t *testing.T) {
	if err := validateSettings([]byte(SettingsText(1))); err != nil {
		t.Error(err)
	}
	for name, c := range map[string]struct{ old, new, want string }{
		"not JSON":   {`{`, `[`, "not a JSON object"},
		"type":       {`"maxAttempts":3`, `"maxAttempts":"3"`, "limits.maxAttempts"},
		"value":      {`"aimMs":20`, `"aimMs":0`, "classes[0].aimMs"},
		"mode":       {`"pushed"`, `"pulled"`, "membershipMode"},
		"index":      {`"roundMs"`, `"index":0,"roundMs"`, "index: is each agent's own"},
		"zone":       {`"roundMs"`, `"ZONE":0,"roundMs"`, "zone: is each agent's own"},
		"zone names": {`"roundMs"`, `"failureDomains":[1],"roundMs"`, "failureDomains"},
	} {
		err := validateSettings([]byte(strings.Replace(SettingsText(1), c.old, c.new, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, want one line with %q", name, err, c.want)
		}
	}
}

// TestHeardIsBounded in number, by who has been silent for longest, and in time.
func TestReportRegistryIsBounded(t *testing.T) {
	h, now := newReportRegistry(), time.Now()
	for i := range maxReports + 10 {
		h.record("a", fmt.Sprint("agent-", i), SettingsReport{InForce: uint64(i)}, now.Add(time.Duration(i)))
	}
	got := h.ofService("a", now.Add(time.Minute))
	if len(got) != maxReports || slices.ContainsFunc(got, func(a AgentReport) bool { return a.InForce < 10 }) {
		t.Errorf("%d agents remembered, want the last %d", len(got), maxReports)
	}
	if got := h.ofService("a", now.Add(reportRetention+time.Minute)); len(got) != 0 {
		t.Errorf("%d agents remembered after %v", len(got), reportRetention)
	}
	if got := oneLine("no\nroom"+strings.Repeat("é", 200), maxReasonBytes); len(got) > maxReasonBytes || !strings.HasPrefix(got, "no room") {
		t.Errorf("the reason is kept as %q", got)
	}
}
