package main

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"fernbeam.example/fernbeam/internal/experiment"
)

// reportCmd returns the command `experiment report`.
func reportCmd() *cobra.Command {
	var plots, format string
	cmd := &cobra.Command{
		Use:   "report RECORD...",
		Short: "print a report of records and, with --plots, draw plots",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, paths []string) error {
			records, err := readRecords(paths...)
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
	cmd.Flags().StringVar(&plots, "plots", "", "directory for plots (default: none are drawn)")
	cmd.Flags().StringVar(&format, "format", "svg", "file format of the plots: svg or png")
	return cmd
}

// compareCmd returns the command `experiment compare`.
func compareCmd() *cobra.Command {
	const minArgs = 3 // two arms and a file
	return &cobra.Command{
		Use:   "compare BASE ARM RECORD...",
		Short: "print the paired differences between two arms",
		Args:  cobra.MinimumNArgs(minArgs),
		RunE: func(cmd *cobra.Command, args []string) error {
			base, arm, paths := args[0], args[1], args[2:]
			records, err := readRecords(paths...)
			if err != nil {
				return err
			}
			return experiment.ReportDifferences(cmd.OutOrStdout(), records, base, arm)
		},
	}
}
