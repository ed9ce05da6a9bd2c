// Command experiment runs fleets of the real agent in an emulator with injected faults, compares ways to run them, and
// shows how far the emulator can be trusted. It also runs the scale tests and prints the capacity model. See
// docs/LAB.md and docs/CAPACITY.md.
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

	"fernbeam.example/fernbeam/internal/experiment"
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
		fmt.Fprintf(os.Stderr, "%s  %s\n", time.Now().Format("15:04:05"), message)
	}
}

// checkout returns the top directory of the checkout that the command runs in; empty: it runs in none.
func checkout() string {
	top, err := exec.Command("git", "rev-parse", "--show-toplevel").Output()
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(top))
}

// openAppend opens a file to which records are added.
func openAppend(path string) (*os.File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
}

// readRecords reads the records of several files.
func readRecords(paths []string) (records []*experiment.Record, err error) {
	for _, path := range paths {
		fromFile, err := readRecordFile(path)
		if err != nil {
			return nil, err
		}
		records = append(records, fromFile...)
	}
	return records, nil
}

// readRecordFile reads the records of one file.
func readRecordFile(path string) ([]*experiment.Record, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	records, err := experiment.ReadRecords(file)
	_ = file.Close() // it was only read
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return records, nil
}

func reportCmd() *cobra.Command {
	var plots, format string
	cmd := &cobra.Command{
		Use:   "report RECORD...",
		Short: "print a report of records, and draw their plots",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, paths []string) error {
			records, err := readRecords(paths)
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
	cmd.Flags().StringVar(&plots, "plots", "", "directory to draw into; empty: nothing is drawn")
	cmd.Flags().StringVar(&format, "format", "svg", "svg or png")
	return cmd
}

func compareCmd() *cobra.Command {
	return &cobra.Command{
		Use:   "compare BASE ARM RECORD...",
		Short: "print the paired differences of two arms",
		Args:  cobra.MinimumNArgs(3),
		RunE: func(cmd *cobra.Command, args []string) error {
			base, arm, paths := args[0], args[1], args[2:]
			records, err := readRecords(paths)
			if err != nil {
				return err
			}
			differences, err := experiment.Compare(records, base, arm)
			if err != nil {
				return err
			}
			for _, d := range differences {
				_, err := fmt.Fprintf(cmd.OutOrStdout(), "%-62s %10.4g %10.4g  %+.4g ± %.4g over %d pairs\n",
					d.Metric, d.Base, d.Arm, d.Mean, d.HalfWidth, d.Pairs)
				if err != nil {
					return err
				}
			}
			return nil
		},
	}
}

func drawCmd() *cobra.Command {
	var seed uint64
	var agents, servers int
	var length time.Duration
	cmd := &cobra.Command{
		Use:   "draw KIND",
		Short: "print a generated scenario of a kind: " + strings.Join(experiment.ScenarioKinds(), ", "),
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return experiment.Generate(cmd.OutOrStdout(), args[0], seed, agents, servers, length)
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of the scenario's magnitudes")
	cmd.Flags().IntVar(&agents, "agents", 12, "number of agents")
	cmd.Flags().IntVar(&servers, "nodes", 12, "number of servers")
	cmd.Flags().DurationVar(&length, "length", 30*time.Second, "length of the traffic")
	return cmd
}

func trustCmd() *cobra.Command {
	cmd := &cobra.Command{Use: "trust", Short: "show how far the emulator can be trusted"}
	cmd.AddCommand(trustQueuesCmd(), trustRankCmd())
	return cmd
}

func trustQueuesCmd() *cobra.Command {
	var first uint64
	var seeds int
	var length time.Duration
	cmd := &cobra.Command{
		Use:   "queues",
		Short: "compare the waits in one server with queueing theory",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			const header = "| queue | theory, ms | measured, ms | |\n| --- | --- | --- | --- |"
			if _, err := fmt.Fprintln(cmd.OutOrStdout(), header); err != nil {
				return err
			}
			// All are run, whether one of them fails or not; their rows show which ones did.
			var firstError error
			for _, check := range experiment.QueueChecks {
				if err := check.Run(cmd.OutOrStdout(), first, seeds, length); firstError == nil {
					firstError = err
				}
			}
			return firstError
		},
	}
	cmd.Flags().Uint64Var(&first, "seed", 1, "the first seed")
	cmd.Flags().IntVar(&seeds, "seeds", 8, "number of runs of each queue")
	cmd.Flags().DurationVar(&length, "length", 15*time.Second, "length of a run")
	return cmd
}

func trustRankCmd() *cobra.Command {
	var metric string
	cmd := &cobra.Command{
		Use:   "rank RECORD BEST NEXT...",
		Short: "check that arms come out in a known order, such as the bench's order of older commits",
		Args:  cobra.MinimumNArgs(3),
		RunE: func(cmd *cobra.Command, args []string) error {
			path, arms := args[0], args[1:]
			records, err := readRecords([]string{path})
			if err != nil {
				return err
			}
			return experiment.CheckRanking(cmd.OutOrStdout(), records, experiment.FindMetric(metric), arms)
		},
	}
	cmd.Flags().StringVar(&metric, "figure", "in time", "metric to rank by, greater being better")
	return cmd
}
