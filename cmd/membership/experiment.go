package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"fernbeam.example/fernbeam/internal/membershiptest"
	"fernbeam.example/fernbeam/internal/processtest"
)

const (
	// agentMemoryMB is the memory that one agent takes in an experiment.
	agentMemoryMB = 20
	// agentsWithoutMembership is the number of agents without one while costs are measured.
	agentsWithoutMembership = 2
	// latencyRate is the number of requests a second by which latency is measured.
	latencyRate = 100
	// costsCase is the name under which costs are recorded.
	costsCase = "costs"
)

var errInterrupted = errors.New("interrupted")

func experimentCommand() *cobra.Command {
	var path, record, logDir string
	cmd := &cobra.Command{
		Use:   "experiment",
		Short: "run clusters of the real agent with faults and print what they measured",
		Long: `Runs the membership's fault cases on this machine, each as often as the plan says, checks
every history, and prints a table: the median, 99th percentile and worst of each metric.
All cases are run in turn, then all again on the next seed: a run that fails is named with
its seed, from which its faults can be drawn again. With --record each run is kept as soon as
it has ended, and "figures" prints the table of all runs of several records. The plan is a
TOML file:

  binary = "bin/agent"   the built agent
  agents = 24                processes; 300 take some 6 GB
  seeds = 3, seed = 1, runs = 1
  cases = []                 by name; empty: all
  costs = "0s"               how long traffic, CPU, memory and latency are measured
  cut = "5s", long = "45s", pause = "3s", faulty = "20s", loss = "60s", within = "120s"
                             of the faults, and the time to converge in
  probe_interval, suspect_timeout, settle, forget (10s), reclaim, reconnect
                             the agents' timings; default: theirs`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			p, err := loadPlan(path)
			if err != nil {
				return err
			}
			p.logDir = logDir
			return p.run(cmd.Context(), cmd.OutOrStdout(), record)
		},
	}
	cmd.Flags().StringVar(&path, "config", "experiment.toml", "the plan")
	cmd.Flags().StringVar(&logDir, "logs", "", "directory in which the agents' logs are kept; default: they are removed")
	cmd.Flags().StringVar(&record, "record", "", "file to which each run is added, a JSON object a line")
	return cmd
}

// figuresCommand prints the table of records that were made at several times.
func figuresCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "figures FILE...",
		Short: "print the table of all runs of experiments' records",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, paths []string) error {
			journal := new(membershiptest.Journal)
			for _, path := range paths {
				if err := readRecord(journal, path); err != nil {
					return err
				}
			}
			return journal.Table(cmd.OutOrStdout())
		},
	}
}

// readRecord adds the runs of a record to a journal.
func readRecord(journal *membershiptest.Journal, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }() // it was only read
	if err := journal.Read(file); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

// run runs the plan and prints its table; with a record, the runs are added to that file.
func (p plan) run(ctx context.Context, out io.Writer, record string) (err error) {
	need, free := p.Agents*agentMemoryMB, processtest.FreeMB()
	if need > free {
		return fmt.Errorf("%d agents take some %d MB, and %d MB are free", p.Agents, need, free)
	}
	journal := &membershiptest.Journal{Commit: currentCommit(ctx), Agents: p.Agents, Processors: runtime.NumCPU()}
	if record != "" {
		file, openErr := os.OpenFile(record, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
		if openErr != nil {
			return openErr
		}
		defer func() { err = errors.Join(err, file.Close()) }()
		journal.Out = file
	}
	err = p.runRounds(ctx, journal)
	if err == nil && p.Costs > 0 && ctx.Err() == nil {
		err = p.measureCosts(journal) //nolint:contextcheck // an interrupt counts between runs: a run goes to its end
	}
	if tableErr := journal.Table(out); err == nil {
		err = tableErr
	}
	if err == nil && ctx.Err() != nil {
		err = errInterrupted
	}
	return err
}

// currentCommit is the short hash of the working directory's commit; empty if it has none.
func currentCommit(ctx context.Context) string {
	hash, _ := exec.CommandContext(ctx, "git", "rev-parse", "--short", "HEAD").Output() // a record may lack it
	return strings.TrimSuffix(string(hash), "\n")
}

// runRounds runs the plan's cases, each round on a cluster of the next seed.
func (p plan) runRounds(ctx context.Context, journal *membershiptest.Journal) error {
	for round := range p.Runs {
		if err := p.runRound(ctx, journal, p.Seed+uint64(round)); err != nil {
			return err
		}
	}
	return nil
}

// runRound runs the plan's cases in turn. A run that fails ends its cluster, and the round goes on with a new one.
func (p plan) runRound(ctx context.Context, journal *membershiptest.Journal, seed uint64) error {
	var c *cluster
	defer func() {
		if c != nil {
			c.close()
		}
	}()
	for _, faultCase := range membershiptest.Cases {
		if ctx.Err() != nil || !p.hasCase(faultCase.Name) {
			continue
		}
		if c == nil {
			var err error
			if c, err = p.newCluster(seed, nil); err != nil {
				return err
			}
		}
		//nolint:contextcheck // an interrupt counts between runs: a run goes to its end
		metrics, runErr := c.RunCase(faultCase, p.scale())
		if err := journal.Add(faultCase.Name, seed, metrics, runErr); err != nil {
			return err
		}
		if runErr != nil || faultCase.EndsCluster {
			c.close()
			c = nil
		}
	}
	return nil
}

// hasCase tells whether the plan has a case.
func (p plan) hasCase(name string) bool { return len(p.Cases) == 0 || slices.Contains(p.Cases, name) }

// cluster is a test cluster with its directory.
type cluster struct {
	*membershiptest.Harness
	dir     string
	keepDir bool
}

// close ends the cluster and removes its directory.
func (c *cluster) close() {
	c.Close()
	c.removeDir()
}

func (c *cluster) removeDir() {
	if !c.keepDir {
		_ = os.RemoveAll(c.dir) // a directory that stays in the temporary one does no harm
	}
}

// newCluster makes a cluster of a seed; nothing runs yet.
func (p plan) newCluster(seed uint64, withoutMembership func(i int) bool) (*cluster, error) {
	binary, err := filepath.Abs(p.Binary)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp(p.logDir, "membership")
	if err != nil {
		return nil, err
	}
	c := &cluster{dir: dir, keepDir: p.logDir != ""}
	c.Harness, err = membershiptest.New(membershiptest.Config{
		Binary:            binary,
		Dir:               dir,
		Agents:            p.Agents,
		Seeds:             p.Seeds,
		Seed:              seed,
		WithoutMembership: withoutMembership,
		Membership:        p.membershipConfig(),
	})
	if err != nil {
		c.removeDir()
		return nil, err
	}
	return c, nil
}

// measureCosts measures what the membership takes, beside agents that have none.
func (p plan) measureCosts(journal *membershiptest.Journal) error {
	firstWithout := p.Agents - agentsWithoutMembership
	c, err := p.newCluster(p.Seed, func(i int) bool { return i >= firstWithout })
	if err != nil {
		return err
	}
	defer c.close()
	var metrics membershiptest.Metrics
	runErr := c.StartConverged(p.ConvergeWithin)
	if runErr == nil {
		metrics, runErr = c.Costs(p.Costs)
	}
	if err := journal.Add(costsCase, p.Seed, metrics, runErr); err != nil || runErr != nil {
		return err
	}
	with, without := c.Names[firstWithout-1], c.Names[p.Agents-1]
	metrics, runErr = c.Latency(with, without, latencyRate, p.Costs)
	return journal.Add(costsCase, p.Seed, metrics, runErr)
}
