package membershiptest

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"fernbeam.example/fernbeam/internal/processtest"
)

// The fractions of the running processes that the cases use.
const (
	killedFraction    = 0.1
	restartedFraction = 0.15
	pausedFraction    = 0.2
	starvedFraction   = 0.1
	// oneProcess draws the least: one process.
	oneProcess = 0
	// rollingParts and crashParts are the parts in which all processes restart.
	rollingParts = 10
	crashParts   = 5
)

// startTogether starts all processes at once.
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

// startWithoutSeeds starts the seeds last: the others serve alone and join when a seed comes.
func startWithoutSeeds(ctx context.Context, h *Harness, scale Scale) (processtest.Metrics, error) {
	if err := h.Kill(ctx, h.Running()...); err != nil {
		return nil, err
	}
	seeds, others := h.Names[:h.cfg.Seeds], h.Names[h.cfg.Seeds:]
	if err := h.Start(ctx, others...); err != nil {
		return nil, err
	}
	err := processtest.Await(scale.ConvergeWithin, "each sees itself alone", func() bool {
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

// killTenth kills a tenth of the processes and measures how soon the others detect that.
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
		return metrics, fmt.Errorf("%d of %d deaths not seen", found.missed, found.missed+len(found.times))
	}
	return metrics, h.Start(ctx, killed...)
}

// restartTogether kills processes and starts them again under the same names and addresses.
func restartTogether(ctx context.Context, h *Harness, scale Scale) (processtest.Metrics, error) {
	drawn := h.RandomRunning(restartedFraction)
	killedAt := time.Now()
	if err := h.restartKilled(ctx, drawn...); err != nil {
		return nil, err
	}
	return h.measureConvergence(ctx, killedAt, scale)
}

// restartKilled kills processes and starts them again.
func (h *Harness) restartKilled(ctx context.Context, names ...string) error {
	return processtest.Each(names, func(name string) error { return errors.Join(h.Kill(ctx, name), h.Start(ctx, name)) })
}

// restartGracefully ends processes by SIGTERM and starts them again.
func (h *Harness) restartGracefully(ctx context.Context, names ...string) error {
	return processtest.Each(names, func(name string) error { return errors.Join(h.Term(ctx, name), h.Start(ctx, name)) })
}

// pauseFifth pauses a fifth of the processes for less than a suspicion lasts.
func pauseFifth(ctx context.Context, h *Harness, scale Scale) (processtest.Metrics, error) {
	if err := h.processes.PauseFor(scale.Pause, h.RandomRunning(pausedFraction)...); err != nil {
		return nil, err
	}
	return h.measureConvergence(ctx, time.Now(), scale)
}

// starveTenth gives a tenth of the processes a tenth of the time: they stay alive in all snapshots, and suspect nobody
// for long.
func starveTenth(ctx context.Context, h *Harness, scale Scale) (processtest.Metrics, error) {
	starvedAt := time.Now()
	if err := h.processes.Starve(scale.FaultTime, h.RandomRunning(starvedFraction)...); err != nil {
		return nil, err
	}
	return h.measureFlaps(ctx, starvedAt, scale)
}

// rollingRestart restarts all processes by SIGTERM, a tenth at a time.
func rollingRestart(ctx context.Context, h *Harness, scale Scale) (processtest.Metrics, error) {
	running := h.Running()
	for part := range slices.Chunk(running, max(1, len(running)/rollingParts)) {
		if err := h.restartGracefully(ctx, part...); err != nil {
			return nil, err
		}
	}
	return h.measureConvergence(ctx, time.Now(), scale)
}

// upgradeSideBySide runs a second process of an agent beside the first: it is no member until the first has ended, and
// then replaces it.
func upgradeSideBySide(ctx context.Context, h *Harness, scale Scale) (processtest.Metrics, error) {
	old := h.RandomRunning(oneProcess)[0]
	upgrade := UpgradeName(old)
	if err := h.Start(ctx, upgrade); err != nil {
		return nil, err
	}
	if err := h.checkTakesPart(ctx, upgrade, false); err != nil {
		return nil, fmt.Errorf("beside the first process: %w", err)
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
		return metrics, fmt.Errorf("after the first process: %w", err)
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

// crashAll kills all processes at once and starts them in a random order.
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

// seedsGone kills every seed for good; the others continue, and find a process that restarts without any seed.
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
