package server_test

import (
	"fmt"
	"net/http"
	"testing"

	"fernbeam.example/fernbeam/internal/clock/clocktest"
	"fernbeam.example/fernbeam/internal/endpoint"
)

// TestWatchReturnsStartTimesAsWrittenAfterWallClockStep guards against ordering changes by the servers'
// start times, because these may decrease after a step of the wall clock. Changes are ordered by version
// only. The test checks that an open watch returns each restart and drain of a server as it was written,
// whether the server's start time is before or after the previous one.
func TestWatchReturnsStartTimesAsWrittenAfterWallClockStep(t *testing.T) {
	httpAddr, adminAddr := startSingleNode(t, t.TempDir())
	const startedMs = 1_800_000_000_000
	for i, step := range clocktest.Steps {
		t.Run(step.String(), func(t *testing.T) {
			entry := endpoint.Endpoint{ID: fmt.Sprint("s-", i), Addr: "127.0.0.1:1", Zone: "a", Kind: "m",
				State: endpoint.StateUp, Weight: 1, StartedMs: startedMs}
			version := mustPutEntry(t, adminAddr, entry)
			for _, change := range []func(){
				func() { entry.StartedMs = startedMs + 1000 + float64(step.Milliseconds()) }, // a restart after the step
				func() { entry.State = endpoint.StateDraining },
				func() { // another restart, after a step back
					entry.State = endpoint.StateUp
					entry.StartedMs = startedMs + 2000
				},
			} {
				from := version
				watch := openWatch(t, httpAddr, adminAddr, from)
				change()
				version = mustPutEntry(t, adminAddr, entry)
				got := (<-watch).list(t)
				if got.Version != version || len(got.Servers) != 1 || got.Servers[0] != entry {
					t.Errorf("watch from version %d got %+v, want %+v with version %d", from, got, entry, version)
				}
			}
		})
	}
}

// mustPutEntry is like putEntry, but fails the test if the write is not acknowledged.
func mustPutEntry(t *testing.T, adminAddr string, entry endpoint.Endpoint) uint64 {
	t.Helper()
	version := putEntry(adminAddr, entry)
	if version == 0 {
		t.Fatalf("write of %s not acknowledged", entry.ID)
	}
	return version
}

// openWatch opens a watch from a version, and returns once the instance has received it. The channel
// gets the response.
func openWatch(t *testing.T, httpAddr, adminAddr string, from uint64) <-chan response {
	t.Helper()
	watch := make(chan response, 1)
	url := watchURL(httpAddr, fmt.Sprintf("index=%d&wait=20000&service=pay&agent=a%d", from, from))
	go func() { watch <- request(http.MethodGet, url, "") }()
	isOpen := func() bool { return watchIsOpen(adminAddr, from) }
	mustAwait(t, "the watch", isOpen)
	return watch
}
