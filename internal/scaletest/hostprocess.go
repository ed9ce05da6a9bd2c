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

// hostProcess is one process of hollow agents, as the runner holds it.
type hostProcess struct {
	name string
	cmd  *exec.Cmd
	done chan struct{} // closed at its end
	// heard is told what the host says of its agents.
	trackers trackers

	mu      sync.Mutex
	stdin   io.WriteCloser
	waiters map[string]chan error // by what is waited for, such as "started a017"
	reports chan *HostReport
	err     error // what the host said was wrong, or how its words ended

	reporting  sync.Mutex // held while a report is waited for
	lastReport *HostReport
}

// The longest times that a host may take: to start or end an agent, and to report on all. The
// machine is full, and an end in order takes its 3 s (agent.Run).
const (
	agentTimeout  = 30 * time.Second
	reportTimeout = 60 * time.Second
	// endTime is how long a host may take to end once its orders have.
	hostStopTimeout = 3 * time.Second
)

// startHost starts a host process by its command line, with its log in a directory.
func startHost(command []string, name, dir string, heard trackers) (*hostProcess, error) {
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	h := &hostProcess{name: name, done: make(chan struct{}), trackers: heard, waiters: map[string]chan error{}, reports: make(chan *HostReport, 1)}
	h.cmd = exec.Command(command[0], command[1:]...)
	h.cmd.Stderr = log
	// However the runner ends, no host stays: at its end their orders end, and the kernel kills them.
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if h.stdin, err = h.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := h.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := h.cmd.Start(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	go func() {
		h.readEvents(out)
		h.cmd.Wait()
		close(h.done)
	}()
	return h, nil
}

// listen takes the host's words until they end, and then ends all that waits for more.
func (h *hostProcess) readEvents(out io.Reader) {
	words := json.NewDecoder(out)
	for {
		var t HostEvent
		if err := words.Decode(&t); err != nil {
			h.fail(fmt.Errorf("%s says no more: %w", h.name, err))
			return
		}
		h.handleEvent(&t)
	}
}

func (h *hostProcess) handleEvent(t *HostEvent) {
	var err error
	if t.Err != "" {
		err = fmt.Errorf("%s: %s", h.name, t.Err)
	}
	switch {
	case t.Started != "":
		h.trackers.forEach(func(tr *tracker) { tr.started(t.Started) })
		h.resolve("started "+t.Started, nil)
	case t.Ended != "":
		h.trackers.forEach(func(tr *tracker) { tr.ended(t.Ended) })
		if !h.resolve("ended "+t.Ended, err) { // nobody ended it: it could not start
			h.resolve("started "+t.Ended, errors.Join(err, fmt.Errorf("%s: %s has ended", h.name, t.Ended)))
		}
	case t.InForce != nil:
		if kind := h.trackers[t.InForce.Kind]; kind != nil {
			kind.inForce(t.InForce.Agent, t.InForce.Version, time.UnixMicro(t.InForce.AtUs))
		}
	case t.Report != nil:
		select {
		case h.reports <- t.Report:
		default: // nobody waited for it any more
		}
	case err != nil:
		h.fail(err)
	}
}

// fail ends all that waits.
func (h *hostProcess) fail(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.err == nil {
		h.err = err
	}
	for what, wait := range h.waiters {
		wait <- err
		delete(h.waiters, what)
	}
}

// resolve ends a wait and tells whether there was one.
func (h *hostProcess) resolve(what string, err error) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	wait := h.waiters[what]
	if wait == nil {
		return false
	}
	wait <- err
	delete(h.waiters, what)
	return true
}

// do gives an order and waits until the host has said what is waited for.
func (h *hostProcess) command(ctx context.Context, o HostCommand, until string) error {
	wait := make(chan error, 1)
	h.mu.Lock()
	h.waiters[until] = wait
	h.mu.Unlock()
	if err := h.send(o); err != nil {
		return err
	}
	select {
	case err := <-wait:
		return err
	case <-time.After(agentTimeout):
		return fmt.Errorf("%s: %q not within %v", h.name, until, agentTimeout)
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (h *hostProcess) send(o HostCommand) error {
	text, err := json.Marshal(o)
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

// recentTime is how old a report may be that tells what agents had counted before their ends: where
// many end at once, one report is for all of them.
const maxReportAge = 200 * time.Millisecond

// recent is a report that is not older than recentTime.
func (h *hostProcess) recentReport(ctx context.Context) (*HostReport, error) {
	h.reporting.Lock()
	defer h.reporting.Unlock()
	if h.lastReport != nil && time.Since(time.UnixMicro(h.lastReport.AtUs)) < maxReportAge {
		return h.lastReport, nil
	}
	return h.requestReport(ctx)
}

// report asks for what the host has taken.
func (h *hostProcess) report(ctx context.Context) (*HostReport, error) {
	h.reporting.Lock()
	defer h.reporting.Unlock()
	return h.requestReport(ctx)
}

// ask asks for a report; the caller holds reporting.
func (h *hostProcess) requestReport(ctx context.Context) (*HostReport, error) {
	select {
	case <-h.reports: // one that came too late
	default:
	}
	if err := h.send(HostCommand{Command: "report"}); err != nil {
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

// close ends the host and all its agents.
func (h *hostProcess) close() {
	h.stdin.Close()
	select {
	case <-h.done:
	case <-time.After(hostStopTimeout):
		h.cmd.Process.Kill()
		<-h.done
	}
}
