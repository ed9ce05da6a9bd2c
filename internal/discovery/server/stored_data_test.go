package server_test

import (
	"encoding/json"
	"errors"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/discovery/server"
	"fernbeam.example/fernbeam/internal/endpoint"
	"fernbeam.example/fernbeam/internal/processtest"
)

// storedDataDir is a data directory of format 2 written by an earlier version of the program. It has a
// snapshot with two servers and the settings of two services, and a log with one more server and one more
// settings version.
const storedDataDir = "testdata/data-format-2"

// replayTimeout bounds the time within which an instance applies its stored log.
const replayTimeout = 5 * time.Second

// TestReadsStoredDataOfEarlierVersion checks that an instance serves the same list and settings from a copy
// of storedDataDir as the earlier version did.
func TestReadsStoredDataOfEarlierVersion(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "data")
	if err := os.CopyFS(dir, os.DirFS(storedDataDir)); err != nil {
		t.Fatal(err)
	}
	httpAddr, adminAddr := startSingleNode(t, dir)
	wantList := endpoint.List{Version: 11, Full: true, Servers: []endpoint.Endpoint{
		{
			ID: "pod-a", Addr: "10.0.0.1:8080", Zone: "z1", Region: "r1", Kind: "small", Cell: 1,
			State: endpoint.StateUp, Weight: 1, StartedMs: 1764600000000,
		},
		{
			ID: "pod-b", Addr: "10.0.0.2:8080", Zone: "z2", Region: "r1", Kind: "large", Cell: 2,
			State: endpoint.StateDraining, Weight: 2.5,
		},
		{ID: "pod-d", Addr: "10.0.0.4:8080", Zone: "z3", State: endpoint.StateUp, Weight: 0.5},
	}}
	caughtUp := func() bool { return request(http.MethodGet, httpAddr+endpoint.ListPath, "").code == http.StatusOK }
	if err := processtest.Await(replayTimeout, "the applied log", caughtUp); err != nil {
		t.Fatal(err)
	}
	if got := request(http.MethodGet, httpAddr+endpoint.ListPath, "").list(t); !reflect.DeepEqual(got, wantList) {
		t.Errorf("list %+v, want %+v", got, wantList)
	}
	for service, want := range map[string]server.SettingsVersion{
		"quotes": {Version: 12, WrittenAtMs: 1796206765381, Bytes: 136, Text: server.SettingsText(4) + "\n"},
		"orders": {Version: 10, WrittenAtMs: 1796206591154, Bytes: 136, Text: server.SettingsText(3) + "\n"},
	} {
		var got server.SettingsVersion
		body := request(http.MethodGet, adminAddr+endpoint.SettingsPath(service), "").body
		if err := json.Unmarshal([]byte(body), &got); err != nil || got != want {
			t.Errorf("settings of %s: %+v (%v), want %+v", service, got, err, want)
		}
	}
	var history []server.SettingsVersion
	body := request(http.MethodGet, adminAddr+endpoint.SettingsHistoryPath("quotes"), "").body
	if err := json.Unmarshal([]byte(body), &history); err != nil || len(history) != 3 {
		t.Errorf("history of quotes: %q (%v), want three versions", body, err)
	}
}

// TestRejectsStoredDataWithoutLog checks that an instance does not start on a copy of storedDataDir without
// its log. The earlier version did not mark that the store was created, but the snapshots show that the
// directory is damaged rather than new.
func TestRejectsStoredDataWithoutLog(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "data")
	if err := os.CopyFS(dir, os.DirFS(storedDataDir)); err != nil {
		t.Fatal(err)
	}
	if err := os.Remove(filepath.Join(dir, storeFileName)); err != nil {
		t.Fatal(err)
	}
	_, err := server.Start(singleNodeConfig(t, dir), slog.New(slog.DiscardHandler))
	var damage *server.StoreDamageError
	if !errors.As(err, &damage) {
		t.Errorf("Start returned %v, want a StoreDamageError", err)
	}
}
