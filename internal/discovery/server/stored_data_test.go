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

// storedData is a data directory of format 2 that an earlier version of the program wrote: a snapshot with two
// servers and the settings of two services, and one more server and one more settings version in the log.
const storedData = "testdata/data-format-2"

// replayTimeout bounds the time in which an instance applies its stored log.
const replayTimeout = 5 * time.Second

// TestReadsStoredDataOfEarlierVersion starts an instance on a copy of storedData and compares what it serves
// with what the earlier version served from it.
func TestReadsStoredDataOfEarlierVersion(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "data")
	if err := os.CopyFS(dir, os.DirFS(storedData)); err != nil {
		t.Fatal(err)
	}
	reads, admin := startSingleNode(t, dir)
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
	caughtUp := func() bool { return request(http.MethodGet, reads+endpoint.ListPath, "").code == http.StatusOK }
	if err := processtest.Await(replayTimeout, "the log applied", caughtUp); err != nil {
		t.Fatal(err)
	}
	if got := request(http.MethodGet, reads+endpoint.ListPath, "").list(t); !reflect.DeepEqual(got, wantList) {
		t.Errorf("list %+v, want %+v", got, wantList)
	}
	for service, want := range map[string]server.SettingsVersion{
		"quotes": {Version: 12, WrittenAtMs: 1796206765381, Bytes: 136, Text: server.SettingsText(4) + "\n"},
		"orders": {Version: 10, WrittenAtMs: 1796206591154, Bytes: 136, Text: server.SettingsText(3) + "\n"},
	} {
		var got server.SettingsVersion
		body := request(http.MethodGet, admin+endpoint.SettingsPath(service), "").body
		if err := json.Unmarshal([]byte(body), &got); err != nil || got != want {
			t.Errorf("settings of %s: %+v (%v), want %+v", service, got, err, want)
		}
	}
	var history []server.SettingsVersion
	body := request(http.MethodGet, admin+endpoint.SettingsHistoryPath("quotes"), "").body
	if err := json.Unmarshal([]byte(body), &history); err != nil || len(history) != 3 {
		t.Errorf("history of quotes: %q (%v), want three versions", body, err)
	}
}

// TestRejectsStoredDataWithoutLog starts an instance on a copy of storedData without its log. As there are
// snapshots, the directory is damaged and not new, though that version did not mark that it had a store.
func TestRejectsStoredDataWithoutLog(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "data")
	if err := os.CopyFS(dir, os.DirFS(storedData)); err != nil {
		t.Fatal(err)
	}
	if err := os.Remove(filepath.Join(dir, storeFileName)); err != nil {
		t.Fatal(err)
	}
	_, err := server.Start(singleNodeConfig(t, dir), slog.New(slog.DiscardHandler))
	var damage *server.StoreDamageError
	if !errors.As(err, &damage) {
		t.Errorf("start returned %v, want a StoreDamageError", err)
	}
}
