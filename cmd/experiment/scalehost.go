package main

import (
	"io"
	"runtime/debug"

	"github.com/spf13/cobra"

	"fernbeam.example/fernbeam/internal/scaletest"
)

// agentGCPercent is the garbage collector's setting in cmd/agent.
const agentGCPercent = 400

// scaleHostCmd is `experiment scale-host`, a process of hollow agents that `experiment scale` starts and
// controls.
func scaleHostCmd() *cobra.Command {
	logPath := ""
	cmd := &cobra.Command{
		Use:    "scale-host",
		Short:  "run hollow agents as commands on standard input say",
		Hidden: true,
		Args:   cobra.NoArgs,
		Long: "Runs agents without client traffic, many in this process. Commands are read as JSON, one a line, from\n" +
			"standard input, and events are written to standard output: internal/scaletest/protocol.go has their\n" +
			"forms. The end of the input ends all agents.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			debug.SetGCPercent(agentGCPercent)
			if logPath == "" {
				return scaletest.ServeHost(cmd.Context(), cmd.InOrStdin(), cmd.OutOrStdout(), io.Discard)
			}
			log, err := openAppend(logPath)
			if err != nil {
				return err
			}
			defer func() { _ = log.Close() }() // a lost log line is no error of the run
			return scaletest.ServeHost(cmd.Context(), cmd.InOrStdin(), cmd.OutOrStdout(), log)
		}}
	cmd.Flags().StringVar(&logPath, "log", "",
		"file to which the agents' log lines are appended; default: they are formatted and dropped")
	return cmd
}
