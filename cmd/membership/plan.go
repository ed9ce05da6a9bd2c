package main

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/BurntSushi/toml"

	"fernbeam.example/fernbeam/internal/membership"
	"fernbeam.example/fernbeam/internal/membershiptest"
)

// minAgents is the least number of agents that the fault cases need.
const minAgents = 5

// The defaults of a plan; --help names them too.
const (
	defaultBinary         = "bin/agent"
	defaultAgents         = 24
	defaultSeeds          = 3
	defaultSeed           = 1
	defaultRuns           = 1
	defaultShortPartition = 5 * time.Second
	defaultLongPartition  = 45 * time.Second
	defaultPause          = 3 * time.Second
	defaultFaultTime      = 20 * time.Second
	defaultLossTime       = time.Minute
	defaultConvergeWithin = 2 * time.Minute
	defaultForget         = 10 * time.Second
)

// plan is the TOML file of an experiment. Times are such as "300ms"; what is left out has the value that --help names.
type plan struct {
	Binary string        `toml:"binary"` // the built agent
	Agents int           `toml:"agents"`
	Seeds  int           `toml:"seeds"`
	Seed   uint64        `toml:"seed"`
	Runs   int           `toml:"runs"`  // of each case, each on a cluster of its own seed
	Cases  []string      `toml:"cases"` // empty: all
	Costs  time.Duration `toml:"costs"` // how long traffic, CPU, memory and latency are measured

	membershiptest.Scale

	ProbeInterval  time.Duration `toml:"probe_interval"`
	SuspectTimeout time.Duration `toml:"suspect_timeout"`
	Settle         time.Duration `toml:"settle"`
	Forget         time.Duration `toml:"forget"`
	Reclaim        time.Duration `toml:"reclaim"`
	Reconnect      time.Duration `toml:"reconnect"`
}

// defaultPlan is the plan of an empty file.
func defaultPlan() plan {
	return plan{
		Binary: defaultBinary,
		Agents: defaultAgents,
		Seeds:  defaultSeeds,
		Seed:   defaultSeed,
		Runs:   defaultRuns,
		Scale: membershiptest.Scale{
			ShortPartition: defaultShortPartition,
			LongPartition:  defaultLongPartition,
			Pause:          defaultPause,
			FaultTime:      defaultFaultTime,
			LossTime:       defaultLossTime,
			ConvergeWithin: defaultConvergeWithin,
		},
		Forget: defaultForget,
	}
}

// loadPlan reads a plan; the error names an unknown key or an invalid value.
func loadPlan(path string) (plan, error) {
	p := defaultPlan()
	metadata, err := toml.DecodeFile(path, &p)
	if err != nil {
		return p, fmt.Errorf("%s: %w", path, err)
	}
	if unknown := metadata.Undecoded(); len(unknown) > 0 {
		return p, fmt.Errorf("%s: unknown key %q", path, unknown[0].String())
	}
	if err := p.check(); err != nil {
		return p, fmt.Errorf("%s: %w", path, err)
	}
	return p, nil
}

// check tells why a plan can't be run.
func (p plan) check() error {
	known := map[string]bool{}
	for _, c := range membershiptest.Cases {
		known[c.Name] = true
	}
	for _, name := range p.Cases {
		if !known[name] {
			return fmt.Errorf("key cases: there is no case %q", name)
		}
	}
	if p.Runs < 0 {
		return errors.New("key runs: below zero")
	}
	if p.Agents < minAgents || p.Seeds < 1 || p.Seeds >= p.Agents {
		return fmt.Errorf("keys agents, seeds: %d agents at least, and more than seeds", minAgents)
	}
	return nil
}

// hasCase tells whether the plan has a case.
func (p plan) hasCase(name string) bool { return len(p.Cases) == 0 || slices.Contains(p.Cases, name) }

// membershipConfig are the timings of the agents' memberships.
func (p plan) membershipConfig() membership.Config {
	return membership.Config{
		ProbeIntervalMs:  toMs(p.ProbeInterval),
		SuspectTimeoutMs: toMs(p.SuspectTimeout),
		SettleMs:         toMs(p.Settle),
		ForgetMs:         toMs(p.Forget),
		ReclaimMs:        toMs(p.Reclaim),
		ReconnectMs:      toMs(p.Reconnect),
	}
}

// toMs is a time in whole milliseconds.
func toMs(d time.Duration) int { return int(d.Milliseconds()) }
