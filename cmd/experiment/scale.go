package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"fernbeam.example/fernbeam/internal/capacity"
	"fernbeam.example/fernbeam/internal/experiment"
	"fernbeam.example/fernbeam/internal/scaletest"
)

func scaleCmd() *cobra.Command {
	var programs, record, target, logs string
	var small bool
	var sizes []int
	var days []string
	cmd := &cobra.Command{Use: "scale [PLAN.toml]", Short: "play days on fleets of hollow and real agents and record what each role takes",
		Long: "Plays a plan: on fleets of each size, with the real list service, each day (" + strings.Join(scaletest.DayNames(), ", ") + ")\n" +
			"at the target's rates for the size, hurried. Adds each run to the record as it ends, and prints the figures\n" +
			"of each role. A size that this machine can't hold in half of its memory and 300 processes is refused.",
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			plan, err := scalePlan(args, small, sizes, days)
			if err != nil {
				return err
			}
			cfg := scaletest.Config{Plan: plan, Progress: progress(),
				Agent: filepath.Join(programs, "agent"), Discovery: filepath.Join(programs, "discovery")}
			cfg.Commit = experiment.Revision("", cfg.Agent, checkout())
			if cfg.Target, err = capacity.LoadTarget(target); err != nil {
				return err
			}
			if err := cfg.Plan.CheckMachine(); err != nil { // before anything is made
				return err
			}
			return playScale(cmd, cfg, record, logs)
		}}
	f := cmd.Flags()
	f.BoolVar(&small, "small", false, "play the built-in plan: 30 hollow and 3 real agents, within 45 s")
	f.StringVar(&record, "record", "", "file to which each run is added as a line of JSON; empty: none")
	f.StringVar(&target, "target", "deploy/target.toml", "the size and the rates that the operators told")
	f.StringVar(&programs, "programs", "bin", "directory of the built agent and discovery")
	f.StringVar(&logs, "logs", "", "directory in which logs and configurations stay; default: none does")
	f.IntSliceVar(&sizes, "sizes", nil, "play only these of the plan's sizes")
	f.StringSliceVar(&days, "days", nil, "play only these of the plan's days")
	return cmd
}

// scalePlan is the plan that the command line names, or a part of it.
func scalePlan(args []string, small bool, sizes []int, days []string) (*scaletest.Plan, error) {
	var plan *scaletest.Plan
	switch {
	case small && len(args) > 0:
		return nil, errors.New("--small has a plan of its own: no other can be named")
	case small:
		plan = scaletest.SmallPlan()
	case len(args) == 0:
		return nil, errors.New("a plan is needed, or --small")
	default:
		var err error
		if plan, err = scaletest.LoadPlan(args[0]); err != nil {
			return nil, err
		}
	}
	for _, s := range sizes {
		if !slices.Contains(plan.Sizes, s) {
			return nil, fmt.Errorf("--sizes: %d is no size of the plan, which has %v", s, plan.Sizes)
		}
	}
	for _, d := range days {
		if !slices.Contains(plan.Days, d) {
			return nil, fmt.Errorf("--days: %q is no day of the plan, which has %v", d, plan.Days)
		}
	}
	if len(sizes) > 0 {
		plan.Sizes = slices.DeleteFunc(plan.Sizes, func(s int) bool { return !slices.Contains(sizes, s) })
	}
	if len(days) > 0 {
		plan.Days = slices.DeleteFunc(plan.Days, func(d string) bool { return !slices.Contains(days, d) })
	}
	return plan, nil
}

// playScale plays a plan, records each run as it ends and prints the figures of all.
func playScale(cmd *cobra.Command, cfg scaletest.Config, record, logs string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	cfg.HostCommand = []string{self, "scale-host"}
	for _, program := range []string{cfg.Agent, cfg.Discovery} {
		if _, err := os.Stat(program); err != nil {
			return fmt.Errorf("a program that is played is not built: %w", err)
		}
	}
	if cfg.Directory, err = os.MkdirTemp(logs, "fernscale"); err != nil {
		return err
	}
	if logs == "" {
		defer os.RemoveAll(cfg.Directory)
	}
	var to *os.File
	if record != "" {
		if to, err = os.OpenFile(record, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644); err != nil {
			return err
		}
		defer to.Close()
	}
	var runs []*capacity.Run
	cfg.OnRun = func(r *capacity.Run) error {
		runs = append(runs, r)
		if to == nil {
			return nil
		}
		return json.NewEncoder(to).Encode(r)
	}
	err = scaletest.Run(cmd.Context(), cfg)
	return errors.Join(err, scaletest.PrintRuns(cmd.OutOrStdout(), runs))
}
