package server_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/clock/clocktest"
	"fernbeam.example/fernbeam/internal/discovery/server"
	"fernbeam.example/fernbeam/internal/endpoint"
	"fernbeam.example/fernbeam/internal/processtest"
)

// putServer sets a server's entry and returns the version of the write.
func putEndpoint(t *testing.T, admin string, s endpoint.Endpoint) uint64 {
	t.Helper()
	text, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	var written struct{ Version uint64 }
	if got := request(http.MethodPut, admin+"/v1/servers/"+s.ID, string(text)); got.code != http.StatusOK ||
		json.Unmarshal([]byte(got.body), &written) != nil {
		t.Fatalf("a write of %s was answered %v", s.ID, got)
	}
	return written.Version
}

// watches tells whether the watch from a version has come.
func watchIsOpen(admin string, from uint64) bool {
	var heard server.AgentReports
	if json.Unmarshal([]byte(request(http.MethodGet, admin+"/v1/settings/pay/heard", "").body), &heard) != nil {
		return false
	}
	return slices.ContainsFunc(heard.Agents, func(a server.AgentReport) bool { return a.Agent == fmt.Sprint("a", from) })
}

// The list is ordered by its versions and never by the starts that it tells: a restart or a drain
// that a stepped clock puts before or after what was told is told by the watch that is open, as written.
func TestWatchReturnsStartTimesAsWrittenAfterWallClockStep(t *testing.T) {
	reads, admin := startSingleNode(t)
	const startedMs = 1_800_000_000_000
	for i, step := range clocktest.Steps {
		t.Run(step.String(), func(t *testing.T) {
			s := endpoint.Endpoint{ID: fmt.Sprint("s-", i), Addr: "127.0.0.1:1", Zone: "a", Kind: "m", State: "up", Weight: 1, StartedMs: startedMs}
			version := putEndpoint(t, admin, s)
			for _, change := range []func(){
				func() { s.StartedMs = startedMs + 1000 + float64(step.Milliseconds()) }, // it restarts after the step
				func() { s.State = "draining" },
				func() { s.State, s.StartedMs = "up", startedMs+2000 }, // and once more, after a step back
			} {
				watch := make(chan response, 1)
				from := version
				go func() {
					watch <- request(http.MethodGet, fmt.Sprintf("%s/api/targets?index=%d&wait=20000&service=pay&agent=a%d", reads, from, from), "")
				}()
				if err := processtest.Await(20*time.Second, "the watch", func() bool { return watchIsOpen(admin, from) }); err != nil {
					t.Fatal(err)
				}
				change()
				version = putEndpoint(t, admin, s)
				if l := (<-watch).list(t); l.Version != version || len(l.Servers) != 1 || l.Servers[0] != s {
					t.Errorf("the watch from %d got %+v, want %+v of version %d", from, l, s, version)
				}
			}
		})
	}
}
