package main

import (
	"io"
	"runtime/debug"

	"github.com/spf13/cobra"

	"fernbeam.example/fernbeam/internal/scaletest"
)

// agentGCPercent is the GC percentage that cmd/agent sets.
const agentGCPercent = 400

// scaleHostCmd returns the command `experiment scale-host`, a host process of hollow agents that `experiment scale`
// starts and controls.
func scaleHostCmd() *cobra.Command {
	logPath := ""
	cmd := &cobra.Command{
		Use:    "scale-host",
		Short:  "run hollow agents as directed by commands on standard input",
		Hidden: true,
		Args:   cobra.NoArgs,
		Long: "Runs many agents without client traffic in this process. Commands are read from standard input and events\n" +
			"are written to standard output, each as a line of JSON; internal/scaletest/protocol.go defines their\n" +
			"formats. At the end of the input all agents are stopped.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			debug.SetGCPercent(agentGCPercent)
			if logPath == "" {
				return scaletest.ServeHost(cmd.Context(), cmd.InOrStdin(), cmd.OutOrStdout(), io.Discard)
			}
			log, err := openAppend(logPath)
			if err != nil {
				return err
			}
			defer func() { _ = log.Close() }() // losing log lines does not make the run fail
			return scaletest.ServeHost(cmd.Context(), cmd.InOrStdin(), cmd.OutOrStdout(), log)
		}}
	cmd.Flags().StringVar(&logPath, "log", "",
		"file to which the agents' log lines are appended (default: they are formatted and discarded)")
	return cmd
}
