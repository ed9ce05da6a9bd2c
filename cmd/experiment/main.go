// Command experiment runs fleets of the real agent in an emulator with injected faults, compares variants of them, and
// validates the emulator. It also runs the scale tests and prints the capacity model. See docs/LAB.md and
// docs/CAPACITY.md.
//
// The exit status is 0 on success and 1 after an error, which is printed to standard error on one line. Errors are a
// file that can't be read or is invalid, a scenario or plan that this machine is too small for, a failed check of
// "trust", and an interruption. Runs that are not valid and violations of the operating rules are not errors; they are
// listed in the report.
package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/mattn/go-isatty"
	"github.com/spf13/cobra"
)

func main() {
	if err := execute(); err != nil {
		fmt.Fprintln(os.Stderr, "experiment:", err)
		os.Exit(1)
	}
}

// execute runs the command line until it is done or interrupted by SIGINT or SIGTERM.
func execute() error {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	return rootCmd().ExecuteContext(ctx)
}

// rootCmd returns the root command with all subcommands.
func rootCmd() *cobra.Command {
	cmd := &cobra.Command{
		Use:           "experiment",
		Short:         "run fleets of the real agent in an emulator",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	cmd.AddCommand(runCmd(), reportCmd(), compareCmd(), drawCmd(), trustCmd())
	cmd.AddCommand(scaleCmd(), scaleHostCmd(), capacityCmd())
	return cmd
}

// progress returns a function that prints progress messages to standard error, or nil if that is not a terminal.
func progress() func(string, ...any) {
	if !isatty.IsTerminal(os.Stderr.Fd()) {
		return nil
	}
	return func(format string, args ...any) {
		message := fmt.Sprintf(format, args...)
		fmt.Fprintf(os.Stderr, "%s  %s\n", time.Now().Format(time.TimeOnly), message)
	}
}

// checkout returns the root of the git checkout that the command runs in, or an empty string if it runs in none.
func checkout(ctx context.Context) string {
	top, err := exec.CommandContext(ctx, "git", "rev-parse", "--show-toplevel").Output()
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(top))
}
