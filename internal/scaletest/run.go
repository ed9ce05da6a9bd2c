package scaletest

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"fernbeam.example/fernbeam/internal/capacity"
	"fernbeam.example/fernbeam/internal/faultproxy"
)

// Config has the parameters of Run.
type Config struct {
	Plan        *Plan
	Target      *capacity.Target
	Agent       string                           // path of the built agent (bin/agent)
	Discovery   string                           // path of the built discovery service (bin/discovery)
	HostCommand []string                         // command line of a host process
	Directory   string                           // for configurations, logs and discovery's data
	Commit      string                           // commit that the programs were built from
	Progress    func(format string, args ...any) // called with progress messages; may be nil
	OnRun       func(*capacity.Run) error        // called with the record of each run when it ends
}

// maxFleetStarts is the number of successive fleets that may fail to converge before their first run. After so many
// failures, each of which is recorded as an invalid run, the remaining load profiles are not run.
const maxFleetStarts = 3

// startDelay is the time from the convergence of a fleet to the start of the measured run.
const startDelay = 2 * time.Second

// errInterrupted is returned by Run if the context ends.
var errInterrupted = errors.New("interrupted")

// runner carries out a plan.
type runner struct{ Config }

// Run carries out a plan. Each repeat of each size starts a new fleet and runs the load profiles on it in order. The
// profile with a partition of regions runs on a separate fleet whose membership packets pass through a relay. Run
// returns an error before it starts anything if this machine can't run one of the sizes. If ctx ends, Run ends all
// processes that it started and returns an error; the runs completed by then have been passed to OnRun.
func Run(ctx context.Context, cfg Config) error {
	if cfg.Progress == nil {
		cfg.Progress = func(string, ...any) {}
	}
	if err := cfg.Plan.CheckMachine(); err != nil {
		return err
	}
	r := runner{cfg}
	var direct, relayed []capacity.Profile
	for _, profile := range cfg.Plan.Profiles {
		if profile == capacity.ProfileRegion {
			relayed = append(relayed, profile)
		} else {
			direct = append(direct, profile)
		}
	}
	for repeat := 1; repeat <= cfg.Plan.Repeats; repeat++ {
		for _, hollow := range cfg.Plan.Sizes {
			for _, profiles := range [][]capacity.Profile{direct, relayed} {
				if err := r.runProfiles(ctx, hollow, repeat, profiles); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// runProfiles runs load profiles on a fleet, and continues on a new one each time the fleet fails to converge before a
// run.
func (r *runner) runProfiles(ctx context.Context, hollow, repeat int, profiles []capacity.Profile) error {
	failures := 0
	for len(profiles) > 0 {
		done, err := r.runOnFleet(ctx, hollow, repeat, profiles)
		if ctx.Err() != nil {
			return errInterrupted
		}
		if err != nil {
			failed := profiles[min(done, len(profiles)-1)]
			return fmt.Errorf("%d hollow agents, repeat %d, %s: %w", hollow, repeat, failed, err)
		}
		profiles = profiles[done:]
		if done > 0 {
			failures = 0
			continue
		}
		failures++
		if failures == maxFleetStarts {
			r.Progress("%d hollow agents: %d fleets did not converge, skipping %s",
				hollow, failures, capacity.JoinProfiles(profiles))
			return nil
		}
	}
	return nil
}

// runOnFleet starts a fleet and runs load profiles on it until the fleet fails to converge before one of them. done is
// the number of profiles that were run.
func (r *runner) runOnFleet(
	ctx context.Context, hollow, repeat int, profiles []capacity.Profile,
) (done int, err error) {
	plan := r.Plan
	seed := plan.Seed + uint64(repeat) - 1
	f, err := r.newFleet(hollow, seed)
	if err != nil {
		return 0, err
	}
	defer f.close()
	if slices.Contains(profiles, capacity.ProfileRegion) {
		if f.packetRelay, err = faultproxy.New(seed); err != nil {
			return 0, err
		}
	}
	r.Progress("%d hollow and %d real agents, repeat %d: starting", hollow, plan.Real, repeat)
	if err := f.start(ctx, &r.Config, hollow); err != nil {
		return 0, fmt.Errorf("start the fleet: %w", err)
	}
	for _, profile := range profiles {
		run := f.newRun()
		run.Commit = r.Commit
		run.Profile = profile
		run.Repeat = repeat
		run.Seed = seed
		ok, err := f.runProfile(ctx, &r.Config, run)
		if err != nil {
			return done, err
		}
		if err := r.OnRun(run); err != nil {
			return done, err
		}
		if !ok {
			return done, nil
		}
		done++
	}
	return done, nil
}

// newFleet returns a fleet that is not started yet, with its own directory.
func (r *runner) newFleet(hollow int, seed uint64) (*fleet, error) {
	directory, err := os.MkdirTemp(r.Directory, "fleet")
	if err != nil {
		return nil, err
	}
	f := &fleet{
		plan:          r.Plan,
		size:          hollow + r.Plan.Real,
		listedServers: r.Plan.ListedServers,
		directory:     directory,
		random:        rand.New(rand.NewPCG(seed, uint64(hollow))),
		trackers:      newTrackers(),
		endedCounters: map[string]*counterTotals{},
	}
	if f.listedServers == 0 {
		f.listedServers = f.size
	}
	return f, nil
}

// newRun returns a record with the fields that all runs on the fleet have in common.
func (f *fleet) newRun() *capacity.Run {
	return &capacity.Run{
		Plan:               f.plan.Name,
		Size:               f.size,
		Hollow:             f.size - f.plan.Real,
		Real:               f.plan.Real,
		DiscoveryInstances: f.plan.DiscoveryInstances,
		ListedServers:      f.listedServers,
		RateFactor:         f.plan.RateFactor,
	}
}

// runProfile runs one load profile on a fleet and fills in its record. If the fleet does not converge before the run,
// it marks the record as invalid and returns false.
func (f *fleet) runProfile(ctx context.Context, cfg *Config, run *capacity.Run) (bool, error) {
	problem, err := f.prepareRun(ctx)
	if err != nil {
		return false, err
	}
	if problem != "" {
		run.Invalid = append(run.Invalid,
			fmt.Sprintf("not run: before its start, after %v, %s", convergenceTimeout, problem))
		cfg.Progress("%s: %s", run.Profile, run.Invalid[0])
		return false, nil
	}
	cfg.Progress("%d hollow agents, repeat %d: %s", run.Hollow, run.Repeat, run.Profile)
	f.trackers.forEach((*tracker).reset)
	if err := f.measureRun(ctx, loadProfiles[run.Profile](f, cfg.Target), run); err != nil {
		return false, err
	}
	problem, err = f.awaitConvergence(ctx)
	if err != nil {
		return false, err
	}
	run.Converged = problem == ""
	if problem != "" {
		cfg.Progress("%s: not converged %v after its end: %s", run.Profile, convergenceTimeout, problem)
	}
	return true, f.recordInForceTimes(run)
}

// prepareRun starts the members that the previous run left stopped, and waits until the fleet has converged. If it has
// not, problem says why.
func (f *fleet) prepareRun(ctx context.Context) (problem string, err error) {
	if err := f.forEach(ctx, f.endedMembers(), f.startMember); err != nil {
		return "", err
	}
	problem, err = f.awaitSettled(ctx)
	if err != nil || problem != "" {
		return problem, err
	}
	select {
	case <-time.After(startDelay):
		return "", nil
	case <-ctx.Done():
		return "", ctx.Err()
	}
}

// measureRun carries out a load profile's events and records the metrics of each role.
func (f *fleet) measureRun(ctx context.Context, s script, run *capacity.Run) error {
	before, err := f.sample(ctx)
	if err != nil {
		return err
	}
	monitor, err := startMachineMonitor()
	if err != nil {
		return err
	}
	start := time.Now()
	err = f.runEvents(ctx, s.events)
	run.Seconds = time.Since(start).Seconds()
	problems, monitorErr := monitor.finish()
	if err = errors.Join(err, monitorErr); err != nil {
		return err
	}
	after, err := f.sample(ctx)
	if err != nil {
		return err
	}
	run.Roles = f.roleMetrics(ctx, before, after)
	run.Invalid = problems
	run.Missing = slices.Concat(s.missing, neverMeasured)
	f.recordUnsampled(run, capacity.RoleHollow, len(after.hollow))
	f.recordUnsampled(run, capacity.RoleReal, f.realAgents.runningCount())
	return nil
}

// recordUnsampled records for how many of the running agents of a role there are no metrics.
func (f *fleet) recordUnsampled(run *capacity.Run, role capacity.Role, running int) {
	if sampled := run.Roles[role].Count; sampled < running {
		run.Missing = append(run.Missing, fmt.Sprintf(
			"the metrics of %d of %d %s agents: they did not report them at the beginning or the end",
			running-sampled, running, role))
	}
}

// neverMeasured lists what no run can measure.
var neverMeasured = []string{
	"heap_mb, alloc_kb_s and goroutines of real agents: their process does not report them",
	"servers of real agents are those that are not draining: their process reports no others",
}

// recordInForceTimes records the times from the acknowledgement of changes until they were in force.
func (f *fleet) recordInForceTimes(run *capacity.Run) error {
	for _, m := range f.runningMembers() {
		if m.hollow() {
			continue
		}
		if err := f.realAgents.readLog(m.name); err != nil {
			return err
		}
	}
	for _, kind := range changeKinds {
		changes := f.trackers[kind].count()
		if changes == 0 {
			continue
		}
		latencies, err := f.trackers[kind].latencies()
		if err != nil {
			return err
		}
		if run.InForce == nil {
			run.InForce = map[capacity.ChangeKind]capacity.Latencies{}
		}
		run.Changes += changes
		run.InForce[kind] = latencies.Latencies
		if latencies.unknown > 0 {
			run.Missing = append(run.Missing, fmt.Sprintf(
				"%s in force: %d pairs of change and real agent, whose log left lines out", kind, latencies.unknown))
		}
	}
	return nil
}
