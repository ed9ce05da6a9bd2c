package scaletest

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"

	"fernbeam.example/fernbeam/internal/capacity"
	"fernbeam.example/fernbeam/internal/processtest"
)

// targetFile is the deployment's target.
const targetFile = "../../deploy/target.toml"

// programsDir is the directory of the programs that the tests start.
var programsDir string

// buildPrograms builds the programs once for all tests.
var buildPrograms = sync.OnceValue(func() error {
	return processtest.Build(context.Background(), programsDir, "agent", "discovery", "experiment")
})

// programs builds the programs if necessary and returns their directory.
func programs(t *testing.T) string {
	t.Helper()
	if err := buildPrograms(); err != nil {
		t.Fatal(err)
	}
	return programsDir
}

func TestMain(m *testing.M) {
	var err error
	if programsDir, err = os.MkdirTemp("", "scale"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(programsDir) // a temporary directory that can't be removed does no harm
	os.Exit(code)
}

// runProfilesOfSize runs load profiles at one size and returns their records.
func runProfilesOfSize(t *testing.T, hollow int, profiles ...capacity.Profile) []*capacity.Run {
	t.Helper()
	p := SmallPlan()
	p.Sizes, p.Profiles, p.Seconds = []int{hollow}, profiles, minRunSeconds
	return runPlan(t, p)
}

// runPlan carries out a plan of one size and returns its records.
func runPlan(t *testing.T, p *Plan) []*capacity.Run {
	t.Helper()
	bin := programs(t)
	target, err := capacity.LoadTarget(targetFile)
	if err != nil {
		t.Fatal(err)
	}
	var runs []*capacity.Run
	err = Run(context.Background(), Config{
		Plan:        p,
		Target:      target,
		Directory:   t.TempDir(),
		Commit:      "test",
		Agent:       filepath.Join(bin, "agent"),
		Discovery:   filepath.Join(bin, "discovery"),
		HostCommand: []string{filepath.Join(bin, "experiment"), "scale-host"},
		Progress:    t.Logf,
		OnRun: func(r *capacity.Run) error {
			runs = append(runs, r)
			return nil
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(runs) != len(p.Profiles) {
		t.Fatalf("%d runs of %d load profiles", len(runs), len(p.Profiles))
	}
	return runs
}

// requireConverged checks that the changes of a run came into force at all agents, and that the fleet converged.
func requireConverged(t *testing.T, r *capacity.Run) {
	t.Helper()
	if !r.Converged {
		t.Errorf("%d hollow, %s: the agents have not converged on one membership snapshot and the newest list",
			r.Hollow, r.Profile)
	}
	if _, ok := r.InForce["settings"]; ok {
		t.Errorf("%d hollow, %s: changes of settings in a plan without them", r.Hollow, r.Profile)
	}
	times := r.InForce["list"]
	if times.NeverInForce > 0 {
		t.Errorf("%d hollow, %s: %d pairs of a change and an agent where it never came into force",
			r.Hollow, r.Profile, times.NeverInForce)
	}
	tooFew := r.Changes == 0 || times.Count < int64(r.Changes*r.Size/2) || times.Histogram == ""
	if r.Profile != capacity.ProfileQuiet && tooFew {
		t.Errorf("%d hollow, %s: %d changes with %d latencies", r.Hollow, r.Profile, r.Changes, times.Count)
	}
	if r.Roles[capacity.RoleHollow].Count < r.Hollow-1 || r.Roles[capacity.RoleReal].Count < r.Real-1 ||
		r.Roles[capacity.RoleLeader].Count != 1 || r.Roles[capacity.RoleFollower].Count != r.DiscoveryInstances-1 {
		t.Errorf("%d hollow, %s: too few or too many members in the roles %v", r.Hollow, r.Profile, r.Roles)
	}
}

// TestGrowthWithSize runs two small fleet sizes and checks that the messages of an agent do not grow with the fleet,
// that none of its metrics grows with the square of the size, and that changes come into force at all agents.
func TestGrowthWithSize(t *testing.T) {
	t.Parallel()
	sizes := []int{12, 30}
	runs := make([][]*capacity.Run, len(sizes))
	t.Run("sizes", func(t *testing.T) {
		for i, n := range sizes {
			t.Run(fmt.Sprint(n), func(t *testing.T) {
				t.Parallel()
				runs[i] = runProfilesOfSize(t, n, capacity.ProfileQuiet, capacity.ProfileOrdinary)
				for _, r := range runs[i] {
					requireConverged(t, r)
				}
			})
		}
		t.Run("faults", func(t *testing.T) {
			t.Parallel()
			for _, r := range runProfilesOfSize(t, 12, capacity.ProfileRollout, capacity.ProfileControl) {
				requireConverged(t, r)
			}
		})
		t.Run("regions", func(t *testing.T) {
			t.Parallel()
			for _, r := range runProfilesOfSize(t, 12, capacity.ProfileRegion) {
				requireConverged(t, r)
			}
		})
	})
	if t.Failed() {
		return
	}
	for profile := range runs[0] {
		small, large := runs[0][profile], runs[1][profile]
		square := float64(large.Size) / float64(small.Size)
		square *= square
		for _, role := range []capacity.Role{capacity.RoleHollow, capacity.RoleReal} {
			for metric := range large.Roles[role].Mean {
				if growth := excessiveGrowth(small, large, role, metric, square); growth != "" {
					t.Errorf("%s, %s: %s grows with %s: %.3g at %d agents, %.3g at %d", small.Profile, role, metric, growth,
						small.Roles[role].Mean[metric], small.Size, large.Roles[role].Mean[metric], large.Size)
				}
			}
		}
	}
}

// excessiveGrowth compares a metric of a small and a large fleet. If the metric grows too much, it returns what the
// metric grows with, otherwise "". Messages in a quiet run must not grow with the size of the fleet, and no metric may
// grow with the square of the size.
func excessiveGrowth(small, large *capacity.Run, role capacity.Role, metric capacity.MetricKey, square float64) string {
	before := small.Roles[role].Mean[metric]
	after := large.Roles[role].Mean[metric]
	tolerance := 1.0
	switch metric {
	case capacity.CPU:
		return "" // processor time is meaningless on a loaded machine
	case capacity.MessagesIn, capacity.MessagesOut:
		if small.Profile == capacity.ProfileQuiet && after > 1.6*before+tolerance {
			return "the fleet size"
		}
	case capacity.MembershipBytes, capacity.BytesIn, capacity.BytesOut:
		// Full lists are exchanged rarely, but one is a large part of the bytes of a short run.
		tolerance = 2000
	default: // the tolerance of 1 is for small values
	}
	if after > 0.9*square*before+tolerance {
		return "the square of the fleet size"
	}
	return ""
}

// TestSettingsReachAll changes settings while the discovery leader is killed. It checks that there is a latency for
// each pair of a change and an agent of its service, and that all running agents have the newest settings at the end.
func TestSettingsReachAll(t *testing.T) {
	t.Parallel()
	p := SmallPlan()
	p.Sizes = []int{12}
	p.Profiles = []capacity.Profile{capacity.ProfileControl}
	p.Seconds = minRunSeconds
	p.RateFactor = 6000
	p.SettingsFraction = 1
	r := runPlan(t, p)[0]
	times := r.InForce["settings"]
	_, hasList := r.InForce["list"]
	if hasList || !r.Converged || times.NeverInForce > 0 || r.Changes == 0 || times.Histogram == "" {
		t.Errorf("converged %v, %d changes, in force %+v", r.Converged, r.Changes, r.InForce)
	}
	// Two services share 15 agents, 3 of them real. A change has 7 or 8 pairs, of which at least 4 are with hollow agents,
	// which drop no reports.
	if times.Count < int64(4*r.Changes) || times.Count > int64(8*r.Changes) {
		t.Errorf("%d changes with %d latencies", r.Changes, times.Count)
	}
}
