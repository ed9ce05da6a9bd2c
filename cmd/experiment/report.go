package main

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"fernbeam.example/fernbeam/internal/experiment"
)

func reportCmd() *cobra.Command {
	var plots, format string
	cmd := &cobra.Command{
		Use:   "report RECORD...",
		Short: "print a report of records, and draw their plots",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, paths []string) error {
			records, err := readRecords(paths)
			if err != nil {
				return err
			}
			if plots != "" {
				files, err := experiment.Plot(records, plots, format)
				if err != nil {
					return err
				}
				if _, err := fmt.Fprintln(cmd.OutOrStdout(), strings.Join(files, "\n")); err != nil {
					return err
				}
			}
			return experiment.Report(cmd.OutOrStdout(), records)
		},
	}
	cmd.Flags().StringVar(&plots, "plots", "", "directory to draw into; empty: nothing is drawn")
	cmd.Flags().StringVar(&format, "format", "svg", "svg or png")
	return cmd
}

func compareCmd() *cobra.Command {
	return &cobra.Command{
		Use:   "compare BASE ARM RECORD...",
		Short: "print the paired differences of two arms",
		Args:  cobra.MinimumNArgs(3),
		RunE: func(cmd *cobra.Command, args []string) error {
			base, arm, paths := args[0], args[1], args[2:]
			records, err := readRecords(paths)
			if err != nil {
				return err
			}
			differences, err := experiment.Compare(records, base, arm)
			if err != nil {
				return err
			}
			for _, d := range differences {
				_, err := fmt.Fprintf(cmd.OutOrStdout(), "%-62s %10.4g %10.4g  %+.4g ± %.4g over %d pairs\n",
					d.Metric, d.Base, d.Arm, d.Mean, d.HalfWidth, d.Pairs)
				if err != nil {
					return err
				}
			}
			return nil
		},
	}
}
