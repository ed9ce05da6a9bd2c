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

// startTimeout bounds how long a test waits for an instance that it started to lead.
const startTimeout = 20 * time.Second

// settings are settings that agents accept.
const settings = `{"classes": [{"name":"read","aimMs":20,"giveUpMs":40,"effect":"free"}],
 "limits": {"maxAttempts":3}, "membershipMode": "pushed"}
`

// runCommand runs a command line with a text as its standard input, and returns its standard output.
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

// startInstance starts an instance that is a cluster by itself, and returns its admin address.
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

// putFirst puts settings from a file as soon as the instance leads, and returns their version.
func putFirst(t *testing.T, admin string) uint64 {
	t.Helper()
	file := filepath.Join(t.TempDir(), "pay.json")
	if err := os.WriteFile(file, []byte(settings), 0o644); err != nil {
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

// writtenVersion returns the version in the output of a put.
func writtenVersion(t *testing.T, out string) uint64 {
	t.Helper()
	var version uint64
	if _, err := fmt.Sscanf(out, `{"version":%d}`, &version); err != nil {
		t.Fatalf("put printed %q: %v", out, err)
	}
	return version
}

// TestSettings: get and history return what was put, byte for byte. A put that is rejected returns an
// error of one line.
func TestSettings(t *testing.T) {
	admin := startInstance(t)
	first := putFirst(t, admin)
	put := []string{"settings", "put", "pay", "-", "--if-version", fmt.Sprint(first), "--admin", admin}
	out, err := runCommand(settings+" ", put...)
	if err != nil {
		t.Fatal(err)
	}
	second := writtenVersion(t, out)
	if first == 0 || second <= first {
		t.Fatalf("versions %d and %d", first, second)
	}
	for text, want := range map[string]string{
		settings: fmt.Sprintf("412 Precondition Failed: settings of pay: version %d is in place, not 0", second),
		strings.Replace(settings, "20", `"x"`, 1): "400 Bad Request: settings: classes.aimMs: cannot be a string",
	} {
		_, err := runCommand(text, "settings", "put", "pay", "-", "--if-version=0", "--admin", admin)
		if err == nil || !strings.HasSuffix(err.Error(), want) {
			t.Errorf("put says %v, want %q", err, want)
		}
	}
	for args, want := range map[string]string{"": settings + " ", fmt.Sprint("--version=", first): settings} {
		command := append([]string{"settings", "get", "pay", "--admin", admin}, strings.Fields(args)...)
		if out, err := runCommand("", command...); out != want || err != nil {
			t.Errorf("get %s: %q, %v", args, out, err)
		}
	}
	out, err = runCommand("", "settings", "history", "pay", "--admin", admin)
	lines := strings.Split(strings.TrimSpace(out), "\n")
	if err != nil || len(lines) != 3 || !strings.HasPrefix(lines[1], fmt.Sprint(second, " ")) {
		t.Errorf("history, %v:\n%s", err, out)
	}
}

// TestSettingsStatus: status combines the reports that the instances have. Of two reports of an agent the
// later one counts; agents that lack the newest version are listed with the reason, and so are instances
// that can't be reached.
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
		t.Errorf("status ends with %v", err)
	}
	got := strings.Join(strings.Fields(out), " ")
	for _, want := range []string{
		"newest version 9; 2 agents heard by 2 of 3 instances",
		"not reached: n3 at 127.0.0.1:1",
		"IN FORCE AGENTS 9 1 7 1",
		"LACKS 9 IN FORCE SILENT FOR REFUSED WHY p2 7 30s 9 no room",
		"SILENT OVER 10s",
	} {
		if !strings.Contains(got, want) {
			t.Errorf("status lacks %q:\n%s", want, out)
		}
	}
	withoutSettings := serveReports(t, `{"agents":[]}`)
	if _, err := runCommand("", "settings", "status", "pay", "--admin", withoutSettings); err == nil {
		t.Error("status of a service without settings is no error")
	}
}

// serveReports starts a server that answers each request with agent reports in JSON, and returns its
// address.
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
