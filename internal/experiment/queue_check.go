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

// queueCheckParallelism bounds how many seeds are measured at the same time; none takes more than a part of a
// processor.
const queueCheckParallelism = 6

const (
	// unlimitedCores is the number of cores of a server in which no request waits.
	unlimitedCores = 1000
	// millisecondsPerSecond converts times.
	millisecondsPerSecond = 1000
)

// QueueCheck compares the emulator with queueing theory: an M/G/k queue, made of one server with k cores and an
// unbounded queue, which the clients call without an agent.
type QueueCheck struct {
	Cores       int
	Load        float64 // of each core
	MeanService time.Duration
	ServiceCV   float64 // coefficient of variation of the service time
}

// queueChecks are the comparisons in docs/LAB.md.
//
//nolint:mnd // the fields name the numbers
var queueChecks = []QueueCheck{
	{Cores: 1, Load: 0.5, MeanService: 20 * time.Millisecond, ServiceCV: 0},
	{Cores: 1, Load: 0.7, MeanService: 20 * time.Millisecond, ServiceCV: 1},
	{Cores: 2, Load: 0.6, MeanService: 30 * time.Millisecond, ServiceCV: 0.5},
	{Cores: 4, Load: 0.7, MeanService: 30 * time.Millisecond, ServiceCV: 1},
}

// QueueCheckRuns says on what each comparison is measured.
type QueueCheckRuns struct {
	FirstSeed uint64
	Seeds     int           // consecutive ones, with a run for each
	Length    time.Duration // of a run
}

// CheckQueues makes all comparisons and writes them as a Markdown table, row by row as they end. The error is that of
// the first comparison that fails.
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

// run measures in real time on sockets. It writes, as a row of a Markdown table, the mean wait by theory and the 95 %
// interval of the measured one, both in ms. The error is a theoretical value outside of the interval.
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
		return fmt.Errorf("M/G/%d at load %g: a mean wait of %.2f ms, where theory has %.2f ms",
			q.Cores, q.Load, measured.Mean, theory)
	}
	return nil
}

// measureWaits returns the interval of the mean waits in the runs, in ms.
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

// measureWait returns the mean wait on a seed, in ms: the difference in sojourn time to a server with a core for each
// request and the same calls, so that the cost of sockets and timers cancels out.
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

// measureSojourn returns the mean sojourn time, in ms, in a server with a number of cores.
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
		return 0, fmt.Errorf("the harness failed: %v", result.Errors)
	}
	return result.Metrics[emulator.MetricMeanSojourn], nil
}

// emulatorConfig returns the configuration of one server, with some cores and an unbounded queue, and its client.
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
