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

// faultStream is the first stream of random numbers for faults; each fault has its own.
const faultStream = 100

// Config configures Run.
type Config struct {
	Scenario   *Scenario
	Binary     string // agent program for arms without a commit
	Repository string // git checkout that commits are built from; if empty, arms can't name commits
	Dir        string // for configurations, logs and builds
	// Progress, if not nil, is called with progress messages.
	Progress func(format string, args ...any)
	// OnRecord is called with the record of each run when the run ends. If it returns an error, the experiment stops.
	OnRecord func(*Record) error
}

// Run runs every arm with every seed. The arms run one after the other, starting with a different arm for each seed.
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

// armRun is the run of an arm with a seed.
type armRun struct {
	scenario       *Scenario
	arm            Arm
	seed           uint64
	emulator       *emulator.Emulator
	emulatorConfig emulator.Config
	proxy          *faultproxy.Proxy // between the agents; nil if they have no membership section
	processes      *processtest.Cluster
	names          []string       // of the agents
	agentIndex     map[string]int // by agent name
	finished       chan struct{}  // closed when the traffic has ended
}

// newArmRun returns a run of an arm with a seed. Its emulator is started; its agents are not.
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

// runArm runs an arm with a seed and returns the record.
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

// runTraffic runs the clients and the faults and sets the record's result and views. It returns when the traffic and
// all faults have ended. Cancelling the context ends the traffic early.
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

// injectFaults sets the traffic changes of the faults that change the traffic. For each other fault, it starts a
// goroutine in the group, which waits until the fault is due and injects it.
func (r *armRun) injectFaults(group *sync.WaitGroup, faultErrors chan<- error) {
	var changes []emulator.TrafficChange
	for i, fault := range r.scenario.Faults {
		effect := faultEffects[fault.Kind]
		if effect.trafficChange != nil {
			changes = append(changes, effect.trafficChange(fault))
			continue
		}
		// Each fault has its own random numbers, so that its targets do not depend on the timing of other faults.
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

// wait waits for the given time or until the traffic has ended.
func (r *armRun) wait(d time.Duration) {
	select {
	case <-time.After(d):
	case <-r.finished:
	}
}

// processorSeconds returns the processor time of this process (syscall.RUSAGE_SELF) or of its terminated children
// (syscall.RUSAGE_CHILDREN). It returns 0 on an error.
func processorSeconds(who int) float64 {
	var usage syscall.Rusage
	if syscall.Getrusage(who, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()).Seconds()
}

// machineDescription returns a description of this machine for records.
func machineDescription() string {
	return fmt.Sprintf("%d processors, %s/%s, %s", runtime.NumCPU(), runtime.GOOS, runtime.GOARCH, runtime.Version())
}
