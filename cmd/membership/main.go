// Command membership shows how the agents of a site see each other ("view"), runs fault experiments on clusters of the
// real agent on this machine ("experiment"), and prints the metrics of earlier experiments ("figures").
//
// Tables go to standard output and errors to standard error. The exit status is 0 on success. It is 1 if the command
// line or a file can't be used; for "view" without --json also if an agent does not respond or the digests differ; and
// for "experiment" and "figures" also if a run failed or the experiment was interrupted.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// The exit statuses.
const (
	exitOK     = 0
	exitFailed = 1
)

func main() { os.Exit(run()) }

// run executes the command line and returns the exit status.
func run() int {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	if err := rootCommand().ExecuteContext(ctx); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "membership:", err) // an error in writing to stderr can't be reported
		return exitFailed
	}
	return exitOK
}

// rootCommand returns the root command with its subcommands.
func rootCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:           "membership",
		Short:         "inspect the membership of agents and run experiments on it",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	cmd.AddCommand(viewCommand(), experimentCommand(), figuresCommand())
	return cmd
}
