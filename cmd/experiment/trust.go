package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"fernbeam.example/fernbeam/internal/experiment"
)

func trustCmd() *cobra.Command {
	cmd := &cobra.Command{Use: "trust", Short: "show how far the emulator can be trusted"}
	cmd.AddCommand(trustQueuesCmd(), trustRankCmd())
	return cmd
}

func trustQueuesCmd() *cobra.Command {
	var first uint64
	var seeds int
	var length time.Duration
	cmd := &cobra.Command{
		Use:   "queues",
		Short: "compare the waits in one server with queueing theory",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			const header = "| queue | theory, ms | measured, ms | |\n| --- | --- | --- | --- |"
			if _, err := fmt.Fprintln(cmd.OutOrStdout(), header); err != nil {
				return err
			}
			// All are run, whether one of them fails or not; their rows show which ones did.
			var firstError error
			for _, check := range experiment.QueueChecks {
				if err := check.Run(cmd.OutOrStdout(), first, seeds, length); firstError == nil {
					firstError = err
				}
			}
			return firstError
		},
	}
	cmd.Flags().Uint64Var(&first, "seed", 1, "the first seed")
	cmd.Flags().IntVar(&seeds, "seeds", 8, "number of runs of each queue")
	cmd.Flags().DurationVar(&length, "length", 15*time.Second, "length of a run")
	return cmd
}

func trustRankCmd() *cobra.Command {
	var metric string
	cmd := &cobra.Command{
		Use:   "rank RECORD BEST NEXT...",
		Short: "check that arms come out in a known order, such as the bench's order of older commits",
		Args:  cobra.MinimumNArgs(3),
		RunE: func(cmd *cobra.Command, args []string) error {
			path, arms := args[0], args[1:]
			records, err := readRecords([]string{path})
			if err != nil {
				return err
			}
			return experiment.CheckRanking(cmd.OutOrStdout(), records, experiment.FindMetric(metric), arms)
		},
	}
	cmd.Flags().StringVar(&metric, "figure", "in time", "metric to rank by, greater being better")
	return cmd
}
