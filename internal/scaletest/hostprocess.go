package scaletest

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// hostProcess is the runner's side of a host process. It sends commands to the process and receives its events.
type hostProcess struct {
	name     string
	cmd      *exec.Cmd
	done     chan struct{} // closed once the process has ended
	trackers trackers

	mu      sync.Mutex
	stdin   io.WriteCloser
	waiters map[agentEvent]chan error // by the event waited for
	reports chan *HostReport
	err     error // the first error that the host reported, or that of reading its events

	reportMu   sync.Mutex // held while waiting for a report
	lastReport *HostReport
}

const (
	// agentTimeout is how long a host may take to start or end an agent. It allows for a loaded machine, and for the
	// 3 s that a graceful shutdown takes (agent.Run).
	agentTimeout = 30 * time.Second
	// reportTimeout is how long a host may take to report on all of its agents.
	reportTimeout = 60 * time.Second
	// hostStopTimeout is how long a host may take to end after its standard input is closed.
	hostStopTimeout = 3 * time.Second
	// maxReportAge is the maximum age of the report from which an agent's counters are saved before the agent is ended.
	// It allows agents that are ended at the same time to share one report.
	maxReportAge = 200 * time.Millisecond
)

// agentEvent identifies an event for which a command waits.
type agentEvent struct {
	kind  agentEventKind
	agent string
}

// agentEventKind is the kind of an agentEvent.
type agentEventKind string

// The kinds of events for which commands wait.
const (
	agentStarted agentEventKind = "started"
	agentEnded   agentEventKind = "ended"
)

func startedEvent(agent string) agentEvent { return agentEvent{agentStarted, agent} }
func endedEvent(agent string) agentEvent   { return agentEvent{agentEnded, agent} }

// String returns the event as it is named in errors.
func (e agentEvent) String() string { return string(e.kind) + " " + e.agent }

// startHost starts a host process whose log is NAME.log in a directory. The process runs until it is closed, even if
// ctx ends before.
func startHost(ctx context.Context, command []string, name, directory string, trackers trackers) (*hostProcess, error) {
	log, err := os.Create(filepath.Join(directory, name+".log"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	h := &hostProcess{
		name:     name,
		cmd:      exec.CommandContext(context.WithoutCancel(ctx), command[0], command[1:]...),
		done:     make(chan struct{}),
		trackers: trackers,
		waiters:  map[agentEvent]chan error{},
		reports:  make(chan *HostReport, 1),
	}
	h.cmd.Stderr = log
	// The hosts end however the runner ends: their standard input is closed, and the kernel kills them.
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if h.stdin, err = h.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	stdout, err := h.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := h.cmd.Start(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	go func() { // hostProcess.close waits for it
		defer close(h.done)
		h.readEvents(stdout)
		_ = h.cmd.Wait() // readEvents has already reported the end of the events as an error
	}()
	return h, nil
}

// readEvents handles the host's events until they can't be read any more, and then fails all waiters.
func (h *hostProcess) readEvents(stdout io.Reader) {
	decoder := json.NewDecoder(stdout)
	for {
		var event HostEvent
		if err := decoder.Decode(&event); err != nil {
			h.fail(fmt.Errorf("%s: read events: %w", h.name, err))
			return
		}
		h.handleEvent(&event)
	}
}

// handleEvent records an event and notifies the command that waits for it.
func (h *hostProcess) handleEvent(event *HostEvent) {
	var err error
	if event.Err != "" {
		err = fmt.Errorf("%s: %s", h.name, event.Err)
	}
	switch {
	case event.Started != "":
		h.trackers.forEach(func(t *tracker) { t.started(event.Started) })
		h.resolve(startedEvent(event.Started), nil)
	case event.Ended != "":
		h.handleEnded(event.Ended, err)
	case event.InForce != nil:
		v := event.InForce
		if t := h.trackers[v.Kind]; t != nil {
			t.inForce(v.Agent, v.Version, time.UnixMicro(v.AtUs))
		}
	case event.Report != nil:
		select {
		case h.reports <- event.Report:
		default: // nothing receives the report: its request timed out
		}
	case err != nil:
		h.fail(err)
	}
}

// handleEnded handles the end of an agent. If no command waits for the end, but a command waits for the agent's start,
// that command fails.
func (h *hostProcess) handleEnded(agent string, err error) {
	h.trackers.forEach(func(t *tracker) { t.ended(agent) })
	if h.resolve(endedEvent(agent), err) {
		return
	}
	h.resolve(startedEvent(agent), errors.Join(err, fmt.Errorf("%s: %s has ended", h.name, agent)))
}

// fail records the host's first error and fails all waiters.
func (h *hostProcess) fail(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.err == nil {
		h.err = err
	}
	for event, waiter := range h.waiters {
		waiter <- err
		delete(h.waiters, event)
	}
}

// resolve notifies the command that waits for an event, and reports whether there was one.
func (h *hostProcess) resolve(event agentEvent, err error) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	waiter := h.waiters[event]
	if waiter == nil {
		return false
	}
	waiter <- err
	delete(h.waiters, event)
	return true
}

// command sends a command and waits for the event that confirms it.
func (h *hostProcess) command(ctx context.Context, c HostCommand, event agentEvent) error {
	waiter := make(chan error, 1)
	h.mu.Lock()
	h.waiters[event] = waiter
	h.mu.Unlock()
	if err := h.send(c); err != nil {
		return err
	}
	select {
	case err := <-waiter:
		return err
	case <-time.After(agentTimeout):
		return fmt.Errorf("%s: no event %q within %v", h.name, event, agentTimeout)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// send writes a command to the host's standard input.
func (h *hostProcess) send(c HostCommand) error {
	text, err := json.Marshal(c)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.err != nil {
		return h.err
	}
	_, err = h.stdin.Write(append(text, '\n'))
	return err
}

// recentReport returns a report that is not older than maxReportAge.
func (h *hostProcess) recentReport(ctx context.Context) (*HostReport, error) {
	h.reportMu.Lock()
	defer h.reportMu.Unlock()
	if h.lastReport != nil && time.Since(time.UnixMicro(h.lastReport.AtUs)) < maxReportAge {
		return h.lastReport, nil
	}
	return h.requestReport(ctx)
}

// report requests a new report and returns it.
func (h *hostProcess) report(ctx context.Context) (*HostReport, error) {
	h.reportMu.Lock()
	defer h.reportMu.Unlock()
	return h.requestReport(ctx)
}

// requestReport requests a report and waits for it. The caller must hold h.reportMu.
func (h *hostProcess) requestReport(ctx context.Context) (*HostReport, error) {
	select {
	case <-h.reports: // discard a report whose request timed out
	default:
	}
	if err := h.send(HostCommand{Command: commandReport}); err != nil {
		return nil, err
	}
	select {
	case h.lastReport = <-h.reports:
		return h.lastReport, nil
	case <-h.done:
		return nil, fmt.Errorf("%s has ended", h.name)
	case <-time.After(reportTimeout):
		return nil, fmt.Errorf("%s: no report within %v", h.name, reportTimeout)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// close ends the host and all of its agents.
func (h *hostProcess) close() {
	_ = h.stdin.Close() // fails only if the process has ended
	select {
	case <-h.done:
	case <-time.After(hostStopTimeout):
		_ = h.cmd.Process.Kill() // fails only if the process has ended
		<-h.done
	}
}
