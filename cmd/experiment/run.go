package main

import (
	"errors"
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"fernbeam.example/fernbeam/internal/experiment"
)

// runFlags are the flags of `experiment run`.
type runFlags struct {
	binary string
	record string
	logs   string
}

// runCmd returns the command `experiment run`.
func runCmd() *cobra.Command {
	var flags runFlags
	cmd := &cobra.Command{
		Use:   "run FILE.toml",
		Short: "run a scenario: each arm with each seed, in turn",
		Long: "Runs a scenario, appends each run to the record, and prints a report. Durations in scenarios are strings\n" +
			"such as \"300ms\"; \"experiment draw\" prints complete scenarios. Kinds of faults:\n\n" + faultsHelp(),
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return runScenario(cmd, args[0], flags) },
	}
	cmd.Flags().StringVar(&flags.binary, "binary", "bin/agent", "agent program for arms without a commit")
	cmd.Flags().StringVar(&flags.record, "record", "experiment.jsonl", "file to which runs are appended as lines of JSON")
	cmd.Flags().StringVar(&flags.logs, "logs", "", "directory for the agents' logs (default: logs are removed)")
	return cmd
}

// faultsHelp returns the list of the kinds of faults with their descriptions.
func faultsHelp() string {
	var text strings.Builder
	for _, fault := range experiment.FaultDescriptions() {
		fmt.Fprintf(&text, "  %-16s %s\n", fault.Kind, fault.Description)
	}
	return text.String()
}

// runScenario runs a scenario from a file, records each run, and prints a report of the runs that completed.
func runScenario(cmd *cobra.Command, path string, flags runFlags) (err error) {
	scenario, err := experiment.Load(path)
	if err != nil {
		return err
	}
	file, err := openAppend(flags.record)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	dir, removeDir, err := workDirectory(flags.logs)
	if err != nil {
		return err
	}
	defer removeDir()
	var records []*experiment.Record
	err = experiment.Run(cmd.Context(), experiment.Config{
		Scenario:   scenario,
		Binary:     flags.binary,
		Repository: checkout(cmd.Context()),
		Dir:        dir,
		Progress:   progress(),
		OnRecord: func(record *experiment.Record) error {
			records = append(records, record)
			return record.Write(file)
		},
	})
	if len(records) == 0 {
		return err
	}
	return errors.Join(err, experiment.Report(cmd.OutOrStdout(), records))
}
