package membershiptest

import (
	"context"
	"math"
	"time"

	"fernbeam.example/fernbeam/internal/membership"
	"fernbeam.example/fernbeam/internal/processtest"
)

const (
	// startTimeout bounds how long a process may take until it answers.
	startTimeout = time.Minute
	// noChanges selects the changes after a number that no snapshot has.
	noChanges = math.MaxInt64
)

// Start starts processes at once and waits until each has answered with its identity.
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

// recordStart waits until a process answers, and adds its identity to the history.
func (h *Harness) recordStart(ctx context.Context, name string) error {
	var status *membership.Status
	err := processtest.Await(startTimeout, name+" answers", func() bool {
		status, _ = h.Status(ctx, name, noChanges) // until it answers
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

// Kill sends SIGKILL to processes at once, after it has collected what they saw.
func (h *Harness) Kill(ctx context.Context, names ...string) error {
	h.collectChanges(ctx, names)
	return processtest.Each(names, h.processes.Kill)
}

// Term sends SIGTERM to processes and waits for their ends.
func (h *Harness) Term(ctx context.Context, names ...string) error {
	h.collectChanges(ctx, names)
	return processtest.Each(names, h.processes.Term)
}

// Running are the names of the processes that run.
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

// RandomRunning draws a fraction of the running processes that are no seeds, one at least.
func (h *Harness) RandomRunning(fraction float64) []string {
	running := h.Running()
	wanted := max(1, int(fraction*float64(len(running))))
	allAreSeeds := h.cfg.Seeds == len(h.Names)
	var drawn []string
	for _, i := range h.random.Perm(len(running)) {
		if allAreSeeds || running[i] >= h.Names[h.cfg.Seeds] {
			drawn = append(drawn, running[i])
		}
		if len(drawn) >= wanted {
			break
		}
	}
	return drawn
}
