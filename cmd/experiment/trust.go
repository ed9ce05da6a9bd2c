package main

import (
	"time"

	"github.com/spf13/cobra"

	"fernbeam.example/fernbeam/internal/emulator"
	"fernbeam.example/fernbeam/internal/experiment"
)

// What `experiment trust queues` runs without flags.
const (
	queueCheckSeeds  = 8
	queueCheckLength = 15 * time.Second
)

// earlierMetricFlag is the name of the flag --metric in earlier versions.
const earlierMetricFlag = "figure"

// trustCmd is `experiment trust`, the checks of the emulator.
func trustCmd() *cobra.Command {
	cmd := &cobra.Command{Use: "trust", Short: "show how far the emulator can be trusted"}
	cmd.AddCommand(trustQueuesCmd(), trustRankCmd())
	return cmd
}

// trustQueuesCmd is `experiment trust queues`.
func trustQueuesCmd() *cobra.Command {
	var runs experiment.QueueCheckRuns
	cmd := &cobra.Command{
		Use:   "queues",
		Short: "compare the waits in one server with queueing theory",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return experiment.CheckQueues(cmd.Context(), cmd.OutOrStdout(), runs)
		},
	}
	cmd.Flags().Uint64Var(&runs.FirstSeed, "seed", 1, "the first seed")
	cmd.Flags().IntVar(&runs.Seeds, "seeds", queueCheckSeeds, "number of runs of each queue")
	cmd.Flags().DurationVar(&runs.Length, "length", queueCheckLength, "length of a run")
	return cmd
}

// trustRankCmd is `experiment trust rank`.
func trustRankCmd() *cobra.Command {
	const (
		minArgs     = 3 // a file and two arms
		metricUsage = "metric to rank by, greater being better: a row of the report, or its key in records"
	)
	var metric string
	cmd := &cobra.Command{
		Use:   "rank RECORD BEST NEXT...",
		Short: "check that arms come out in a known order, such as the bench's order of older commits",
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
	cmd.Flags().StringVar(&metric, earlierMetricFlag, defaultMetric, metricUsage)
	_ = cmd.Flags().MarkHidden(earlierMetricFlag) // fails only for a flag that does not exist
	return cmd
}
