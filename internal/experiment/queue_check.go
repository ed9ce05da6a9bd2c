package experiment

import (
	"context"
	"fmt"
	"io"
	"math"
	"time"

	"golang.org/x/sync/errgroup"

	"fernbeam.example/fernbeam/internal/balancer"
	"fernbeam.example/fernbeam/internal/emulator"
)

// queueCheckParallelism is the number of seeds that are measured at the same time. Each takes less than one processor.
const queueCheckParallelism = 6

const (
	// unlimitedCores is a number of cores with which no request waits in a server.
	unlimitedCores = 1000

	millisecondsPerSecond = 1000
)

// QueueCheck compares the emulator with queueing theory. It emulates an M/G/k queue as one server with k cores and an
// unbounded queue, which the clients call without an agent.
type QueueCheck struct {
	Cores       int
	Load        float64 // of each core
	MeanService time.Duration
	ServiceCV   float64 // coefficient of variation of the service time
}

// queueChecks are the comparisons documented in docs/LAB.md.
//
//nolint:mnd // the fields name the numbers
var queueChecks = []QueueCheck{
	{Cores: 1, Load: 0.5, MeanService: 20 * time.Millisecond, ServiceCV: 0},
	{Cores: 1, Load: 0.7, MeanService: 20 * time.Millisecond, ServiceCV: 1},
	{Cores: 2, Load: 0.6, MeanService: 30 * time.Millisecond, ServiceCV: 0.5},
	{Cores: 4, Load: 0.7, MeanService: 30 * time.Millisecond, ServiceCV: 1},
}

// QueueCheckRuns configures the runs of each comparison.
type QueueCheckRuns struct {
	FirstSeed uint64
	Seeds     int           // number of consecutive seeds, with one run each
	Length    time.Duration // of a run
}

// CheckQueues runs all comparisons and writes a Markdown table, adding a row as each comparison ends. It returns the
// error of the first comparison that fails.
func CheckQueues(ctx context.Context, out io.Writer, runs QueueCheckRuns) error {
	const header = "| queue | theory, ms | measured, ms | |\n| --- | --- | --- | --- |"
	if _, err := fmt.Fprintln(out, header); err != nil {
		return err
	}
	var firstError error
	for _, check := range queueChecks {
		if err := check.run(ctx, out, runs); firstError == nil {
			firstError = err
		}
	}
	return firstError
}

// run measures the mean wait in real time over sockets. It writes a row of a Markdown table with the mean wait by
// theory and the measured one with its 95 % confidence interval, both in ms. It returns an error if the interval does
// not include the theoretical value.
func (q QueueCheck) run(ctx context.Context, out io.Writer, runs QueueCheckRuns) error {
	theory := emulator.MeanWait(q.Cores, q.Load, q.MeanService.Seconds(), q.ServiceCV) * millisecondsPerSecond
	measured, err := q.measureWaits(ctx, runs)
	if err != nil {
		return err
	}
	agrees := measured.Includes(theory)
	verdict := "agrees"
	if !agrees {
		verdict = "DIFFERS"
	}
	_, err = fmt.Fprintf(out, "| M/G/%d, load %g, service %v, cv %g | %.2f | %.2f ± %.2f | %s |\n",
		q.Cores, q.Load, q.MeanService, q.ServiceCV, theory, measured.Mean, measured.HalfWidth, verdict)
	if err != nil {
		return err
	}
	if !agrees {
		return fmt.Errorf("M/G/%d at load %g: measured a mean wait of %.2f ms; queueing theory predicts %.2f ms",
			q.Cores, q.Load, measured.Mean, theory)
	}
	return nil
}

// measureWaits returns the mean of the runs' mean waits with its confidence interval, in ms.
func (q QueueCheck) measureWaits(ctx context.Context, runs QueueCheckRuns) (Interval, error) {
	waits := make([]float64, runs.Seeds)
	var group errgroup.Group
	group.SetLimit(queueCheckParallelism)
	for i := range waits {
		group.Go(func() (err error) {
			waits[i], err = q.measureWait(ctx, runs.FirstSeed+uint64(i), runs.Length)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return Interval{}, err
	}
	return confidenceInterval(waits), nil
}

// measureWait returns the mean wait, in ms, in a run with the given seed. It measures the mean sojourn time in the
// server and in another server that gets the same requests but has a core for each of them. The wait is the difference,
// in which the cost of sockets and timers cancels out.
func (q QueueCheck) measureWait(ctx context.Context, seed uint64, length time.Duration) (float64, error) {
	var queued, unqueued float64
	var group errgroup.Group
	group.Go(func() (err error) {
		queued, err = q.measureSojourn(ctx, seed, q.Cores, length)
		return err
	})
	group.Go(func() (err error) {
		unqueued, err = q.measureSojourn(ctx, seed, unlimitedCores, length)
		return err
	})
	err := group.Wait()
	return queued - unqueued, err
}

// measureSojourn returns the mean sojourn time, in ms, in a server with the given number of cores.
func (q QueueCheck) measureSojourn(
	ctx context.Context, seed uint64, cores int, length time.Duration,
) (float64, error) {
	e, err := emulator.New(q.emulatorConfig(seed, cores))
	if err != nil {
		return 0, err
	}
	defer e.Close()
	result := e.Run(ctx, length)
	if len(result.Errors) > 0 {
		return 0, fmt.Errorf("harness failed: %v", result.Errors)
	}
	return result.Metrics[emulator.MetricMeanSojourn], nil
}

// emulatorConfig returns the configuration of a server with the given number of cores and an unbounded queue, which
// its client calls directly.
func (q QueueCheck) emulatorConfig(seed uint64, cores int) emulator.Config {
	return emulator.Config{
		Seed:        seed,
		Zones:       []string{"z"},
		Agents:      []emulator.Agent{{Name: "a", Share: 1}},
		Servers:     1,
		CellSize:    1,
		Models:      []emulator.Model{{Kind: "k", Cores: cores, Speed: 1, Slots: cores, Queue: math.MaxInt}},
		ModelShares: []float64{1},
		Classes: []emulator.Class{{
			Name:             "c",
			Share:            1,
			Work:             q.MeanService,
			WorkCV:           q.ServiceCV,
			LatencyObjective: time.Minute,
			TotalTimeout:     time.Minute,
			PriorityWeight:   1,
			Idempotency:      balancer.Idempotent,
		}},
		Rate:                q.Load * float64(q.Cores) / q.MeanService.Seconds(),
		Keys:                1,
		RequestTimeoutShare: 1,
		KeepAlive:           time.Minute,
		Direct:              true,
	}
}
