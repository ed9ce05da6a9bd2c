package membershiptest

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"fernbeam.example/fernbeam/internal/processtest"
)

const (
	// The fractions of the running processes that the cases kill, restart, pause or starve.
	killedFraction    = 0.1
	restartedFraction = 0.15
	pausedFraction    = 0.2
	starvedFraction   = 0.1
	// oneProcess is a fraction for which RandomRunning selects its minimum, one process.
	oneProcess = 0
	// rollingParts and crashParts are the numbers of parts in which rollingRestart and crashAll start the processes.
	rollingParts = 10
	crashParts   = 5
)

// startTogether starts all processes concurrently.
func startTogether(ctx context.Context, h *Harness, scale Scale) (processtest.Metrics, error) {
	if err := h.Kill(ctx, h.Running()...); err != nil {
		return nil, err
	}
	startedAt := time.Now()
	if err := h.Start(ctx, h.Names...); err != nil {
		return nil, err
	}
	return h.measureConvergence(ctx, startedAt, scale)
}

// startWithoutSeeds starts the seeds last. Until then each of the other processes must see only itself; they must join
// once a seed runs.
func startWithoutSeeds(ctx context.Context, h *Harness, scale Scale) (processtest.Metrics, error) {
	if err := h.Kill(ctx, h.Running()...); err != nil {
		return nil, err
	}
	seeds, others := h.Names[:h.cfg.Seeds], h.Names[h.cfg.Seeds:]
	if err := h.Start(ctx, others...); err != nil {
		return nil, err
	}
	err := processtest.Await(scale.ConvergeWithin, "snapshots in which each process sees only itself", func() bool {
		collected := h.collectChanges(ctx, h.Running())
		for _, status := range collected {
			if status.Present != 1 || status.Quorate {
				return false
			}
		}
		return len(collected) == len(others)
	})
	if err != nil {
		return nil, err
	}
	startedAt := time.Now()
	if err := h.Start(ctx, seeds...); err != nil {
		return nil, err
	}
	return h.measureConvergence(ctx, startedAt, scale)
}

// killTenth kills a tenth of the processes and measures how long the others take to detect their deaths.
func killTenth(ctx context.Context, h *Harness, scale Scale) (processtest.Metrics, error) {
	killed := h.RandomRunning(killedFraction)
	killedAt := time.Now()
	if err := h.Kill(ctx, killed...); err != nil {
		return nil, err
	}
	metrics, err := h.measureConvergence(ctx, killedAt, scale)
	if err != nil {
		return metrics, err
	}
	found := h.detectionsSince(ctx, killedAt)
	metrics["detect p50 ms"] = float64(processtest.Quantile(found.times, processtest.Median).Milliseconds())
	metrics["detect p99 ms"] = float64(processtest.Quantile(found.times, processtest.Percentile99).Milliseconds())
	if found.missed > 0 {
		return metrics, fmt.Errorf("%d of %d deaths not detected", found.missed, found.missed+len(found.times))
	}
	return metrics, h.Start(ctx, killed...)
}

// restartTogether concurrently kills processes and starts them again with the same names and addresses.
func restartTogether(ctx context.Context, h *Harness, scale Scale) (processtest.Metrics, error) {
	restarted := h.RandomRunning(restartedFraction)
	killedAt := time.Now()
	if err := h.restartKilled(ctx, restarted...); err != nil {
		return nil, err
	}
	return h.measureConvergence(ctx, killedAt, scale)
}

// restartKilled kills processes and starts them again.
func (h *Harness) restartKilled(ctx context.Context, names ...string) error {
	return processtest.Each(names, func(name string) error { return errors.Join(h.Kill(ctx, name), h.Start(ctx, name)) })
}

// restartGracefully stops processes with SIGTERM and starts them again.
func (h *Harness) restartGracefully(ctx context.Context, names ...string) error {
	return processtest.Each(names, func(name string) error { return errors.Join(h.Term(ctx, name), h.Start(ctx, name)) })
}

// pauseFifth pauses a fifth of the processes for less than the suspicion timeout.
func pauseFifth(ctx context.Context, h *Harness, scale Scale) (processtest.Metrics, error) {
	if err := h.processes.PauseFor(scale.Pause, h.RandomRunning(pausedFraction)...); err != nil {
		return nil, err
	}
	return h.measureConvergence(ctx, time.Now(), scale)
}

// starveTenth lets a tenth of the processes run for only a tenth of the time. They must not be declared dead, and must
// not suspect other members for long.
func starveTenth(ctx context.Context, h *Harness, scale Scale) (processtest.Metrics, error) {
	starvedAt := time.Now()
	if err := h.processes.Starve(scale.FaultTime, h.RandomRunning(starvedFraction)...); err != nil {
		return nil, err
	}
	return h.measureFlaps(ctx, starvedAt, scale)
}

// rollingRestart gracefully restarts all processes, a tenth at a time.
func rollingRestart(ctx context.Context, h *Harness, scale Scale) (processtest.Metrics, error) {
	running := h.Running()
	for part := range slices.Chunk(running, max(1, len(running)/rollingParts)) {
		if err := h.restartGracefully(ctx, part...); err != nil {
			return nil, err
		}
	}
	return h.measureConvergence(ctx, time.Now(), scale)
}

// upgradeSideBySide runs a second process of an agent beside the first. The second process must not become a member
// until the first has ended, and must then replace it.
func upgradeSideBySide(ctx context.Context, h *Harness, scale Scale) (processtest.Metrics, error) {
	old := h.RandomRunning(oneProcess)[0]
	upgrade := UpgradeName(old)
	if err := h.Start(ctx, upgrade); err != nil {
		return nil, err
	}
	if err := h.checkTakesPart(ctx, upgrade, false); err != nil {
		return nil, fmt.Errorf("while the first process runs: %w", err)
	}
	if _, err := h.AwaitConvergence(ctx, time.Now(), scale.ConvergeWithin); err != nil {
		return nil, err
	}
	endedAt := time.Now()
	if err := h.Term(ctx, old); err != nil {
		return nil, err
	}
	metrics, err := h.measureConvergence(ctx, endedAt, scale)
	if err != nil {
		return metrics, err
	}
	if err := h.checkTakesPart(ctx, upgrade, true); err != nil {
		return metrics, fmt.Errorf("after the end of the first process: %w", err)
	}
	if err := h.Term(ctx, upgrade); err != nil {
		return metrics, err
	}
	return metrics, h.Start(ctx, old)
}

// checkTakesPart checks whether a process takes part in the membership.
func (h *Harness) checkTakesPart(ctx context.Context, name string, want bool) error {
	status, err := h.Status(ctx, name, 0)
	if err != nil {
		return err
	}
	if status.Member != want {
		return fmt.Errorf("%s takes part: %v, want %v", name, status.Member, want)
	}
	return nil
}

// crashAll kills all processes concurrently and starts them in parts, in a random order.
func crashAll(ctx context.Context, h *Harness, scale Scale) (processtest.Metrics, error) {
	if err := h.Kill(ctx, h.Running()...); err != nil {
		return nil, err
	}
	order := slices.Clone(h.Names)
	h.random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	for part := range slices.Chunk(order, max(1, len(order)/crashParts)) {
		if err := h.Start(ctx, part...); err != nil {
			return nil, err
		}
	}
	return h.measureConvergence(ctx, time.Now(), scale)
}

// seedsGone kills all seeds for good. The other processes must continue without them, and must find a process that
// restarts.
func seedsGone(ctx context.Context, h *Harness, scale Scale) (processtest.Metrics, error) {
	killedAt := time.Now()
	if err := h.Kill(ctx, h.Names[:h.cfg.Seeds]...); err != nil {
		return nil, err
	}
	metrics, err := h.measureConvergence(ctx, killedAt, scale)
	if err != nil {
		return metrics, err
	}
	restarted := h.RandomRunning(oneProcess)
	if err := h.Kill(ctx, restarted...); err != nil {
		return metrics, err
	}
	startedAt := time.Now()
	if err := h.Start(ctx, restarted...); err != nil {
		return metrics, err
	}
	took, err := h.AwaitConvergence(ctx, startedAt, scale.ConvergeWithin)
	metrics["found again ms"] = float64(took.Milliseconds())
	return metrics, err
}
