package main

import (
	"fmt"
	"slices"
	"time"

	"github.com/BurntSushi/toml"

	"fernbeam.example/fernbeam/internal/membership"
	"fernbeam.example/fernbeam/internal/membershiptest"
)

// minAgents is the minimum number of agents that the fault cases need.
const minAgents = 5

// The defaults of a plan. The help text of the experiment command repeats them.
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

// plan is the plan of an experiment, a TOML file. Durations have Go's format, such as "300ms". The help text of the
// experiment command lists the defaults of missing keys.
type plan struct {
	Binary string        `toml:"binary"` // path of the agent binary
	Agents int           `toml:"agents"`
	Seeds  int           `toml:"seeds"`
	Seed   uint64        `toml:"seed"`
	Runs   int           `toml:"runs"`  // number of runs of each case, each with its own seed
	Cases  []string      `toml:"cases"` // names of the cases; empty means all
	Costs  time.Duration `toml:"costs"` // how long traffic, CPU, memory and latency are measured

	membershiptest.Scale

	ProbeInterval  time.Duration `toml:"probe_interval"`
	SuspectTimeout time.Duration `toml:"suspect_timeout"`
	Settle         time.Duration `toml:"settle"`
	Forget         time.Duration `toml:"forget"`
	Reclaim        time.Duration `toml:"reclaim"`
	Reconnect      time.Duration `toml:"reconnect"`
}

// defaultPlan returns the plan of an empty file.
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

// loadPlan reads and checks a plan. An error about an unknown key or an invalid value names the key.
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

// keyError reports an invalid value of a key in a plan.
type keyError struct {
	key     string
	problem string
}

// Error returns the key and the problem with its value.
func (e *keyError) Error() string { return fmt.Sprintf("key %s: %s", e.key, e.problem) }

// invalid returns a *keyError.
func invalid(key, format string, args ...any) error {
	return &keyError{key: key, problem: fmt.Sprintf(format, args...)}
}

// check returns a *keyError if the plan is invalid.
func (p plan) check() error {
	for _, name := range p.Cases {
		if !isCase(name) {
			return invalid("cases", "unknown case %q", name)
		}
	}
	switch {
	case p.Runs < 0:
		return invalid("runs", "must be at least 0, is %d", p.Runs)
	case p.Agents < minAgents:
		return invalid("agents", "must be at least %d, is %d", minAgents, p.Agents)
	case p.Seeds < 1 || p.Seeds >= p.Agents:
		return invalid("seeds", "must be above 0 and below the number of agents, %d, is %d", p.Agents, p.Seeds)
	}
	return nil
}

// isCase reports whether there is a fault case with the given name.
func isCase(name string) bool {
	return slices.ContainsFunc(membershiptest.Cases, func(c membershiptest.Case) bool { return c.Name == name })
}

// hasCase reports whether the plan includes a case.
func (p plan) hasCase(name string) bool { return len(p.Cases) == 0 || slices.Contains(p.Cases, name) }

// membershipConfig returns the membership configuration with the plan's timings.
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

// toMs returns a duration in whole milliseconds.
func toMs(d time.Duration) int { return int(d.Milliseconds()) }
