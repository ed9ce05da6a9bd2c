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
	"time"

	"github.com/BurntSushi/toml"
	"github.com/spf13/cobra"

	"fernbeam.example/fernbeam/internal/membership"
	"fernbeam.example/fernbeam/internal/membershiptest"
	"fernbeam.example/fernbeam/internal/processtest"
)

// plan is the TOML file of an experiment. Times are such as "300ms"; what is left out has
// the value that --help names.
type plan struct {
	Binary string        `toml:"binary"` // the built agent
	Agents int           `toml:"agents"`
	Seeds  int           `toml:"seeds"`
	Seed   uint64        `toml:"seed"`
	Runs   int           `toml:"runs"`  // of each case, each on a fleet of its own seed
	Cases  []string      `toml:"cases"` // empty: all
	Costs  time.Duration `toml:"costs"` // how long traffic, CPU, memory and latency are measured

	Cut    time.Duration `toml:"cut"`
	Long   time.Duration `toml:"long"`
	Pause  time.Duration `toml:"pause"`
	Faulty time.Duration `toml:"faulty"`
	Loss   time.Duration `toml:"loss"`
	Within time.Duration `toml:"within"`

	Probe     time.Duration `toml:"probe_interval"`
	Suspect   time.Duration `toml:"suspect_timeout"`
	Settle    time.Duration `toml:"settle"`
	Forget    time.Duration `toml:"forget"`
	Reclaim   time.Duration `toml:"reclaim"`
	Reconnect time.Duration `toml:"reconnect"`

	logs string // where the agents' logs stay; empty: nowhere
}

func msOf(d time.Duration) int { return int(d.Milliseconds()) }

func defaultPlan() plan {
	return plan{Binary: "bin/agent", Agents: 24, Seeds: 3, Seed: 1, Runs: 1, Cut: 5 * time.Second,
		Long: 45 * time.Second, Pause: 3 * time.Second, Faulty: 20 * time.Second, Loss: time.Minute,
		Within: 2 * time.Minute, Forget: 10 * time.Second}
}

func loadPlan(path string) (plan, error) {
	p := defaultPlan()
	md, err := toml.DecodeFile(path, &p)
	if err != nil {
		return p, fmt.Errorf("%s: %w", path, err)
	}
	if extra := md.Undecoded(); len(extra) > 0 {
		return p, fmt.Errorf("%s: unknown key %q", path, extra[0].String())
	}
	known := map[string]bool{}
	for _, c := range membershiptest.Cases {
		known[c.Name] = true
	}
	for _, c := range p.Cases {
		if !known[c] {
			return p, fmt.Errorf("%s: key cases: there is no case %q", path, c)
		}
	}
	switch {
	case p.Runs < 0:
		return p, fmt.Errorf("%s: key runs: below zero", path)
	case p.Agents < 5 || p.Seeds < 1 || p.Seeds >= p.Agents:
		return p, fmt.Errorf("%s: keys agents, seeds: 5 agents at least, and more than seeds", path)
	}
	return p, nil
}

func experimentCmd() *cobra.Command {
	var path, record, logs string
	cmd := &cobra.Command{Use: "experiment", Short: "run fleets of the real agent with faults and print what they took",
		Long: `Runs the fleet view's hard cases on this machine, each as often as the plan says, judges
every history, and prints a table: the median, 99th percentile and worst of each figure.
All cases are played in turn, then all again on the next seed: a run that fails is named with
its seed, from which its faults can be drawn again. With --record each run is kept as soon as
it has ended, and "figures" prints the table of all runs of several records. The plan is a
TOML file:

  binary = "bin/agent"   the built agent
  agents = 24                processes; 300 take some 6 GB
  seeds = 3, seed = 1, runs = 1
  cases = []                 by name; empty: all
  costs = "0s"               how long traffic, CPU, memory and latency are measured
  cut = "5s", long = "45s", pause = "3s", faulty = "20s", loss = "60s", within = "120s"
                             of the faults, and the time to settle in
  probe_interval, suspect_timeout, settle, forget (10s), reclaim, reconnect
                             the agents' timings; default: theirs`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			p, err := loadPlan(path)
			if err != nil {
				return err
			}
			p.logs = logs
			return p.run(cmd.Context(), cmd.OutOrStdout(), record)
		}}
	cmd.Flags().StringVar(&path, "config", "experiment.toml", "the plan")
	cmd.Flags().StringVar(&logs, "logs", "", "directory in which the agents' logs stay; default: none does")
	cmd.Flags().StringVar(&record, "record", "", "file to which each run is added, a JSON object a line")
	return cmd
}

// run plays the plan's rounds and prints what they gave.
func (p plan) run(ctx context.Context, out io.Writer, record string) error {
	if need := p.Agents * 20; need > processtest.FreeMB() {
		return fmt.Errorf("%d agents take some %d MB, and %d MB are free", p.Agents, need, processtest.FreeMB())
	}
	commit, _ := exec.Command("git", "rev-parse", "--short", "HEAD").Output()
	j := &membershiptest.Journal{Commit: bytesLine(commit), Agents: p.Agents, Processors: runtime.NumCPU()}
	if record != "" {
		f, err := os.OpenFile(record, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
		if err != nil {
			return err
		}
		defer f.Close()
		j.Out = f
	}
	err := p.rounds(ctx, j)
	if err == nil && p.Costs > 0 && ctx.Err() == nil {
		err = p.costs(j)
	}
	if terr := j.Table(out); err == nil {
		err = terr
	}
	if err == nil && ctx.Err() != nil {
		err = errors.New("interrupted")
	}
	return err
}

// rounds plays the plan's cases in turn, each round on a fleet of the next seed; a run that
// fails ends its fleet, and the round goes on with a new one.
func (p plan) rounds(ctx context.Context, j *membershiptest.Journal) error {
	for round := range p.Runs {
		seed := p.Seed + uint64(round)
		var l *membershiptest.Harness
		var done func()
		for _, c := range membershiptest.Cases {
			if ctx.Err() != nil || len(p.Cases) > 0 && !slices.Contains(p.Cases, c.Name) {
				continue
			}
			if l == nil {
				var err error
				if l, done, err = p.lab(seed, nil); err != nil {
					return err
				}
			}
			m, err := l.RunCase(c, p.scale())
			if jerr := j.Add(c.Name, seed, m, err); jerr != nil {
				done()
				return jerr
			}
			if err != nil || c.EndsCluster {
				done()
				l = nil
			}
		}
		if l != nil {
			done()
		}
	}
	return nil
}

// figuresCmd prints the table of records that were made at several times.
func figuresCmd() *cobra.Command {
	return &cobra.Command{Use: "figures FILE...", Short: "print the table of all runs of experiments' records",
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, files []string) error {
			j := new(membershiptest.Journal)
			for _, path := range files {
				f, err := os.Open(path)
				if err != nil {
					return err
				}
				err = j.Read(f)
				f.Close()
				if err != nil {
					return fmt.Errorf("%s: %w", path, err)
				}
			}
			return j.Table(cmd.OutOrStdout())
		}}
}

func bytesLine(b []byte) string { return string(b[:max(0, len(b)-1)]) }

func (p plan) lab(seed uint64, alone func(int) bool) (*membershiptest.Harness, func(), error) {
	dir, err := os.MkdirTemp(p.logs, "membership")
	if err != nil {
		return nil, nil, err
	}
	remove := func() {
		if p.logs == "" {
			os.RemoveAll(dir)
		}
	}
	binary, err := filepath.Abs(p.Binary)
	if err != nil {
		return nil, nil, err
	}
	l, err := membershiptest.New(membershiptest.Config{Binary: binary, Dir: dir, Agents: p.Agents, Seeds: p.Seeds, Seed: seed, WithoutMembership: alone,
		Membership: membership.Config{ProbeIntervalMs: msOf(p.Probe), SuspectTimeoutMs: msOf(p.Suspect), SettleMs: msOf(p.Settle),
			ForgetMs: msOf(p.Forget), ReclaimMs: msOf(p.Reclaim), ReconnectMs: msOf(p.Reconnect)}})
	if err != nil {
		remove()
		return nil, nil, err
	}
	return l, func() { l.Close(); remove() }, nil
}

func (p plan) scale() membershiptest.Scale {
	return membershiptest.Scale{ShortPartition: p.Cut, LongPartition: p.Long, Pause: p.Pause, FaultTime: p.Faulty,
		LossTime: p.Loss, ConvergeWithin: p.Within}
}

// costs measures what the view takes, beside two agents that have none.
func (p plan) costs(j *membershiptest.Journal) error {
	alone := func(i int) bool { return i >= p.Agents-2 }
	l, done, err := p.lab(p.Seed, alone)
	if err != nil {
		return err
	}
	defer done()
	m, err := membershiptest.Metrics(nil), l.StartSettled(p.Within)
	if err == nil {
		m, err = l.Costs(p.Costs)
	}
	if jerr := j.Add("costs", p.Seed, m, err); err != nil || jerr != nil {
		return jerr
	}
	m, err = l.Latency(l.Names[p.Agents-3], l.Names[p.Agents-1], 100, p.Costs)
	return j.Add("costs", p.Seed, m, err)
}
