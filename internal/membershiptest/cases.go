package membershiptest

import (
	"context"
	"fmt"
	"time"

	"fernbeam.example/fernbeam/internal/processtest"
)

// Scale says how long a case's faults last, which the cases sleep for, and how much time the cluster may take to
// converge. The keys are those of plans.
type Scale struct {
	ShortPartition time.Duration `toml:"cut"`
	LongPartition  time.Duration `toml:"long"`   // longer than every dead and reclaim timeout
	Pause          time.Duration `toml:"pause"`  // shorter than the suspicion
	FaultTime      time.Duration `toml:"faulty"` // of one-way cuts, overlapping partitions, starvation
	LossTime       time.Duration `toml:"loss"`   // of loss on every link
	ConvergeWithin time.Duration `toml:"within"`
}

// Case is one fault in a cluster.
type Case struct {
	Name string
	// StartsCluster tells that the case starts the processes itself; those of the others run and agree before.
	StartsCluster bool
	// EndsCluster tells that after a run the cluster is not complete for another case.
	EndsCluster bool
	run         caseFunc
}

// caseFunc injects a case's fault, ends it and waits until the cluster has converged.
type caseFunc func(ctx context.Context, h *Harness, scale Scale) (processtest.Metrics, error)

// Cases are the fault cases of the membership. Their names are part of plans and records.
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
	{Name: "drawn faults", run: drawnFaults},
	{Name: "seeds gone for good", EndsCluster: true, run: seedsGone},
}

// RunCase runs one case and checks it: the histories keep the rules, and all agree at the end.
func (h *Harness) RunCase(ctx context.Context, c Case, scale Scale) (processtest.Metrics, error) {
	if err := h.prepareCase(ctx, c, scale); err != nil {
		return nil, fmt.Errorf("before the case: %w", err)
	}
	h.cfg.Log("%s: begins", c.Name)
	defer h.Proxy.Clear() // also where the case fails
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

// prepareCase starts the cluster if the case does not, and waits until it agrees, whatever the case before left.
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

// StartConverged starts all processes and waits until they agree.
func (h *Harness) StartConverged(ctx context.Context, within time.Duration) error {
	if err := h.Start(ctx, h.Names...); err != nil {
		return err
	}
	_, err := h.AwaitConvergence(ctx, time.Now(), within)
	return err
}

// measureConvergence waits for agreement and returns the time it took as a metric.
func (h *Harness) measureConvergence(ctx context.Context, since time.Time, scale Scale) (processtest.Metrics, error) {
	took, err := h.AwaitConvergence(ctx, since, scale.ConvergeWithin)
	return processtest.Metrics{"settle ms": float64(took.Milliseconds())}, err
}

// measureFlaps waits for agreement and returns, beside the time it took, the suspicions since a time as metrics.
func (h *Harness) measureFlaps(ctx context.Context, since time.Time, scale Scale) (processtest.Metrics, error) {
	metrics, err := h.measureConvergence(ctx, time.Now(), scale)
	flaps := h.countFlaps(ctx, since)
	running := float64(len(h.Running()))
	metrics["doubts, most of a pair"] = float64(flaps.most)
	metrics["doubts a pair"] = float64(flaps.sum) / (running * (running - 1))
	return metrics, err
}
