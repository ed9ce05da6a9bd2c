package experiment

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"sync"
	"syscall"
	"time"

	"fernbeam.example/fernbeam/internal/emulator"
	"fernbeam.example/fernbeam/internal/faultproxy"
	"fernbeam.example/fernbeam/internal/processtest"
)

// faultStream is the first of the streams of random numbers for the faults.
const faultStream = 100

// Config says how a scenario is run.
type Config struct {
	Scenario   *Scenario
	Binary     string // the built agent, for arms without a commit
	Repository string // the checkout from which commits are built; empty: none can be built
	Dir        string // for configurations, logs and builds
	// Progress is called with what happens; it may be nil.
	Progress func(format string, args ...any)
	// OnRecord is called with each run as it ends; its error ends the experiment.
	OnRecord func(*Record) error
}

// Run runs all arms on all seeds: on each seed the arms in turn, beginning with another one.
func Run(ctx context.Context, config Config) error {
	if config.Progress == nil {
		config.Progress = func(string, ...any) {}
	}
	scenario := config.Scenario
	if err := scenario.checkMachine(); err != nil {
		return err
	}
	programs, err := config.buildPrograms(ctx)
	if err != nil {
		return err
	}
	for n := range scenario.Seeds {
		seed := scenario.Seed + uint64(n)
		for i := range scenario.Arms {
			arm := scenario.Arms[(i+n)%len(scenario.Arms)]
			config.Progress("seed %d (%d of %d), arm %q", seed, n+1, scenario.Seeds, arm.Name)
			record, err := config.runArm(ctx, arm, programs[arm.Commit], seed)
			if err != nil {
				return fmt.Errorf("arm %q, seed %d: %w", arm.Name, seed, err)
			}
			if err := config.OnRecord(record); err != nil {
				return err
			}
		}
	}
	return nil
}

// armRun is one run: an arm on a seed.
type armRun struct {
	scenario       *Scenario
	arm            Arm
	seed           uint64
	emulator       *emulator.Emulator
	emulatorConfig emulator.Config
	proxy          *faultproxy.Proxy // between the agents; nil: they have no membership section
	processes      *processtest.Cluster
	names          []string // of the agents
	agentIndex     map[string]int
	finished       chan struct{} // closed when the traffic has ended
}

// newArmRun returns a run of an arm on a seed, with its emulator started and without agents.
func newArmRun(scenario *Scenario, arm Arm, seed uint64) (r *armRun, err error) {
	r = &armRun{
		scenario:       scenario,
		arm:            arm,
		seed:           seed,
		emulatorConfig: scenario.emulatorConfig(seed),
		agentIndex:     map[string]int{},
		finished:       make(chan struct{}),
	}
	for i, agent := range r.emulatorConfig.Agents {
		r.names = append(r.names, agent.Name)
		r.agentIndex[agent.Name] = i
	}
	r.emulator, err = emulator.New(r.emulatorConfig)
	return r, err
}

// runArm runs an arm on a seed.
func (cfg *Config) runArm(ctx context.Context, arm Arm, program string, seed uint64) (*Record, error) {
	dir, err := os.MkdirTemp(cfg.Dir, "run")
	if err != nil {
		return nil, err
	}
	r, err := newArmRun(cfg.Scenario, arm, seed)
	if err != nil {
		return nil, err
	}
	defer r.emulator.Close()
	defer r.closeAgents()
	harnessBefore := processorSeconds(syscall.RUSAGE_SELF)
	agentsBefore := processorSeconds(syscall.RUSAGE_CHILDREN)
	if err := r.prepareAgents(dir, program); err != nil {
		return nil, err
	}
	if err := r.startAgents(ctx); err != nil {
		return nil, err
	}
	record := &Record{
		Scenario: cfg.Scenario.Name,
		Arm:      arm.Name,
		Seed:     seed,
		Commit:   Revision(ctx, arm.Commit, program, cfg.Repository),
		Machine:  machineDescription(),
		Length:   cfg.Scenario.Length,
	}
	r.runTraffic(ctx, record)
	if ctx.Err() != nil {
		return nil, errors.New("interrupted")
	}
	for _, name := range r.names {
		if !r.processes.Running(name) {
			record.AgentError = name + " ended by itself"
		}
	}
	r.processes.Close()
	record.HarnessCPU = processorSeconds(syscall.RUSAGE_SELF) - harnessBefore
	record.AgentsCPU = processorSeconds(syscall.RUSAGE_CHILDREN) - agentsBefore
	record.Valid = len(record.Result.Errors) == 0
	return record, nil
}

// runTraffic runs the clients and the faults, and fills in the result and the views. It returns when all is over; the
// end of the context ends the traffic early.
func (r *armRun) runTraffic(ctx context.Context, record *Record) {
	var background sync.WaitGroup
	faultErrors := make(chan error, len(r.scenario.Faults))
	r.injectFaults(&background, faultErrors)
	stop := context.AfterFunc(ctx, func() {
		r.emulator.Stop()
		r.processes.Close()
	})
	if r.proxy != nil {
		background.Add(1)
		go func() {
			defer background.Done()
			record.Views = r.sampleViews(ctx)
		}()
	}
	record.Result = r.emulator.Run(ctx, r.scenario.Length)
	stop()
	close(r.finished)
	background.Wait()
	close(faultErrors)
	for err := range faultErrors {
		record.Result.Errors = append(record.Result.Errors, err.Error())
	}
}

// injectFaults sets the faults of the traffic and starts the others, each of which waits for its time in a goroutine
// of the group.
func (r *armRun) injectFaults(group *sync.WaitGroup, faultErrors chan<- error) {
	var changes []emulator.TrafficChange
	for i, fault := range r.scenario.Faults {
		effect := faultEffects[fault.Kind]
		if effect.trafficChange != nil {
			changes = append(changes, effect.trafficChange(fault))
			continue
		}
		// Each has random numbers of its own, so that what it hits does not depend on the times of the others.
		random := rand.New(rand.NewPCG(r.seed, faultStream+uint64(i)))
		group.Add(1)
		go func() {
			defer group.Done()
			r.wait(fault.At)
			if err := effect.inject(r, fault, random); err != nil {
				faultErrors <- fmt.Errorf("%s: %w", fault.Kind, err)
			}
		}()
	}
	r.emulator.SetTrafficChanges(changes...)
}

// wait waits for a time, or until the traffic has ended.
func (r *armRun) wait(d time.Duration) {
	select {
	case <-time.After(d):
	case <-r.finished:
	}
}

// processorSeconds returns the processor time of this process, or of its children that have ended.
func processorSeconds(who int) float64 {
	var usage syscall.Rusage
	if syscall.Getrusage(who, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()).Seconds()
}

// machineDescription describes this machine for a record.
func machineDescription() string {
	return fmt.Sprintf("%d processors, %s/%s, %s", runtime.NumCPU(), runtime.GOOS, runtime.GOARCH, runtime.Version())
}
