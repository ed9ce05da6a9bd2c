package main

import (
	"io"
	"os"
	"runtime/debug"

	"github.com/spf13/cobra"

	"fernbeam.example/fernbeam/internal/scaletest"
)

// scaleHostCmd is a process of hollow agents, which "experiment scale" starts and orders about.
func scaleHostCmd() *cobra.Command {
	var log string
	cmd := &cobra.Command{Use: "scale-host", Short: "run hollow agents as orders on standard input say", Hidden: true, Args: cobra.NoArgs,
		Long: "Runs agents without client traffic, many in this process. Orders come as JSON, one a line, on\n" +
			"standard input, and what happens is told so on standard output: internal/scaletest/hostwire.go has\n" +
			"their forms. The end of the input ends all.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			debug.SetGCPercent(400) // as agent has it
			to := io.Discard
			if log != "" {
				f, err := os.OpenFile(log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
				if err != nil {
					return err
				}
				defer f.Close()
				to = f
			}
			return scaletest.ServeHost(cmd.Context(), cmd.InOrStdin(), cmd.OutOrStdout(), to)
		}}
	cmd.Flags().StringVar(&log, "log", "", "file to which the agents' lines are added; default: they are made and dropped")
	return cmd
}
