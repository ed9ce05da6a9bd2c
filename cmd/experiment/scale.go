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

// deprecatedProfilesFlag is the former name of the flag --profiles, which is still accepted.
const deprecatedProfilesFlag = "days"

// scaleFlags are the flags of `experiment scale`.
type scaleFlags struct {
	small    bool
	record   string
	target   string
	programs string
	logs     string
	sizes    []int
	profiles []string // names of capacity.Profile values
}

// scaleCmd returns the command `experiment scale`.
func scaleCmd() *cobra.Command {
	var flags scaleFlags
	cmd := &cobra.Command{
		Use:   "scale [PLAN.toml]",
		Short: "run load profiles on fleets of hollow and real agents and record each role's resource usage",
		Long: "Runs a plan: on fleets of each size, with real discovery instances, each load profile\n" +
			"(" + capacity.JoinProfiles(capacity.Profiles) + ")\n" +
			"at the target's rates for the size times the plan's factor. Appends each run to the record as it ends, and\n" +
			"prints the metrics of each role. A size that needs more than half of this machine's memory, or more than\n" +
			"300 processes, is rejected.",
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
	f.StringVar(&flags.record, "record", "", "file to which each run is appended as a line of JSON (default: none)")
	f.StringVar(&flags.target, "target", defaultCapacityInput().target,
		"file with the size that the system is designed for, and its rates")
	f.StringVar(&flags.programs, "programs", "bin", "directory of the agent and discovery programs")
	f.StringVar(&flags.logs, "logs", "", "directory for logs and configurations (default: they are removed)")
	f.IntSliceVar(&flags.sizes, "sizes", nil, "run only these of the plan's sizes")
	const profilesUsage = "run only these of the plan's load profiles"
	f.StringSliceVar(&flags.profiles, "profiles", nil, profilesUsage)
	f.StringSliceVar(&flags.profiles, deprecatedProfilesFlag, nil, profilesUsage)
	_ = f.MarkHidden(deprecatedProfilesFlag) // fails only for a flag that does not exist
	return cmd
}

// config returns the configuration of the runs that the command line selects.
func (flags *scaleFlags) config(ctx context.Context, args []string) (scaletest.Config, error) {
	plan, err := flags.plan(args)
	if err != nil {
		return scaletest.Config{}, err
	}
	target, err := capacity.LoadTarget(flags.target)
	if err != nil {
		return scaletest.Config{}, err
	}
	if err := plan.CheckMachine(); err != nil { // checked before any file is created
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

// plan returns the plan that the command line names, restricted to the sizes and load profiles in flags.
func (flags *scaleFlags) plan(args []string) (*scaletest.Plan, error) {
	plan, err := flags.loadPlan(args)
	if err != nil {
		return nil, err
	}
	for _, size := range flags.sizes {
		if !slices.Contains(plan.Sizes, size) {
			return nil, fmt.Errorf("--sizes: size %d is not in the plan, which has %v", size, plan.Sizes)
		}
	}
	var profiles []capacity.Profile
	for _, name := range flags.profiles {
		profile := capacity.Profile(name)
		if !slices.Contains(plan.Profiles, profile) {
			return nil, fmt.Errorf("--profiles: load profile %q is not in the plan, which has %s",
				name, capacity.JoinProfiles(plan.Profiles))
		}
		profiles = append(profiles, profile)
	}
	plan.Sizes = restrict(plan.Sizes, flags.sizes)
	plan.Profiles = restrict(plan.Profiles, profiles)
	return plan, nil
}

// loadPlan returns the plan that the command line names, with all its sizes and load profiles.
func (flags *scaleFlags) loadPlan(args []string) (*scaletest.Plan, error) {
	switch {
	case flags.small && len(args) > 0:
		return nil, errors.New("--small can't be combined with a plan file")
	case flags.small:
		return scaletest.SmallPlan(), nil
	case len(args) == 0:
		return nil, errors.New("a plan file or --small is required")
	}
	return scaletest.LoadPlan(args[0])
}

// restrict returns the values that are selected, or all values if the selection is empty. It may modify values.
func restrict[T comparable](values, selected []T) []T {
	if len(selected) == 0 {
		return values
	}
	return slices.DeleteFunc(values, func(v T) bool { return !slices.Contains(selected, v) })
}

// runScale runs a plan, appends each run to the record as it ends, and prints the metrics of all runs. Logs and
// configurations are kept in a directory in logs; if logs is empty, they are in a temporary directory that is removed.
func runScale(ctx context.Context, out io.Writer, cfg scaletest.Config, record, logs string) (err error) {
	for _, program := range []string{cfg.Agent, cfg.Discovery} {
		if _, err := os.Stat(program); err != nil {
			return fmt.Errorf("agent or discovery is not built: %w", err)
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
