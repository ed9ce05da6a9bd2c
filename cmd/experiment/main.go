// Command experiment runs fleets of the real agent in an emulator with injected faults, compares ways to run them, and
// shows how far the emulator can be trusted. It also runs the scale tests and prints the capacity model. See
// docs/LAB.md and docs/CAPACITY.md.
//
// It ends with status 0 when it has done what it was told, and with 1 after an error, which it prints to standard error
// on one line: a file that cannot be read or has an error, a scenario or plan that this machine is too small for, a
// check of "trust" that fails, or an interruption. A run that is not valid, or in which an operating rule was broken,
// is no error: the report says so.
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

// execute runs the command line until it is done or interrupted.
func execute() error {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	return root().ExecuteContext(ctx)
}

// root returns the command with all its subcommands.
func root() *cobra.Command {
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

// progress returns a function that prints what happens if standard error is a terminal, else nil.
func progress() func(string, ...any) {
	if !isatty.IsTerminal(os.Stderr.Fd()) {
		return nil
	}
	return func(format string, args ...any) {
		message := fmt.Sprintf(format, args...)
		fmt.Fprintf(os.Stderr, "%s  %s\n", time.Now().Format(time.TimeOnly), message)
	}
}

// checkout returns the top directory of the checkout that the command runs in; empty: it runs in none.
func checkout(ctx context.Context) string {
	top, err := exec.CommandContext(ctx, "git", "rev-parse", "--show-toplevel").Output()
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(top))
}
