package membershiptest

import (
	"context"
	"fmt"
	"time"

	"fernbeam.example/fernbeam/internal/processtest"
)

// Scale sets how long the faults of the cases last and how long the cluster may take to converge. The TOML keys are
// those of a plan.
type Scale struct {
	ShortPartition time.Duration `toml:"cut"`
	LongPartition  time.Duration `toml:"long"`   // longer than every dead and reclaim timeout
	Pause          time.Duration `toml:"pause"`  // shorter than the suspicion timeout
	FaultTime      time.Duration `toml:"faulty"` // for one-way cuts, overlapping partitions and starvation
	LossTime       time.Duration `toml:"loss"`   // for message loss on every link
	ConvergeWithin time.Duration `toml:"within"`
}

// Case is a fault case.
type Case struct {
	Name string
	// StartsCluster is true if the case starts the processes itself. Other cases need a running, converged cluster.
	StartsCluster bool
	// EndsCluster is true if the case leaves a cluster that is unusable for other cases.
	EndsCluster bool
	run         caseFunc
}

// caseFunc injects the faults of a case, ends them and waits until the cluster has converged.
type caseFunc func(ctx context.Context, h *Harness, scale Scale) (processtest.Metrics, error)

// Cases lists the fault cases of the membership. Plans and records contain their names.
var Cases = []Case{
	{Name: "start at once", StartsCluster: true, run: startTogether},
	{Name: "start without seeds", StartsCluster: true, run: startWithoutSeeds},
	{Name: "kill a tenth", run: killTenth},
	{Name: "restart at once", run: restartTogether},
	{Name: "two sides, short", run: shortPartition},
	{Name: "two sides, long", run: longPartition},
	{Name: "overlapping sides", run: overlappingPartitions},
	{Name: "one-way cuts", run: oneWayCuts},
	{Name: "pause a fifth", run: pauseFifth},
	{Name: "starve a tenth", run: starveTenth},
	{Name: "loss 5 %", run: lossOf(lightLoss)},
	{Name: "loss 20 %", run: lossOf(heavyLoss)},
	{Name: "rolling restart", run: rollingRestart},
	{Name: "upgrade side by side", run: upgradeSideBySide},
	{Name: "strangers on the port", run: forgedTraffic},
	{Name: "crash of all", run: crashAll},
	{Name: "churn in a partition", run: churnDuringPartition},
	{Name: "replayed packets", run: replayedPackets},
	{Name: "drawn faults", run: randomFaults},
	{Name: "seeds gone for good", EndsCluster: true, run: seedsGone},
}

// RunCase runs a case and checks that the cluster converges and that the histories have no violations.
func (h *Harness) RunCase(ctx context.Context, c Case, scale Scale) (processtest.Metrics, error) {
	if err := h.prepareCase(ctx, c, scale); err != nil {
		return nil, fmt.Errorf("preparing the case: %w", err)
	}
	h.cfg.Log("%s: started", c.Name)
	defer h.Proxy.Clear() // also clears the rules of a failed case
	metrics, err := c.run(ctx, h, scale)
	if err != nil {
		return metrics, fmt.Errorf("%s: %w", c.Name, err)
	}
	if violations := h.Check(ctx); len(violations) > 0 {
		err := &processtest.ViolationsError{Violations: violations, Timeline: h.timeline(violations[0].Subject)}
		return metrics, fmt.Errorf("%s: %w", c.Name, err)
	}
	h.cfg.Log("%s: %v", c.Name, metrics)
	return metrics, nil
}

// prepareCase starts the cluster unless it runs or the case starts it, and waits until a running cluster has converged.
func (h *Harness) prepareCase(ctx context.Context, c Case, scale Scale) error {
	if len(h.Running()) == 0 {
		if c.StartsCluster {
			return nil
		}
		if err := h.Start(ctx, h.Names...); err != nil {
			return err
		}
	}
	_, err := h.AwaitConvergence(ctx, time.Now(), scale.ConvergeWithin)
	return err
}

// StartConverged starts all processes and waits until the cluster has converged.
func (h *Harness) StartConverged(ctx context.Context, within time.Duration) error {
	if err := h.Start(ctx, h.Names...); err != nil {
		return err
	}
	_, err := h.AwaitConvergence(ctx, time.Now(), within)
	return err
}

// measureConvergence waits until the cluster has converged. It returns how long this took, counted from the given time,
// as a metric.
func (h *Harness) measureConvergence(ctx context.Context, since time.Time, scale Scale) (processtest.Metrics, error) {
	took, err := h.AwaitConvergence(ctx, since, scale.ConvergeWithin)
	return processtest.Metrics{"settle ms": float64(took.Milliseconds())}, err
}

// measureFlaps waits until the cluster has converged. It returns the time this took and, as metrics for flapping, the
// suspicions of running members since the given time.
func (h *Harness) measureFlaps(ctx context.Context, since time.Time, scale Scale) (processtest.Metrics, error) {
	metrics, err := h.measureConvergence(ctx, time.Now(), scale)
	flaps := h.countFlaps(ctx, since)
	running := float64(len(h.Running()))
	metrics["doubts, most of a pair"] = float64(flaps.maxPerPair)
	metrics["doubts a pair"] = float64(flaps.total) / (running * (running - 1))
	return metrics, err
}
