package membershiptest

import (
	"context"
	"math"
	"time"

	"fernbeam.example/fernbeam/internal/membership"
	"fernbeam.example/fernbeam/internal/processtest"
)

const (
	// startTimeout bounds the time until a started process responds.
	startTimeout = time.Minute
	// noChanges is a snapshot number that no snapshot reaches; a status has no changes after it.
	noChanges = math.MaxInt64
)

// Start starts processes concurrently and waits until each has reported its identity. It does not wait for agents
// without a membership.
func (h *Harness) Start(ctx context.Context, names ...string) error {
	if err := processtest.Each(names, h.processes.Start); err != nil {
		return err
	}
	return processtest.Each(names, func(name string) error {
		if h.isWithoutMembership(name) {
			return nil
		}
		return h.recordStart(ctx, name)
	})
}

// recordStart waits until a process responds, and adds its identity to the history.
func (h *Harness) recordStart(ctx context.Context, name string) error {
	var status *membership.Status
	err := processtest.Await(startTimeout, name+"'s status", func() bool {
		status, _ = h.Status(ctx, name, noChanges) // retried until the process responds
		return status != nil
	})
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	key := incarnationKey{processName: name, number: len(h.processes.Incarnations(name)) - 1}
	h.identities[key] = identity{agent: status.Self, process: status.Process}
	h.records[status.Process] = &Record{Observer: status.Self, Process: status.Process}
	return nil
}

// Kill collects the changes that processes saw and then sends them SIGKILL concurrently.
func (h *Harness) Kill(ctx context.Context, names ...string) error {
	h.collectChanges(ctx, names)
	return processtest.Each(names, h.processes.Kill)
}

// Term collects the changes that processes saw, sends them SIGTERM and waits until they have ended.
func (h *Harness) Term(ctx context.Context, names ...string) error {
	h.collectChanges(ctx, names)
	return processtest.Each(names, h.processes.Term)
}

// Running returns the names of the running processes.
func (h *Harness) Running() []string {
	var running []string
	for _, name := range h.Names {
		for _, process := range []string{name, UpgradeName(name)} {
			if h.processes.Running(process) {
				running = append(running, process)
			}
		}
	}
	return running
}

// RandomRunning returns a random selection of the running processes: the given fraction of them, but at least one. It
// leaves out the seeds, unless all agents are seeds.
func (h *Harness) RandomRunning(fraction float64) []string {
	running := h.Running()
	wanted := max(1, int(fraction*float64(len(running))))
	allAreSeeds := h.cfg.Seeds == len(h.Names)
	var selected []string
	for _, i := range h.random.Perm(len(running)) {
		if allAreSeeds || running[i] >= h.Names[h.cfg.Seeds] {
			selected = append(selected, running[i])
		}
		if len(selected) >= wanted {
			break
		}
	}
	return selected
}
