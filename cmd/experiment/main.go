// Command experiment runs fleets of the real agent in an emulated world with troubles, compares
// ways to run them, and shows how far it can be trusted. docs/LAB.md is its page.
package main

import (
	"context"
	"fmt"
	"io"
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
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	if err := root().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "experiment:", err)
		os.Exit(1)
	}
}

func root() *cobra.Command {
	cmd := &cobra.Command{Use: "experiment", Short: "fleets of the real agent in an emulated world", SilenceUsage: true, SilenceErrors: true}
	cmd.AddCommand(runCmd(), reportCmd(), compareCmd(), drawCmd(), trustCmd())
	cmd.AddCommand(scaleCmd(), scaleHostCmd(), capacityCmd())
	return cmd
}

// progress tells a person at a terminal what happens, and nobody else.
func progress() func(string, ...any) {
	if !isatty.IsTerminal(os.Stderr.Fd()) {
		return nil
	}
	return func(format string, args ...any) {
		fmt.Fprintf(os.Stderr, "%s  "+format+"\n", append([]any{time.Now().Format("15:04:05")}, args...)...)
	}
}

func runCmd() *cobra.Command {
	var binary, record, logs string
	cmd := &cobra.Command{Use: "run FILE.toml", Short: "play a scenario: each arm on each seed, in turn", Args: cobra.ExactArgs(1),
		Long: "Plays a scenario, adds each run to the record, and prints the report. Times in it are such as\n" +
			"\"300ms\"; \"experiment draw\" prints whole scenarios. The troubles:\n\n" + troubles(),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := experiment.Load(args[0])
			if err != nil {
				return err
			}
			to, err := os.OpenFile(record, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
			if err != nil {
				return err
			}
			defer to.Close()
			dir, err := os.MkdirTemp(logs, "experiment")
			if err != nil {
				return err
			}
			if logs == "" {
				defer os.RemoveAll(dir)
			}
			var recs []*experiment.Record
			err = experiment.Run(cmd.Context(), experiment.Config{Scenario: s, Binary: binary, Repository: checkout(), Dir: dir, Progress: progress(),
				Done: func(r *experiment.Record) error {
					recs = append(recs, r)
					return r.Write(to)
				}})
			if len(recs) > 0 {
				if rerr := experiment.Report(cmd.OutOrStdout(), recs); err == nil {
					err = rerr
				}
			}
			return err
		}}
	cmd.Flags().StringVar(&binary, "binary", "bin/agent", "the built agent, for arms without a commit")
	cmd.Flags().StringVar(&record, "record", "experiment.jsonl", "file to which each run is added")
	cmd.Flags().StringVar(&logs, "logs", "", "directory in which the agents' logs stay; default: none does")
	return cmd
}

// checkout is the directory of the checkout that this command runs in, or empty.
func checkout() string {
	top, _ := exec.Command("git", "rev-parse", "--show-toplevel").Output()
	return strings.TrimSpace(string(top))
}

func troubles() string {
	var b strings.Builder
	does := experiment.FaultDescriptions()
	for _, k := range experiment.FaultKinds() {
		fmt.Fprintf(&b, "  %-16s %s\n", k, does[k])
	}
	return b.String()
}

// records reads the runs of several files.
func records(files []string) (recs []*experiment.Record, err error) {
	for _, path := range files {
		f, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		some, err := experiment.ReadRecords(f)
		f.Close()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		recs = append(recs, some...)
	}
	return recs, nil
}

func reportCmd() *cobra.Command {
	var plots, format string
	cmd := &cobra.Command{Use: "report RECORD...", Short: "print what records hold, and draw their plots", Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, files []string) error {
			recs, err := records(files)
			if err != nil {
				return err
			}
			if plots != "" {
				paths, err := experiment.Plot(recs, plots, format)
				if err != nil {
					return err
				}
				fmt.Fprintln(cmd.OutOrStdout(), strings.Join(paths, "\n"))
			}
			return experiment.Report(cmd.OutOrStdout(), recs)
		}}
	cmd.Flags().StringVar(&plots, "plots", "", "directory to draw into; empty: nothing is drawn")
	cmd.Flags().StringVar(&format, "format", "svg", "svg or png")
	return cmd
}

func compareCmd() *cobra.Command {
	return &cobra.Command{Use: "compare BASE ARM RECORD...", Short: "print the paired differences of two arms", Args: cobra.MinimumNArgs(3),
		RunE: func(cmd *cobra.Command, args []string) error {
			recs, err := records(args[2:])
			if err != nil {
				return err
			}
			diffs, err := experiment.Compare(recs, args[0], args[1])
			if err != nil {
				return err
			}
			for _, d := range diffs {
				fmt.Fprintf(cmd.OutOrStdout(), "%-28s %10.4g %10.4g  %+.4g ± %.4g over %d pairs\n", d.Metric, d.Base, d.Arm, d.Mean, d.HalfWidth, d.Pairs)
			}
			return nil
		}}
}

func drawCmd() *cobra.Command {
	var seed uint64
	var agents, nodes int
	var length time.Duration
	cmd := &cobra.Command{Use: "draw KIND", Short: "print a scenario of a kind: " + strings.Join(experiment.ScenarioKinds(), ", "), Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return experiment.Generate(cmd.OutOrStdout(), args[0], seed, agents, nodes, length)
		}}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "what its sizes are drawn from")
	cmd.Flags().IntVar(&agents, "agents", 12, "agents")
	cmd.Flags().IntVar(&nodes, "nodes", 12, "price nodes")
	cmd.Flags().DurationVar(&length, "length", 30*time.Second, "of the traffic")
	return cmd
}

func trustCmd() *cobra.Command {
	cmd := &cobra.Command{Use: "trust", Short: "show how far the emulator can be trusted"}
	var first uint64
	var seeds int
	var length time.Duration
	queues := &cobra.Command{Use: "queues", Short: "compare one node's waits with queueing theory", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			fmt.Fprintln(cmd.OutOrStdout(), "| queue | theory, ms | measured, ms | |\n| --- | --- | --- | --- |")
			return waits(cmd.OutOrStdout(), first, seeds, length)
		}}
	queues.Flags().Uint64Var(&first, "seed", 1, "the first")
	queues.Flags().IntVar(&seeds, "seeds", 8, "runs of each")
	queues.Flags().DurationVar(&length, "length", 15*time.Second, "of a run")
	var figure string
	rank := &cobra.Command{Use: "rank RECORD BEST NEXT...", Short: "tell whether arms come out in a known order, such as the bench's of older commits",
		Args: cobra.MinimumNArgs(3),
		RunE: func(cmd *cobra.Command, args []string) error {
			recs, err := records(args[:1])
			if err != nil {
				return err
			}
			return experiment.CheckRanking(cmd.OutOrStdout(), recs, figure, args[1:])
		}}
	rank.Flags().StringVar(&figure, "figure", "in time", "the figure to rank by, more being better")
	cmd.AddCommand(queues, rank)
	return cmd
}

func waits(out io.Writer, first uint64, seeds int, length time.Duration) (err error) {
	for _, q := range experiment.QueueChecks {
		if werr := q.Run(out, first, seeds, length); err == nil {
			err = werr
		}
	}
	return err
}
