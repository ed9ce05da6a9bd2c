package experiment

import (
	"fmt"
	"io"
	"math"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"fernbeam.example/fernbeam/internal/emulator"
)

// Queue is one comparison of the emulator with queueing theory: one node with K cores and an
// endless queue, called by its clients without an agent.
type QueueCheck struct {
	Cores       int
	Load        float64       // of each core
	MeanService time.Duration // service
	ServiceCV   float64       // of the service
}

// Queues are the comparisons that the lab's page gives.
var QueueChecks = []QueueCheck{{1, 0.5, 20 * time.Millisecond, 0}, {1, 0.7, 20 * time.Millisecond, 1}, {2, 0.6, 30 * time.Millisecond, 0.5}, {4, 0.7, 30 * time.Millisecond, 1}}

// Waits plays a comparison over some seeds, from the first on, in real time, on sockets, and writes the mean wait
// that theory gives and the 95 % interval of what was measured; the error is a theory outside of
// the interval.
func (q QueueCheck) Run(out io.Writer, first uint64, seeds int, length time.Duration) error {
	theory := emulator.MeanWait(q.Cores, q.Load, q.MeanService.Seconds(), q.ServiceCV) * 1000
	waits := make([]float64, seeds)
	var group errgroup.Group
	group.SetLimit(6) // none takes more than a part of a processor
	for seed := range seeds {
		group.Go(func() (err error) {
			waits[seed], err = q.measureWait(first+uint64(seed), length)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	mean, sd := stat.MeanStdDev(waits, nil)
	n := float64(len(waits))
	half := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(0.975) * sd / math.Sqrt(n)
	verdict := "agrees"
	if math.Abs(mean-theory) > half {
		verdict = "DIFFERS"
	}
	fmt.Fprintf(out, "| M/G/%d, load %g, service %v, cv %g | %.2f | %.2f ± %.2f | %s |\n", q.Cores, q.Load, q.MeanService, q.ServiceCV, theory, mean, half, verdict)
	if verdict != "agrees" {
		return fmt.Errorf("M/G/%d at load %g: a mean wait of %.2f ms, where theory has %.2f ms", q.Cores, q.Load, mean, theory)
	}
	return nil
}

// wait is the mean wait that one seed measures, in ms: against a node with a core for everyone,
// asked the same, so that what the sockets and timers take is in both.
func (q QueueCheck) measureWait(seed uint64, length time.Duration) (float64, error) {
	var means [2]float64
	var group errgroup.Group
	for i, cores := range []int{q.Cores, 1000} {
		group.Go(func() error {
			w, err := emulator.New(emulator.Config{Seed: seed, Zones: []string{"z"}, Agents: []emulator.Agent{{Name: "a", Share: 1}}, Servers: 1, CellSize: 1,
				Models: []emulator.Model{{Kind: "k", Cores: cores, Speed: 1, Slots: cores, Queue: math.MaxInt}}, ModelShares: []float64{1},
				Classes: []emulator.Class{{Name: "c", Share: 1, Work: q.MeanService, WorkCV: q.ServiceCV, LatencyObjective: time.Minute, TotalTimeout: time.Minute, PriorityWeight: 1, Idempotency: "free"}},
				Rate:    q.Load * float64(q.Cores) / q.MeanService.Seconds(), Keys: 1, RequestTimeoutShare: 1, KeepAlive: time.Minute, Direct: true})
			if err != nil {
				return err
			}
			defer w.Close()
			res := w.Run(length)
			if len(res.Errors) > 0 {
				return fmt.Errorf("the lab failed: %v", res.Errors)
			}
			means[i] = res.Metrics["sojourn mean ms"]
			return nil
		})
	}
	err := group.Wait()
	return means[0] - means[1], err
}

// Rank compares arms by the mean of a figure over the seeds that all have in common, the best
// first, and tells whether the order is the one that is expected; each step has to differ by
// its paired interval.
func CheckRanking(out io.Writer, recs []*Record, figure string, want []string) error {
	means := map[string]float64{}
	for i, arm := range want {
		var v []float64
		for _, r := range recs {
			if r.Arm == arm && r.Valid {
				v = append(v, r.Metrics()[figure])
			}
		}
		if len(v) == 0 {
			return fmt.Errorf("arm %q has no run that counts", arm)
		}
		means[arm] = stat.Mean(v, nil)
		fmt.Fprintf(out, "| %s | %.4f |", arm, means[arm])
		if i == 0 {
			fmt.Fprintln(out)
			continue
		}
		diffs, err := Compare(recs, want[i-1], arm)
		if err != nil {
			return err
		}
		for _, d := range diffs {
			if d.Metric == figure {
				fmt.Fprintf(out, " %+.4f ± %.4f against %s\n", d.Mean, d.HalfWidth, want[i-1])
			}
		}
	}
	got := slices.Clone(want)
	slices.SortFunc(got, func(a, b string) int {
		if means[a] > means[b] {
			return -1
		}
		return 1
	})
	if !slices.Equal(got, want) {
		return fmt.Errorf("the lab ranks %v, where %v is known", got, want)
	}
	return nil
}
