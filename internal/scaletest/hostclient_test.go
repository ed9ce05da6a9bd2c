package scaletest

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/capacity"
)

// waitTimeout bounds every wait in the tests. Each wait needs only a fraction of it.
const waitTimeout = 3 * time.Minute

// hostClient sends commands to a host and receives its events.
type hostClient struct {
	t     *testing.T
	stdin io.WriteCloser
	done  chan error

	mu      sync.Mutex
	events  []HostEvent
	arrived chan struct{}
}

// startHostClient starts a host server in this process, and stops it at the end of the test.
func startHostClient(t *testing.T) *hostClient {
	t.Helper()
	commands, stdin := io.Pipe()
	events, stdout := io.Pipe()
	h := &hostClient{t: t, stdin: stdin, done: make(chan error, 1), arrived: make(chan struct{})}
	go func() { h.done <- ServeHost(context.Background(), commands, stdout, io.Discard) }()
	go func() {
		for lines := bufio.NewScanner(events); lines.Scan(); {
			var event HostEvent
			if err := json.Unmarshal(lines.Bytes(), &event); err != nil {
				t.Error(err)
			}
			h.mu.Lock()
			h.events = append(h.events, event)
			close(h.arrived)
			h.arrived = make(chan struct{})
			h.mu.Unlock()
		}
	}()
	t.Cleanup(h.close)
	return h
}

// close ends the host and all of its agents.
func (h *hostClient) close() {
	_ = h.stdin.Close() // a pipe's Close never fails
	select {
	case err := <-h.done:
		if err != nil {
			h.t.Error(err)
		}
		h.done <- nil
	case <-time.After(waitTimeout):
		h.t.Error("the host did not end in time")
	}
}

// command sends a command. config may be nil.
func (h *hostClient) command(do commandName, name string, config any) {
	h.t.Helper()
	command := HostCommand{Command: do, Agent: name}
	if config != nil {
		command.Config = marshal(h.t, config)
	}
	h.writeLine(string(marshal(h.t, command)))
}

// marshal returns a value as JSON.
func marshal(t *testing.T, value any) []byte {
	t.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// writeLine writes a line to the host's standard input.
func (h *hostClient) writeLine(text string) {
	h.t.Helper()
	if _, err := io.WriteString(h.stdin, text+"\n"); err != nil {
		h.t.Fatal(err)
	}
}

// await waits for an event for which fits returns true, beginning at the index since. It returns the event and the
// index after it.
func (h *hostClient) await(since int, what string, fits func(*HostEvent) bool) (HostEvent, int) {
	h.t.Helper()
	over := time.After(waitTimeout)
	for next := since; ; {
		h.mu.Lock()
		events, arrived := h.events, h.arrived
		h.mu.Unlock()
		for ; next < len(events); next++ {
			if fits(&events[next]) {
				return events[next], next + 1
			}
		}
		select {
		case <-arrived:
		case <-over:
			h.t.Fatalf("event not received in time: %s", what)
		}
	}
}

// count returns the number of events received so far.
func (h *hostClient) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.events)
}

// ended waits for the end of an agent and returns its event.
func (h *hostClient) ended(name string) HostEvent {
	h.t.Helper()
	event, _ := h.await(0, name+" ended", func(event *HostEvent) bool { return event.Ended == name })
	return event
}

// awaitInForce waits until a version or a later one is in force at a number of agents. It fails the test if the last
// of their events has a time in the future or more than waitTimeout ago.
func (h *hostClient) awaitInForce(agents int, kind capacity.ChangeKind, version uint64) {
	h.t.Helper()
	have := map[string]bool{}
	latest := int64(0)
	what := fmt.Sprintf("%s %d in force everywhere", kind, version)
	for since := 0; len(have) < agents; {
		var event HostEvent
		event, since = h.await(since, what, func(event *HostEvent) bool {
			return event.InForce != nil && event.InForce.Kind == kind && event.InForce.Version >= version
		})
		have[event.InForce.Agent] = true
		latest = max(latest, event.InForce.AtUs)
	}
	if late := time.Since(time.UnixMicro(latest)); late < 0 || late > waitTimeout {
		h.t.Errorf("in force %v ago", late)
	}
}

// report requests a report and returns it.
func (h *hostClient) report() *HostReport {
	h.t.Helper()
	since := h.count()
	h.command(commandReport, "", nil)
	event, _ := h.await(since, "report", func(event *HostEvent) bool { return event.Report != nil })
	return event.Report
}

// The pause between two reports of awaitReport doubles from firstReportPause to longestReportPause: each report runs a
// garbage collection, and the agents need time to reach the wanted state.
const (
	firstReportPause   = 200 * time.Millisecond
	longestReportPause = 2 * time.Second
)

// awaitReport requests reports until isWanted accepts one, and returns it.
func (h *hostClient) awaitReport(what string, isWanted func(*HostReport) bool) *HostReport {
	h.t.Helper()
	end := time.Now().Add(waitTimeout)
	for pause := firstReportPause; ; pause = min(2*pause, longestReportPause) {
		report := h.report()
		if isWanted(report) {
			return report
		}
		if time.Now().After(end) {
			h.t.Fatalf("no report in time with %s; the last one is %+v", what, report)
		}
		time.Sleep(pause)
	}
}
