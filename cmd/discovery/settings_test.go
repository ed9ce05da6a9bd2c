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
)

// settings are settings that agents accept.
const settings = `{"classes": [{"name":"read","aimMs":20,"giveUpMs":40,"effect":"free"}],
 "limits": {"maxAttempts":3}, "membershipMode": "pushed"}
`

// discovery runs a command line with a text as its standard input, and returns its outputs.
func discovery(in string, args ...string) (out, errs string, err error) {
	cmd := rootCommand()
	var outBuffer, errBuffer bytes.Buffer
	cmd.SetArgs(args)
	cmd.SetIn(strings.NewReader(in))
	cmd.SetOut(&outBuffer)
	cmd.SetErr(&errBuffer)
	err = cmd.Execute()
	return outBuffer.String(), errBuffer.String(), err
}

// TestSettings: get and history return what was put, byte for byte. A put that is rejected returns an
// error of one line.
func TestSettings(t *testing.T) {
	reserved := httptest.NewServer(nil) // for a free address
	admin := reserved.Listener.Addr().String()
	reserved.Close()
	n, err := server.Start(server.Config{ID: "n1", DataDir: t.TempDir(), RaftAddr: "127.0.0.1:0", HTTPAddr: "127.0.0.1:0",
		AdminAddr: admin, Bootstrap: true, MaxStale: time.Second, ElectionTimeout: 100 * time.Millisecond, KeepChanges: 64,
		SnapshotEvery: 8192, TrailingLogs: 1024}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	defer n.Close()
	file := filepath.Join(t.TempDir(), "pay.json")
	if err := os.WriteFile(file, []byte(settings), 0o644); err != nil {
		t.Fatal(err)
	}
	var out string
	if err := processtest.Await(20*time.Second, "a first write", func() (ok bool) {
		out, _, err = discovery("", "settings", "put", "pay", file, "--admin", admin)
		return err == nil
	}); err != nil {
		t.Fatal(err)
	}
	var first, second uint64
	fmt.Sscanf(out, `{"version":%d}`, &first)
	put := []string{"settings", "put", "pay", "-", "--if-version", fmt.Sprint(first), "--admin", admin}
	out, _, err = discovery(settings+" ", put...)
	if fmt.Sscanf(out, `{"version":%d}`, &second); err != nil || first == 0 || second <= first {
		t.Fatalf("versions %d and %d, %v", first, second, err)
	}
	for text, want := range map[string]string{
		settings: fmt.Sprintf("412 Precondition Failed: settings of pay: version %d is in place, not 0", second),
		strings.Replace(settings, "20", `"x"`, 1): "400 Bad Request: settings: classes.aimMs: cannot be a string",
	} {
		_, _, err := discovery(text, "settings", "put", "pay", "-", "--if-version=0", "--admin", admin)
		if err == nil || !strings.HasSuffix(err.Error(), want) {
			t.Errorf("put says %v, want %q", err, want)
		}
	}
	for args, want := range map[string]string{"": settings + " ", fmt.Sprint("--version=", first): settings} {
		command := append([]string{"settings", "get", "pay", "--admin", admin}, strings.Fields(args)...)
		if out, _, err := discovery("", command...); out != want || err != nil {
			t.Errorf("get %s: %q, %v", args, out, err)
		}
	}
	out, _, err = discovery("", "settings", "history", "pay", "--admin", admin)
	lines := strings.Split(strings.TrimSpace(out), "\n")
	if err != nil || len(lines) != 3 || !strings.HasPrefix(lines[1], fmt.Sprint(second, " ")) {
		t.Errorf("history, %v:\n%s", err, out)
	}
}

// TestSettingsStatus: status combines the reports that the instances have. Of two reports of an agent the
// later one counts; agents that lack the newest version are listed with the reason, and so are instances
// that can't be reached.
func TestSettingsStatus(t *testing.T) {
	instance := func(reports string) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			io.WriteString(w, reports)
		}))
		t.Cleanup(s.Close)
		return s.Listener.Addr().String()
	}
	n2 := instance(`{"version":9,"agents":[{"agent":"p2","silent_ms":30000,"in_force":7,"refused":9,"why":"no room"}]}`)
	peers, _ := json.Marshal(map[string]string{"n2": n2, "n3": "127.0.0.1:1"})
	n1 := instance(fmt.Sprintf(`{"version":7,"peers":%s,"agents":[{"agent":"p1","silent_ms":5,"in_force":9},`+
		`{"agent":"p2","silent_ms":60000,"in_force":0}]}`, peers))
	out, _, err := discovery("", "settings", "status", "pay", "--admin", n1)
	if err == nil || err.Error() != "1 of 2 agents lack version 9" {
		t.Errorf("status ends with %v", err)
	}
	got := strings.Join(strings.Fields(out), " ")
	for _, want := range []string{"newest version 9; 2 agents heard by 2 of 3 instances", "not reached: n3 at 127.0.0.1:1",
		"IN FORCE AGENTS 9 1 7 1", "LACKS 9 IN FORCE SILENT FOR REFUSED WHY p2 7 30s 9 no room", "SILENT OVER 10s"} {
		if !strings.Contains(got, want) {
			t.Errorf("status lacks %q:\n%s", want, out)
		}
	}
	if _, _, err := discovery("", "settings", "status", "pay", "--admin", instance(`{"agents":[]}`)); err == nil {
		t.Error("status of a service without settings is no error")
	}
}
