package main

import (
	"time"

	"github.com/spf13/cobra"

	"fernbeam.example/fernbeam/internal/emulator"
	"fernbeam.example/fernbeam/internal/experiment"
)

// Defaults of the flags of `experiment trust queues`.
const (
	queueCheckSeeds  = 8
	queueCheckLength = 15 * time.Second
)

// deprecatedMetricFlag is the former name of the flag --metric, which is still accepted.
const deprecatedMetricFlag = "figure"

// trustCmd returns the command `experiment trust`, whose subcommands validate the emulator.
func trustCmd() *cobra.Command {
	cmd := &cobra.Command{Use: "trust", Short: "validate the emulator"}
	cmd.AddCommand(trustQueuesCmd(), trustRankCmd())
	return cmd
}

// trustQueuesCmd returns the command `experiment trust queues`.
func trustQueuesCmd() *cobra.Command {
	var runs experiment.QueueCheckRuns
	cmd := &cobra.Command{
		Use:   "queues",
		Short: "compare waiting times in a server with queueing theory",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return experiment.CheckQueues(cmd.Context(), cmd.OutOrStdout(), runs)
		},
	}
	cmd.Flags().Uint64Var(&runs.FirstSeed, "seed", 1, "first seed")
	cmd.Flags().IntVar(&runs.Seeds, "seeds", queueCheckSeeds, "number of seeds, with one run of each queue for each")
	cmd.Flags().DurationVar(&runs.Length, "length", queueCheckLength, "length of a run")
	return cmd
}

// trustRankCmd returns the command `experiment trust rank`.
func trustRankCmd() *cobra.Command {
	const (
		minArgs     = 3 // a file and two arms
		metricUsage = "metric to rank by, where greater is better: its title in the report or its key in records"
	)
	var metric string
	cmd := &cobra.Command{
		Use:   "rank RECORD BEST NEXT...",
		Short: "check that arms rank in a known order, such as the bench's ranking of older commits",
		Args:  cobra.MinimumNArgs(minArgs),
		RunE: func(cmd *cobra.Command, args []string) error {
			path, arms := args[0], args[1:]
			records, err := readRecords(path)
			if err != nil {
				return err
			}
			return experiment.CheckRanking(cmd.OutOrStdout(), records, experiment.FindMetric(metric), arms)
		},
	}
	defaultMetric := experiment.FindMetric(string(emulator.MetricInTime)).Title
	cmd.Flags().StringVar(&metric, "metric", defaultMetric, metricUsage)
	cmd.Flags().StringVar(&metric, deprecatedMetricFlag, defaultMetric, metricUsage)
	_ = cmd.Flags().MarkHidden(deprecatedMetricFlag) // fails only for a flag that does not exist
	return cmd
}
