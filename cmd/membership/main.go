// Command membership shows operators what the agents of a site see of each other ("view"), and runs the membership's
// fault experiments: clusters of the real agent on this machine with injected faults ("experiment"; "figures" prints
// the table of earlier ones).
//
// Tables go to standard output, errors to standard error. The exit status is 0 if the command did what it should, and
// 1 otherwise: if the command line or a file can't be used; for "view" without --json also if an agent does not answer
// or digests differ; and for "experiment" and "figures" also if a run failed or the experiment was interrupted.
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
		_, _ = fmt.Fprintln(os.Stderr, "membership:", err) // there is nowhere else to report it
		return exitFailed
	}
	return exitOK
}

// rootCommand is the command line with all its commands.
func rootCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:           "membership",
		Short:         "the agents' membership, and its experiments",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	cmd.AddCommand(viewCommand(), experimentCommand(), figuresCommand())
	return cmd
}
