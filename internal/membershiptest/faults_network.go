package membershiptest

import (
	"context"
	"slices"
	"time"

	"fernbeam.example/fernbeam/internal/faultproxy"
	"fernbeam.example/fernbeam/internal/processtest"
)

const (
	// partitionName names the one partition of a case.
	partitionName = "case"
	// lightLoss and heavyLoss are the fractions of messages that the cases of loss lose.
	lightLoss = 0.05
	heavyLoss = 0.20
	// lossJitter is the jitter of messages under loss, and their duplicated and reordered fractions are lossShare of
	// the lost one.
	lossJitter = 2 * time.Millisecond
	lossShare  = 1.0 / 5
	// replayedFraction is the fraction of packets that come once more, replayRestarts the number of restarts meanwhile.
	replayedFraction = 0.3
	replayRestarts   = 4
	// cutOnePairIn is of how many pairs one has a direction cut.
	cutOnePairIn = 3
	// churnPauses is the number of pauses between two restarts that a short partition has.
	churnPauses = 4
)

// twoSides are the running processes in two parts, the first with two fifths of them.
func (h *Harness) twoSides() (first, second []string) {
	const firstFifths, allFifths = 2, 5
	running := h.Running()
	end := len(running) * firstFifths / allFifths
	return running[:end], running[end:]
}

// duringPartition partitions groups while something is done, and exempts deaths between them until a while after.
func (h *Harness) duringPartition(scale Scale, do func() error, groups ...[]string) (healedAt time.Time, err error) {
	cutAt := time.Now()
	h.Proxy.Partition(partitionName, groups...)
	err = do()
	h.Proxy.Heal(partitionName)
	healedAt = time.Now()
	h.exemptions.Add(processtest.Exemption{
		From:    cutAt,
		To:      healedAt.Add(scale.ConvergeWithin),
		Applies: faultproxy.NewPartition(groups...).Separates,
	})
	return healedAt, err
}

// measureHealing partitions groups while something is done, and measures the convergence after the partition.
func (h *Harness) measureHealing(
	ctx context.Context, scale Scale, do func() error, groups ...[]string,
) (processtest.Metrics, error) {
	healedAt, err := h.duringPartition(scale, do, groups...)
	if err != nil {
		return nil, err
	}
	return h.measureConvergence(ctx, healedAt, scale)
}

func shortPartition(ctx context.Context, h *Harness, scale Scale) (processtest.Metrics, error) {
	return h.partition(ctx, scale.ShortPartition, scale)
}

func longPartition(ctx context.Context, h *Harness, scale Scale) (processtest.Metrics, error) {
	return h.partition(ctx, scale.LongPartition, scale)
}

// partition partitions two sides for a time.
func (h *Harness) partition(ctx context.Context, d time.Duration, scale Scale) (processtest.Metrics, error) {
	first, second := h.twoSides()
	wait := func() error {
		time.Sleep(d)
		return nil
	}
	return h.measureHealing(ctx, scale, wait, first, second)
}

// overlappingPartitions lets A reach B and B reach C, but A not C. As B relays gossip nobody may be declared dead, so
// there is no exemption.
func overlappingPartitions(ctx context.Context, h *Harness, scale Scale) (processtest.Metrics, error) {
	const parts = 3
	running := h.Running()
	third := len(running) / parts
	cutAt := time.Now()
	h.Proxy.Partition(partitionName, running[:third], running[2*third:])
	time.Sleep(scale.FaultTime)
	h.Proxy.Heal(partitionName)
	return h.measureFlaps(ctx, cutAt, scale)
}

// oneWayCuts cuts one direction of a third of all pairs.
func oneWayCuts(ctx context.Context, h *Harness, scale Scale) (processtest.Metrics, error) {
	cutAt := time.Now()
	running := h.Running()
	for i, from := range running {
		for _, to := range running[i+1:] {
			if h.random.IntN(cutOnePairIn) != 0 {
				continue
			}
			if h.drawBool() {
				h.Proxy.Set(to, from, faultproxy.Rule{Cut: true})
			} else {
				h.Proxy.Set(from, to, faultproxy.Rule{Cut: true})
			}
		}
	}
	time.Sleep(scale.FaultTime)
	h.Proxy.Clear()
	return h.measureFlaps(ctx, cutAt, scale)
}

// lossOf is the case of a fraction of messages lost on all links.
func lossOf(fraction float64) caseFunc {
	return func(ctx context.Context, h *Harness, scale Scale) (processtest.Metrics, error) {
		lossAt := time.Now()
		h.Proxy.SetAll(faultproxy.Rule{
			Loss:      fraction,
			Jitter:    lossJitter,
			Duplicate: fraction * lossShare,
			Reorder:   fraction * lossShare,
		})
		time.Sleep(scale.LossTime)
		h.Proxy.Clear()
		return h.measureFlaps(ctx, lossAt, scale)
	}
}

// churnDuringPartition kills and starts processes on both sides of a partition.
func churnDuringPartition(ctx context.Context, h *Harness, scale Scale) (processtest.Metrics, error) {
	first, second := h.twoSides()
	churn := func() error {
		for end := time.Now().Add(scale.LongPartition); time.Now().Before(end); {
			for _, side := range [][]string{first, second} {
				if err := h.restartKilled(ctx, side[h.random.IntN(len(side))]); err != nil {
					return err
				}
			}
			time.Sleep(scale.ShortPartition / churnPauses)
		}
		return nil
	}
	return h.measureHealing(ctx, scale, churn, first, second)
}

// replayedPackets replays a fraction of all packets later, while processes are killed, leave and restart: messages by
// and about replaced processes reach their successors and all others.
func replayedPackets(ctx context.Context, h *Harness, scale Scale) (processtest.Metrics, error) {
	h.Proxy.SetAll(faultproxy.Rule{Replay: replayedFraction, MaxReplayDelay: scale.FaultTime})
	for i := range replayRestarts {
		restart := h.restartKilled
		if i%2 == 1 {
			restart = h.restartGracefully
		}
		if err := restart(ctx, h.RandomRunning(killedFraction)...); err != nil {
			return nil, err
		}
		time.Sleep(scale.FaultTime / replayRestarts)
	}
	metrics, err := h.measureConvergence(ctx, time.Now(), scale) // while old packets still come
	if err != nil {
		return metrics, err
	}
	time.Sleep(scale.FaultTime)
	h.Proxy.Clear()
	_, err = h.AwaitConvergence(ctx, time.Now(), scale.ConvergeWithin)
	return metrics, err
}

// drawnAction is what is done to processes in a step of drawn faults.
type drawnAction int

// The actions to draw from.
const (
	actionKill drawnAction = iota
	actionTerm
	actionPause
	actionStarve
	actionWait // nothing is done to them

	drawnActions // their number
)

// The numbers of drawn faults, which are fractions where no unit is named.
const (
	drawnSteps = 4
	// The processes that a step is about are a fraction of all, from the least up.
	minDrawnProcesses   = 0.02
	drawnProcessesRange = 0.13
	// The bounds of the bad links.
	maxDrawnLoss      = 0.05
	maxDrawnJitterMs  = 10
	maxDrawnDuplicate = 0.1
	maxDrawnReorder   = 0.1
	maxDrawnReplay    = 0.1
)

// drawBool draws whether something is done that is done as often as not.
func (h *Harness) drawBool() bool {
	const outcomes = 2
	return h.random.IntN(outcomes) == 0
}

// drawnFaults injects a schedule that is drawn from the seed: in each step bad links for all, a partition in one of
// two, and meanwhile processes that are killed, leave, pause or starve.
func drawnFaults(ctx context.Context, h *Harness, scale Scale) (processtest.Metrics, error) {
	var healedAt time.Time
	for step := range drawnSteps {
		rule := h.drawRule(scale)
		names := h.RandomRunning(minDrawnProcesses + drawnProcessesRange*h.random.Float64())
		action := drawnAction(h.random.IntN(int(drawnActions)))
		groups := h.drawGroups()
		h.cfg.Log("drawn step %d: action %d on %d processes, %d groups, %+v", step, action, len(names), len(groups), rule)
		h.Proxy.SetAll(rule)
		var err error
		act := func() error { return h.act(ctx, action, names, scale) }
		if healedAt, err = h.duringPartition(scale, act, groups...); err != nil {
			return nil, err
		}
	}
	h.Proxy.Clear()
	return h.measureConvergence(ctx, healedAt, scale)
}

// drawRule draws bad links.
func (h *Harness) drawRule(scale Scale) faultproxy.Rule {
	return faultproxy.Rule{
		Loss:           maxDrawnLoss * h.random.Float64(),
		Jitter:         time.Duration(h.random.IntN(maxDrawnJitterMs)) * time.Millisecond,
		Duplicate:      maxDrawnDuplicate * h.random.Float64(),
		Reorder:        maxDrawnReorder * h.random.Float64(),
		Replay:         maxDrawnReplay * h.random.Float64(),
		MaxReplayDelay: scale.ShortPartition,
	}
}

// act does one of the drawn actions to processes.
func (h *Harness) act(ctx context.Context, action drawnAction, names []string, scale Scale) error {
	switch action {
	case actionKill:
		return h.restartKilled(ctx, names...)
	case actionTerm:
		return h.restartGracefully(ctx, names...)
	case actionPause:
		return h.processes.PauseFor(scale.Pause, names...)
	case actionStarve:
		return h.processes.Starve(scale.ShortPartition, names...)
	default:
		time.Sleep(scale.ShortPartition)
		return nil
	}
}

// drawGroups draws a partition in two or three groups, or none.
func (h *Harness) drawGroups() [][]string {
	const minGroups, maxGroups = 2, 3
	if !h.drawBool() {
		return nil
	}
	running := h.Running()
	h.random.Shuffle(len(running), func(i, j int) { running[i], running[j] = running[j], running[i] })
	groups := minGroups + h.random.IntN(maxGroups-minGroups+1)
	size := len(running)/groups + 1
	return slices.Collect(slices.Chunk(running, size))
}
