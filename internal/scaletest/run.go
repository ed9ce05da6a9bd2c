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

// Config is how a plan is played.
type Config struct {
	Plan        *Plan
	Target      *Target
	Agent       string   // the built agent (bin/agent)
	Discovery   string   // the built list service (bin/discovery)
	HostCommand []string // the command line of a host process
	Directory   string   // for configurations, logs and the list service's data
	Commit      string   // of the programs
	// Progress is told what happens; nil: nobody.
	Progress func(format string, args ...any)
	// Done is called with each run as it ends.
	OnRun func(*capacity.Run) error
}

// startTries is how many fleets are started where one does not come to one view at its start. Each
// that does not is a run that does not count, and is recorded.
const maxFleetStarts = 3

// Play plays a plan: each repeat of each size on a fleet of its own, on which its days follow
// each other. A day in which regions lose each other has another fleet, whose packets pass a
// relay. A size that this machine can't hold is an error that says what it takes, before anything
// is started; where ctx ends all that was started is ended, and what was done was given to Done.
func Run(ctx context.Context, cfg Config) error {
	if cfg.Progress == nil {
		cfg.Progress = func(string, ...any) {}
	}
	if err := cfg.Plan.CheckMachine(); err != nil {
		return err
	}
	var straight, relayed []string
	for _, d := range cfg.Plan.Days {
		if d == "region" {
			relayed = append(relayed, d)
		} else {
			straight = append(straight, d)
		}
	}
	for repeat := 1; repeat <= cfg.Plan.Repeats; repeat++ {
		for _, hollow := range cfg.Plan.Sizes {
			for _, names := range [][]string{straight, relayed} {
				if err := cfg.runDays(ctx, hollow, repeat, names); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// fleet plays days on fleets of one size: on one, unless that does not settle before a day.
func (cfg *Config) runDays(ctx context.Context, hollow, repeat int, names []string) error {
	for tries := 0; len(names) > 0; {
		played, err := cfg.runOnFleet(ctx, hollow, repeat, names)
		if ctx.Err() != nil {
			return errors.New("interrupted")
		}
		if err != nil {
			return fmt.Errorf("%d hollow agents, repeat %d, %s: %w", hollow, repeat, names[min(played, len(names)-1)], err)
		}
		if names = names[played:]; played > 0 {
			tries = 0
		} else if tries++; tries == maxFleetStarts {
			cfg.Progress("%d hollow agents: %d fleets did not settle, %v is not played", hollow, tries, names)
			return nil
		}
	}
	return nil
}

// one starts a fleet and plays days on it, as far as it settles before each.
func (cfg *Config) runOnFleet(ctx context.Context, hollow, repeat int, names []string) (played int, err error) {
	dir, err := os.MkdirTemp(cfg.Directory, "fleet")
	if err != nil {
		return 0, err
	}
	p := cfg.Plan
	seed := p.Seed + uint64(repeat) - 1
	f := &fleet{plan: p, size: hollow + p.Real, listedServers: p.ListedServers, directory: dir, random: rand.New(rand.NewPCG(seed, uint64(hollow))),
		trackers: newTrackers(), meters: map[string]*counterCarry{}}
	if f.listedServers == 0 {
		f.listedServers = f.size
	}
	defer f.close()
	if slices.Contains(names, "region") {
		if f.packetRelay, err = faultproxy.New(seed); err != nil {
			return 0, err
		}
	}
	cfg.Progress("%d hollow and %d real agents, repeat %d: starting", hollow, p.Real, repeat)
	if err := f.start(ctx, cfg, hollow); err != nil {
		return 0, fmt.Errorf("start: %w", err)
	}
	for _, name := range names {
		run := &capacity.Run{Plan: p.Name, Commit: cfg.Commit, Day: name, Repeat: repeat, Seed: seed, Size: f.size, Hollow: hollow, Real: p.Real,
			DiscoveryInstances: p.DiscoveryInstances, ListedServers: f.listedServers, RateFactor: p.RateFactor}
		ok, err := f.playDay(ctx, cfg, run)
		if err != nil {
			return played, err
		}
		if err := cfg.OnRun(run); err != nil {
			return played, err
		}
		if !ok {
			return played, nil
		}
		played++
	}
	return played, nil
}

// day plays one day on a fleet and fills its record. It is not played (false) where the fleet does
// not settle before it.
func (f *fleet) playDay(ctx context.Context, cfg *Config, run *capacity.Run) (bool, error) {
	// Those whose machine failed on the day before are there again.
	if err := f.forEach(ctx, f.membersRunning(false), f.startMember); err != nil {
		return false, err
	}
	apart, err := f.awaitConvergence(ctx, true)
	if err != nil {
		return false, err
	}
	if apart != "" {
		run.Invalid = append(run.Invalid, fmt.Sprintf("not played: before the day, after %v, %s", convergenceTimeout, apart))
		cfg.Progress("%s: %s", run.Day, run.Invalid[0])
		return false, nil
	}
	select {
	case <-time.After(settleDelay):
	case <-ctx.Done():
		return false, ctx.Err()
	}
	cfg.Progress("%d hollow agents, repeat %d: %s", run.Hollow, run.Repeat, run.Day)
	f.trackers.forEach((*tracker).reset)
	steps, missing := days[run.Day](f, cfg.Target)
	before, err := f.sample(ctx)
	if err != nil {
		return false, err
	}
	w, err := startMachineMonitor()
	if err != nil {
		return false, err
	}
	began := time.Now()
	err = f.runSteps(ctx, steps)
	run.Seconds = time.Since(began).Seconds()
	faults, werr := w.finish()
	if err = errors.Join(err, werr); err != nil {
		return false, err
	}
	after, err := f.sample(ctx)
	if err != nil {
		return false, err
	}
	run.Roles = f.roleMetrics(before, after)
	run.Missing, run.Invalid = append(missing, neverMeasured...), faults
	for _, role := range []struct {
		name string
		runs int
	}{{capacity.RoleHollow, len(after.hollow)}, {capacity.RoleReal, f.realAgents.runningCount()}} {
		if told := run.Roles[role.name].Count; told < role.runs {
			run.Missing = append(run.Missing, fmt.Sprintf("the figures of %d of %d %s agents: they did not tell them at its beginning or its end", role.runs-told, role.runs, role.name))
		}
	}
	if apart, err = f.awaitConvergence(ctx, false); err != nil {
		return false, err
	}
	run.Converged = apart == ""
	if apart != "" {
		cfg.Progress("%s: at its end, after %v, %s", run.Day, convergenceTimeout, apart)
	}
	return true, f.recordInForceTimes(run)
}

// notMeasured is what no run can tell.
var neverMeasured = []string{
	"heap_mb, alloc_kb_s and goroutines of real agents: their process does not tell them",
	"servers of real agents are those that are not draining: their process tells no others",
}

// tellTimes fills the times from acknowledged to in force.
func (f *fleet) recordInForceTimes(run *capacity.Run) error {
	for _, m := range f.membersRunning(true) {
		if m.host == nil {
			if err := f.realAgents.readLog(m.name); err != nil {
				return err
			}
		}
	}
	for _, kind := range []string{kindList, kindSettings} {
		changes := f.trackers[kind].count()
		if changes == 0 {
			continue
		}
		times, missing, err := f.trackers[kind].latencies()
		if err != nil {
			return err
		}
		if run.InForce == nil {
			run.InForce = map[string]capacity.Latencies{}
		}
		run.Changes += changes
		run.InForce[kind] = times
		if missing > 0 {
			run.Missing = append(run.Missing, fmt.Sprintf("%s in force: %d pairs of change and real agent, whose log left lines out", kind, missing))
		}
	}
	return nil
}
