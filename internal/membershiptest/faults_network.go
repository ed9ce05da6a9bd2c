package membershiptest

import (
	"context"
	"slices"
	"time"

	"fernbeam.example/fernbeam/internal/faultproxy"
	"fernbeam.example/fernbeam/internal/processtest"
)

const (
	// partitionName is the name of a case's partition in the proxy.
	partitionName = "case"
	// lightLoss and heavyLoss are the loss rates of the loss cases.
	lightLoss = 0.05
	heavyLoss = 0.20
	// lossJitter is the jitter in the loss cases.
	lossJitter = 2 * time.Millisecond
	// disorderPerLoss is the ratio of the rates of duplicated and of reordered messages to the loss rate.
	disorderPerLoss = 1.0 / 5
	// replayedFraction is the fraction of packets that are replayed.
	replayedFraction = 0.3
	// replayRestarts is the number of restarts while packets are replayed.
	replayRestarts = 4
	// oneWayCuts selects, on average, one in pairsPerCut pairs of processes.
	pairsPerCut = 3
	// pausesPerShortPartition is the number of pauses between restarts that together last Scale.ShortPartition.
	pausesPerShortPartition = 4
)

// twoSides splits the running processes into two parts, the first with two fifths of them.
func (h *Harness) twoSides() (first, second []string) {
	const firstFifths, allFifths = 2, 5
	running := h.Running()
	end := len(running) * firstFifths / allFifths
	return running[:end], running[end:]
}

// duringPartition calls do while the groups are partitioned. It records an exemption for processes that declare
// processes of other groups dead. The exemption ends when the cluster must have converged after the partition.
func (h *Harness) duringPartition(scale Scale, do func() error, groups ...[]string) (healedAt time.Time, err error) {
	partitionedAt := time.Now()
	h.Proxy.Partition(partitionName, groups...)
	err = do()
	h.Proxy.Heal(partitionName)
	healedAt = time.Now()
	h.exemptions.Add(processtest.Exemption{
		From:    partitionedAt,
		To:      healedAt.Add(scale.ConvergeWithin),
		Applies: faultproxy.NewPartition(groups...).Separates,
	})
	return healedAt, err
}

// measureHealing calls do while the groups are partitioned, and measures the convergence after the partition heals.
func (h *Harness) measureHealing(
	ctx context.Context, scale Scale, do func() error, groups ...[]string,
) (processtest.Metrics, error) {
	healedAt, err := h.duringPartition(scale, do, groups...)
	if err != nil {
		return nil, err
	}
	return h.measureConvergence(ctx, healedAt, scale)
}

// shortPartition partitions two sides for Scale.ShortPartition.
func shortPartition(ctx context.Context, h *Harness, scale Scale) (processtest.Metrics, error) {
	return h.partition(ctx, scale.ShortPartition, scale)
}

// longPartition partitions two sides for Scale.LongPartition, which exceeds every dead and reclaim timeout.
func longPartition(ctx context.Context, h *Harness, scale Scale) (processtest.Metrics, error) {
	return h.partition(ctx, scale.LongPartition, scale)
}

// partition partitions two sides for the given time and measures the convergence after it.
func (h *Harness) partition(ctx context.Context, d time.Duration, scale Scale) (processtest.Metrics, error) {
	first, second := h.twoSides()
	wait := func() error {
		time.Sleep(d)
		return nil
	}
	return h.measureHealing(ctx, scale, wait, first, second)
}

// overlappingPartitions separates two thirds of the processes, A and C, while both still reach the remaining third, B.
// No process may be declared dead, because B relays gossip between A and C, so there is no exemption.
func overlappingPartitions(ctx context.Context, h *Harness, scale Scale) (processtest.Metrics, error) {
	const parts = 3
	running := h.Running()
	third := len(running) / parts
	partitionedAt := time.Now()
	h.Proxy.Partition(partitionName, running[:third], running[2*third:])
	time.Sleep(scale.FaultTime)
	h.Proxy.Heal(partitionName)
	return h.measureFlaps(ctx, partitionedAt, scale)
}

// oneWayCuts selects about a third of all pairs of processes and blocks the traffic of each pair in one direction.
func oneWayCuts(ctx context.Context, h *Harness, scale Scale) (processtest.Metrics, error) {
	cutAt := time.Now()
	running := h.Running()
	for i, from := range running {
		for _, to := range running[i+1:] {
			if h.random.IntN(pairsPerCut) != 0 {
				continue
			}
			if h.randomBool() {
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

// lossOf returns a case that loses the given fraction of messages on all links.
func lossOf(fraction float64) caseFunc {
	return func(ctx context.Context, h *Harness, scale Scale) (processtest.Metrics, error) {
		lossAt := time.Now()
		h.Proxy.SetAll(faultproxy.Rule{
			Loss:      fraction,
			Jitter:    lossJitter,
			Duplicate: fraction * disorderPerLoss,
			Reorder:   fraction * disorderPerLoss,
		})
		time.Sleep(scale.LossTime)
		h.Proxy.Clear()
		return h.measureFlaps(ctx, lossAt, scale)
	}
}

// churnDuringPartition kills and restarts processes on both sides of a partition.
func churnDuringPartition(ctx context.Context, h *Harness, scale Scale) (processtest.Metrics, error) {
	first, second := h.twoSides()
	churn := func() error {
		for end := time.Now().Add(scale.LongPartition); time.Now().Before(end); {
			for _, side := range [][]string{first, second} {
				if err := h.restartKilled(ctx, side[h.random.IntN(len(side))]); err != nil {
					return err
				}
			}
			time.Sleep(scale.ShortPartition / pausesPerShortPartition)
		}
		return nil
	}
	return h.measureHealing(ctx, scale, churn, first, second)
}

// replayedPackets replays a fraction of all packets after a delay, while processes are killed, leave and restart. As a
// result, old messages from and about replaced processes reach their successors and all other processes.
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
	metrics, err := h.measureConvergence(ctx, time.Now(), scale) // while old packets still arrive
	if err != nil {
		return metrics, err
	}
	time.Sleep(scale.FaultTime)
	h.Proxy.Clear()
	_, err = h.AwaitConvergence(ctx, time.Now(), scale.ConvergeWithin)
	return metrics, err
}

// randomAction is an action on processes in a step of randomFaults.
type randomAction int

// The actions that randomFaults chooses from.
const (
	actionKill randomAction = iota
	actionTerm
	actionPause
	actionStarve
	actionWait // no action on the processes

	actionCount // number of actions
)

// The parameters of randomFaults. Loss, duplicates, reordering and replays are fractions of all messages.
const (
	randomSteps = 4
	// The fraction of the running processes that a step acts on is minProcessFraction plus up to processFractionRange.
	minProcessFraction   = 0.02
	processFractionRange = 0.13
	// Upper bounds of the link faults.
	maxRandomLoss      = 0.05
	maxRandomJitterMs  = 10
	maxRandomDuplicate = 0.1
	maxRandomReorder   = 0.1
	maxRandomReplay    = 0.1
)

// randomBool returns true or false with equal probability.
func (h *Harness) randomBool() bool {
	const outcomes = 2
	return h.random.IntN(outcomes) == 0
}

// randomFaults injects a random schedule of faults, which the seed determines. Each step has faults on all links and,
// with a probability of one half, a partition. Meanwhile processes are killed, leave, pause or starve.
func randomFaults(ctx context.Context, h *Harness, scale Scale) (processtest.Metrics, error) {
	var healedAt time.Time
	for step := range randomSteps {
		rule := h.randomRule(scale)
		names := h.RandomRunning(minProcessFraction + processFractionRange*h.random.Float64())
		action := randomAction(h.random.IntN(int(actionCount)))
		groups := h.randomGroups()
		h.cfg.Log("random step %d: action %d on %d processes, %d groups, %+v", step, action, len(names), len(groups), rule)
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

// randomRule returns a rule with random link faults.
func (h *Harness) randomRule(scale Scale) faultproxy.Rule {
	return faultproxy.Rule{
		Loss:           maxRandomLoss * h.random.Float64(),
		Jitter:         time.Duration(h.random.IntN(maxRandomJitterMs)) * time.Millisecond,
		Duplicate:      maxRandomDuplicate * h.random.Float64(),
		Reorder:        maxRandomReorder * h.random.Float64(),
		Replay:         maxRandomReplay * h.random.Float64(),
		MaxReplayDelay: scale.ShortPartition,
	}
}

// act applies an action to processes.
func (h *Harness) act(ctx context.Context, action randomAction, names []string, scale Scale) error {
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

// randomGroups randomly divides the running processes into two or three groups for a partition. It returns nil for no
// partition.
func (h *Harness) randomGroups() [][]string {
	const minGroups, maxGroups = 2, 3
	if !h.randomBool() {
		return nil
	}
	running := h.Running()
	h.random.Shuffle(len(running), func(i, j int) { running[i], running[j] = running[j], running[i] })
	groups := minGroups + h.random.IntN(maxGroups-minGroups+1)
	size := len(running)/groups + 1
	return slices.Collect(slices.Chunk(running, size))
}
