package server_test

import (
	"fmt"
	"net/http"
	"testing"

	"fernbeam.example/fernbeam/internal/clock/clocktest"
	"fernbeam.example/fernbeam/internal/endpoint"
)

// TestWatchReturnsStartTimesAsWrittenAfterWallClockStep: the list is ordered by its versions and never
// by the start times in it. A restart or a drain whose start time a stepped clock puts before or after
// the earlier one is returned by the open watch as it was written.
func TestWatchReturnsStartTimesAsWrittenAfterWallClockStep(t *testing.T) {
	reads, admin := startSingleNode(t, t.TempDir())
	const startedMs = 1_800_000_000_000
	for i, step := range clocktest.Steps {
		t.Run(step.String(), func(t *testing.T) {
			entry := endpoint.Endpoint{ID: fmt.Sprint("s-", i), Addr: "127.0.0.1:1", Zone: "a", Kind: "m",
				State: endpoint.StateUp, Weight: 1, StartedMs: startedMs}
			version := mustPutEntry(t, admin, entry)
			for _, change := range []func(){
				func() { entry.StartedMs = startedMs + 1000 + float64(step.Milliseconds()) }, // a restart after the step
				func() { entry.State = endpoint.StateDraining },
				func() { // another restart, after a step back
					entry.State = endpoint.StateUp
					entry.StartedMs = startedMs + 2000
				},
			} {
				from := version
				watch := openWatch(t, reads, admin, from)
				change()
				version = mustPutEntry(t, admin, entry)
				got := (<-watch).list(t)
				if got.Version != version || len(got.Servers) != 1 || got.Servers[0] != entry {
					t.Errorf("the watch from %d got %+v, want %+v of version %d", from, got, entry, version)
				}
			}
		})
	}
}

// mustPutEntry writes an entry and returns the version of the write.
func mustPutEntry(t *testing.T, admin string, entry endpoint.Endpoint) uint64 {
	t.Helper()
	version := putEntry(admin, entry)
	if version == 0 {
		t.Fatalf("a write of %s was not acknowledged", entry.ID)
	}
	return version
}

// openWatch opens a watch from a version, and returns once the instance has it.
func openWatch(t *testing.T, reads, admin string, from uint64) <-chan response {
	t.Helper()
	watch := make(chan response, 1)
	url := watchURL(reads, fmt.Sprintf("index=%d&wait=20000&service=pay&agent=a%d", from, from))
	go func() { watch <- request(http.MethodGet, url, "") }()
	isOpen := func() bool { return watchIsOpen(admin, from) }
	mustAwait(t, "the watch", isOpen)
	return watch
}
