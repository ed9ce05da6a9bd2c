package agent

import (
	"log/slog"
	"net"
	"slices"
	"time"

	"fernbeam.example/fernbeam/internal/balancer"
	"fernbeam.example/fernbeam/internal/clock"
	"fernbeam.example/fernbeam/internal/endpoint"
	"fernbeam.example/fernbeam/internal/membership"
)

// longestWait is how long a deadline counts for the platform at the most.
const maxCountedTimeout = 3 * time.Second

// Config is what the platform tells one agent, validated.
type Config struct {
	Name      string
	Listen    string
	Discovery string
	// Management is where operators call; empty: nowhere.
	Management string
	Seed       uint64
	Cores      float64
	MemoryMB   int
	Sockets    int
	Known      List
	Settings   balancer.Settings
	Zones      []string // names of zones and of machine kinds, by the number the module knows
	Kinds      []string
	// Fleet is how this agent and the others keep a view of each other; nil: they do not.
	Fleet *membership.Config
	// Control is what the list service tells beside the list, and where; nil: nothing.
	Control *Control

	// What follows is no part of the file: who runs the agent sets it, before the start.

	// Log takes the agent's lines; nil: slog.Default().
	Log *slog.Logger
	// Hooks are told what happens.
	Hooks Hooks
	// Clock is the machine's; nil: the system's.
	Clock clock.Clock
	// CallFrom is the address that calls to discovery come from; nil: the system's choice.
	CallFrom net.IP

	text            map[string]any     // the file, to compare the next with
	serviceSettings *endpoint.Settings // those in force, where the list service told them
}

// Hooks are called when something has happened, each where it is not nil, from goroutines of the
// agent's own: one that waits holds up the agent.
type Hooks struct {
	// OnList is told each version of the list once the module has it: the one known at the start
	// too, if it has one, and of two answers of one version the first.
	OnList func(version uint64)
	// OnSettings is told when other settings are in force, and their version: 0 for those that a
	// file brought, as it has none.
	OnSettings func(version uint64)
	// OnMemoryLimit is told the bytes that the process should keep within from now on, where it
	// shares its limits with another.
	OnMemoryLimit func(bytes int64)
}

func (c *Config) systemClock() clock.Clock {
	if c.Clock == nil {
		return clock.System()
	}
	return c.Clock
}

func (c *Config) logger() *slog.Logger {
	if c.Log == nil {
		return slog.Default()
	}
	return c.Log
}

// addresses are those of discovery, each once, "discovery" first.
func (c *Config) addresses() []string {
	all := []string{c.Discovery}
	if c.Control != nil {
		for _, addr := range c.Control.Addresses {
			if !slices.Contains(all, addr) {
				all = append(all, addr)
			}
		}
	}
	return all
}

// heldFor is how long requests are held after SIGTERM at the most. SIGKILL comes no sooner
// than the longest deadline (but longestWait) and 0.7 s after it: what came while connections
// still did has its whole time up to that, and its final answer well before the kill.
func (c *Config) drainTime() time.Duration {
	held := 100 * time.Millisecond
	for _, class := range c.Settings.Classes {
		held = max(held, min(milliseconds(class.TotalTimeoutMs), maxCountedTimeout)+50*time.Millisecond)
	}
	return drainAcceptTime + held
}

// settingsVersion is that of the settings in force, 0 where they are the file's.
func (c *Config) settingsVersion() uint64 {
	if c.serviceSettings == nil {
		return 0
	}
	return c.serviceSettings.Version
}
