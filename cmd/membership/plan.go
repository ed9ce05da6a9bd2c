package main

import (
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

// keyError says that a key of a plan has an invalid value.
type keyError struct {
	key     string
	problem string
}

// Error names the key and what is wrong with its value.
func (e *keyError) Error() string { return fmt.Sprintf("key %s: %s", e.key, e.problem) }

// invalid returns a *keyError.
func invalid(key, format string, args ...any) error {
	return &keyError{key: key, problem: fmt.Sprintf(format, args...)}
}

// check tells why a plan can't be run; its error is a *keyError.
func (p plan) check() error {
	for _, name := range p.Cases {
		if !isCase(name) {
			return invalid("cases", "there is no case %q", name)
		}
	}
	switch {
	case p.Runs < 0:
		return invalid("runs", "must be 0 or more, is %d", p.Runs)
	case p.Agents < minAgents:
		return invalid("agents", "must be %d at least, is %d", minAgents, p.Agents)
	case p.Seeds < 1 || p.Seeds >= p.Agents:
		return invalid("seeds", "must be above 0 and below the %d agents, is %d", p.Agents, p.Seeds)
	}
	return nil
}

// isCase tells whether there is a fault case of a name.
func isCase(name string) bool {
	return slices.ContainsFunc(membershiptest.Cases, func(c membershiptest.Case) bool { return c.Name == name })
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
