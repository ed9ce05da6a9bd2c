package main

import (
	"github.com/spf13/cobra"
)

// experimentCommand returns the command that runs the fault cases of a plan.
func experimentCommand() *cobra.Command {
	var path, record, logDir string
	cmd := &cobra.Command{
		Use:   "experiment",
		Short: "run fault cases on clusters of the real agent and print their metrics",
		Long: `Runs the membership's fault cases on this machine, checks the history of every run, and prints
a table with the median, the 99th percentile and the worst value of each metric. A round runs
all cases in turn, and each round uses the next seed. The report of a failed run includes its
seed, which reproduces the random choice of its faults. With --record, each run is recorded as
soon as it has ended; "figures" prints the table of all runs of several records. The plan is a
TOML file with these keys and defaults:

  binary = "bin/agent"       path of the agent binary
  agents = 24                number of processes; 300 need about 6 GB of memory
  seeds = 3                  number of agents that are the seeds of all agents
  seed = 1, runs = 1         random seed of the first round, and number of rounds
  cases = []                 names of the cases; empty means all
  costs = "0s"               how long traffic, CPU, memory and latency are measured
  cut = "5s", long = "45s", pause = "3s", faulty = "20s", loss = "60s"
                             durations of the faults
  within = "120s"            maximum time to converge
  probe_interval, suspect_timeout, settle, forget (10s), reclaim, reconnect
                             timings of the agents; the agents' own defaults if missing`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			p, err := loadPlan(path)
			if err != nil {
				return err
			}
			r := &runner{plan: p, logDir: logDir, recordPath: record}
			return r.run(cmd.Context(), cmd.OutOrStdout())
		},
	}
	cmd.Flags().StringVar(&path, "config", "experiment.toml", "plan file")
	cmd.Flags().StringVar(&logDir, "logs", "", "directory for the agents' logs (default: logs are removed)")
	cmd.Flags().StringVar(&record, "record", "", "file to which each run is appended as a line of JSON")
	return cmd
}

// figuresCommand returns the command that prints the table of the runs in several records.
func figuresCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "figures FILE...",
		Short: "print the table of all runs in the records of experiments",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, paths []string) error {
			journal, err := readRecords(paths)
			if err != nil {
				return err
			}
			return journal.Table(cmd.OutOrStdout())
		},
	}
}
