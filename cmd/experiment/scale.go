package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"

	"github.com/spf13/cobra"

	"fernbeam.example/fernbeam/internal/capacity"
	"fernbeam.example/fernbeam/internal/experiment"
	"fernbeam.example/fernbeam/internal/scaletest"
)

// earlierProfilesFlag is the name of the flag --profiles in earlier versions.
const earlierProfilesFlag = "days"

// scaleFlags are the flags of `experiment scale`.
type scaleFlags struct {
	small    bool
	record   string
	target   string
	programs string
	logs     string
	sizes    []int
	profiles []string // of capacity.Profile
}

// scaleCmd is `experiment scale`.
func scaleCmd() *cobra.Command {
	var flags scaleFlags
	cmd := &cobra.Command{
		Use:   "scale [PLAN.toml]",
		Short: "run load profiles on fleets of hollow and real agents and record what each role takes",
		Long: "Carries out a plan: on fleets of each size, with real discovery instances, each load profile\n" +
			"(" + capacity.JoinProfiles(capacity.Profiles) + ")\n" +
			"at the target's rates for the size times the plan's factor. Adds each run to the record as it ends, and\n" +
			"prints the metrics of each role. A size that needs more than half of this machine's memory, or more than\n" +
			"300 processes, is refused.",
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			cfg, err := flags.config(cmd.Context(), args)
			if err != nil {
				return err
			}
			return runScale(cmd.Context(), cmd.OutOrStdout(), cfg, flags.record, flags.logs)
		}}
	f := cmd.Flags()
	f.BoolVar(&flags.small, "small", false, "run the built-in plan: 30 hollow and 3 real agents, within 45 s")
	f.StringVar(&flags.record, "record", "", "file to which each run is appended as a line of JSON; empty: none")
	f.StringVar(&flags.target, "target", defaultCapacityInput().target,
		"the size that the system is designed for, with its rates")
	f.StringVar(&flags.programs, "programs", "bin", "directory of the built agent and discovery")
	f.StringVar(&flags.logs, "logs", "", "directory in which logs and configurations are left; default: they are removed")
	f.IntSliceVar(&flags.sizes, "sizes", nil, "run only these of the plan's sizes")
	const profilesUsage = "run only these of the plan's load profiles"
	f.StringSliceVar(&flags.profiles, "profiles", nil, profilesUsage)
	f.StringSliceVar(&flags.profiles, earlierProfilesFlag, nil, profilesUsage)
	_ = f.MarkHidden(earlierProfilesFlag) // fails only for a flag that does not exist
	return cmd
}

// config is what the command line says to run.
func (flags *scaleFlags) config(ctx context.Context, args []string) (scaletest.Config, error) {
	plan, err := flags.plan(args)
	if err != nil {
		return scaletest.Config{}, err
	}
	target, err := capacity.LoadTarget(flags.target)
	if err != nil {
		return scaletest.Config{}, err
	}
	if err := plan.CheckMachine(); err != nil { // before any file is created
		return scaletest.Config{}, err
	}
	self, err := os.Executable()
	if err != nil {
		return scaletest.Config{}, err
	}
	agent := filepath.Join(flags.programs, "agent")
	return scaletest.Config{
		Plan:        plan,
		Target:      target,
		Agent:       agent,
		Discovery:   filepath.Join(flags.programs, "discovery"),
		HostCommand: []string{self, "scale-host"},
		Commit:      experiment.Revision(ctx, "", agent, checkout(ctx)),
		Progress:    progress(),
	}, nil
}

// plan is the plan that the command line names, restricted to its sizes and load profiles.
func (flags *scaleFlags) plan(args []string) (*scaletest.Plan, error) {
	plan, err := flags.wholePlan(args)
	if err != nil {
		return nil, err
	}
	for _, size := range flags.sizes {
		if !slices.Contains(plan.Sizes, size) {
			return nil, fmt.Errorf("--sizes: %d is no size of the plan, which has %v", size, plan.Sizes)
		}
	}
	var profiles []capacity.Profile
	for _, name := range flags.profiles {
		profile := capacity.Profile(name)
		if !slices.Contains(plan.Profiles, profile) {
			return nil, fmt.Errorf("--profiles: %q is no load profile of the plan, which has %s",
				name, capacity.JoinProfiles(plan.Profiles))
		}
		profiles = append(profiles, profile)
	}
	plan.Sizes = restrict(plan.Sizes, flags.sizes)
	plan.Profiles = restrict(plan.Profiles, profiles)
	return plan, nil
}

// wholePlan is the plan that the command line names.
func (flags *scaleFlags) wholePlan(args []string) (*scaletest.Plan, error) {
	switch {
	case flags.small && len(args) > 0:
		return nil, errors.New("--small has a plan of its own: no other can be named")
	case flags.small:
		return scaletest.SmallPlan(), nil
	case len(args) == 0:
		return nil, errors.New("a plan is needed, or --small")
	}
	return scaletest.LoadPlan(args[0])
}

// restrict are the values that are selected; all if the selection is empty.
func restrict[T comparable](values, selected []T) []T {
	if len(selected) == 0 {
		return values
	}
	return slices.DeleteFunc(values, func(v T) bool { return !slices.Contains(selected, v) })
}

// runScale carries out a plan, appends each run to the record as it ends, and prints the metrics of all. Logs
// and configurations are created below logs, or, if it is empty, in a temporary directory that is
// removed.
func runScale(ctx context.Context, out io.Writer, cfg scaletest.Config, record, logs string) (err error) {
	for _, program := range []string{cfg.Agent, cfg.Discovery} {
		if _, err := os.Stat(program); err != nil {
			return fmt.Errorf("a program that is run is not built: %w", err)
		}
	}
	directory, removeDirectory, err := workDirectory(logs)
	if err != nil {
		return err
	}
	defer removeDirectory()
	cfg.Directory = directory
	var recordFile *os.File
	if record != "" {
		recordFile, err = openAppend(record)
		if err != nil {
			return err
		}
		defer func() { err = errors.Join(err, recordFile.Close()) }()
	}
	var runs []*capacity.Run
	cfg.OnRun = func(r *capacity.Run) error {
		runs = append(runs, r)
		if recordFile == nil {
			return nil
		}
		return json.NewEncoder(recordFile).Encode(r)
	}
	err = scaletest.Run(ctx, cfg)
	return errors.Join(err, scaletest.PrintRuns(out, runs))
}
