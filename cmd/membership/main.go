// Command membership shows operators what the agents of a site see of each other, and runs the membership's fault
// experiments: clusters of the real agent on this machine with injected faults.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

func main() { os.Exit(run()) }

// run executes the command line and returns the exit status.
func run() int {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	if err := rootCommand().ExecuteContext(ctx); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "membership:", err) // there is nowhere else to report it
		return 1
	}
	return 0
}

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
