package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/discovery/server"
	"fernbeam.example/fernbeam/internal/processtest"
	"fernbeam.example/fernbeam/internal/testaddr"
)

// startTimeout bounds the wait until an instance that a test started is the leader.
const startTimeout = 20 * time.Second

// validSettings is the text of settings that agents accept.
const validSettings = `{"classes": [{"name":"read","aimMs":20,"giveUpMs":40,"effect":"free"}],
 "limits": {"maxAttempts":3}, "membershipMode": "pushed"}
`

// runCommand runs a command line with in as its standard input, and returns its standard output.
func runCommand(in string, args ...string) (string, error) {
	cmd := rootCommand()
	var out bytes.Buffer
	cmd.SetArgs(args)
	cmd.SetIn(strings.NewReader(in))
	cmd.SetOut(&out)
	cmd.SetErr(io.Discard)
	err := cmd.Execute()
	return out.String(), err
}

// startInstance starts a single-instance cluster and returns its admin address.
func startInstance(t *testing.T) string {
	t.Helper()
	admin := testaddr.Reserve(t)
	instance, err := server.Start(server.Config{
		ID:              "n1",
		DataDir:         t.TempDir(),
		RaftAddr:        "127.0.0.1:0",
		HTTPAddr:        "127.0.0.1:0",
		AdminAddr:       admin,
		Bootstrap:       true,
		MaxStale:        time.Second,
		ElectionTimeout: 100 * time.Millisecond,
		KeepChanges:     64,
		SnapshotEvery:   8192,
		TrailingLogs:    1024,
	}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := instance.Close(); err != nil {
			t.Error(err)
		}
	})
	return admin
}

// putFirstSettings puts settings from a file once the instance is the leader, and returns their version.
func putFirstSettings(t *testing.T, admin string) uint64 {
	t.Helper()
	file := filepath.Join(t.TempDir(), "pay.json")
	if err := os.WriteFile(file, []byte(validSettings), 0o644); err != nil {
		t.Fatal(err)
	}
	var out string
	put := func() bool {
		var err error
		out, err = runCommand("", "settings", "put", "pay", file, "--admin", admin)
		return err == nil
	}
	if err := processtest.Await(startTimeout, "a first write", put); err != nil {
		t.Fatal(err)
	}
	return writtenVersion(t, out)
}

// writtenVersion returns the version in the output of "settings put".
func writtenVersion(t *testing.T, out string) uint64 {
	t.Helper()
	var version uint64
	if _, err := fmt.Sscanf(out, `{"version":%d}`, &version); err != nil {
		t.Fatalf("put printed %q: %v", out, err)
	}
	return version
}

// TestSettingsCommands checks that "settings get" prints what was put, byte for byte, that "settings
// history" lists it, and that a rejected "settings put" returns an error on one line.
func TestSettingsCommands(t *testing.T) {
	admin := startInstance(t)
	first := putFirstSettings(t, admin)
	put := []string{"settings", "put", "pay", "-", "--if-version", fmt.Sprint(first), "--admin", admin}
	out, err := runCommand(validSettings+" ", put...)
	if err != nil {
		t.Fatal(err)
	}
	second := writtenVersion(t, out)
	if first == 0 || second <= first {
		t.Fatalf("got versions %d and %d, want ascending ones above 0", first, second)
	}
	for text, want := range map[string]string{
		validSettings: fmt.Sprintf("412 Precondition Failed: settings of pay: version %d is in place, not 0", second),
		strings.Replace(validSettings, "20", `"x"`, 1): "400 Bad Request: settings: classes.aimMs: cannot be a string",
	} {
		_, err := runCommand(text, "settings", "put", "pay", "-", "--if-version=0", "--admin", admin)
		if err == nil || !strings.HasSuffix(err.Error(), want) {
			t.Errorf("put returned %v, want %q", err, want)
		}
	}
	for args, want := range map[string]string{"": validSettings + " ", fmt.Sprint("--version=", first): validSettings} {
		command := append([]string{"settings", "get", "pay", "--admin", admin}, strings.Fields(args)...)
		if out, err := runCommand("", command...); out != want || err != nil {
			t.Errorf("get %s printed %q (%v)", args, out, err)
		}
	}
	out, err = runCommand("", "settings", "history", "pay", "--admin", admin)
	lines := strings.Split(strings.TrimSpace(out), "\n")
	if err != nil || len(lines) != 3 || !strings.HasPrefix(lines[1], fmt.Sprint(second, " ")) {
		t.Errorf("history (%v):\n%s", err, out)
	}
}

// TestSettingsStatus checks that "settings status" combines the reports of the reachable instances: of
// two reports of the same agent the later one counts, agents that lack the newest version are listed with
// the reason, and unreachable instances are listed.
func TestSettingsStatus(t *testing.T) {
	n2 := serveReports(t, `{"version":9,"agents":[`+
		`{"agent":"p2","silent_ms":30000,"in_force":7,"refused":9,"why":"no room"}]}`)
	peers, err := json.Marshal(map[string]string{"n2": n2, "n3": "127.0.0.1:1"})
	if err != nil {
		t.Fatal(err)
	}
	n1 := serveReports(t, fmt.Sprintf(`{"version":7,"peers":%s,"agents":[{"agent":"p1","silent_ms":5,"in_force":9},`+
		`{"agent":"p2","silent_ms":60000,"in_force":0}]}`, peers))
	out, err := runCommand("", "settings", "status", "pay", "--admin", n1)
	if err == nil || err.Error() != "1 of 2 agents lack version 9" {
		t.Errorf("status returned %v, want that one agent lacks version 9", err)
	}
	got := strings.Join(strings.Fields(out), " ")
	for _, want := range []string{
		"newest version 9; reports of 2 agents from 2 of 3 instances",
		"unreachable: n3 at 127.0.0.1:1",
		"IN FORCE AGENTS 9 1 7 1",
		"LACKS 9 IN FORCE SILENT FOR REJECTED REASON p2 7 30s 9 no room",
		"SILENT OVER 10s",
	} {
		if !strings.Contains(got, want) {
			t.Errorf("output of status lacks %q:\n%s", want, out)
		}
	}
	withoutSettings := serveReports(t, `{"agents":[]}`)
	if _, err := runCommand("", "settings", "status", "pay", "--admin", withoutSettings); err == nil {
		t.Error("status of a service without settings returned no error")
	}
}

// serveReports starts a server that responds to each request with the given agent reports in JSON, and
// returns its address.
func serveReports(t *testing.T, reports string) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if _, err := io.WriteString(w, reports); err != nil {
			t.Error(err)
		}
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}
