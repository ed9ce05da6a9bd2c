package main

import (
	"github.com/spf13/cobra"
)

// experimentCommand runs fault cases as a plan says.
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
			r := &runner{plan: p, logDir: logDir, recordPath: record}
			return r.run(cmd.Context(), cmd.OutOrStdout())
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
			journal, err := readRecords(paths)
			if err != nil {
				return err
			}
			return journal.Table(cmd.OutOrStdout())
		},
	}
}
