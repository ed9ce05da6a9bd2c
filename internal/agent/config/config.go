// Package config reads and checks the configuration of an agent: its file, the environment, and settings of the
// discovery service. A Config is not changed once it is in use, but replaced.
package config

import (
	"context"
	"log/slog"
	"net"
	"slices"
	"time"

	"fernbeam.example/fernbeam/internal/balancer"
	"fernbeam.example/fernbeam/internal/clock"
	"fernbeam.example/fernbeam/internal/endpoint"
	"fernbeam.example/fernbeam/internal/membership"
)

// Config is the validated configuration of one agent.
type Config struct {
	Name string
	// Listen is where clients connect, and Discovery the first address of the discovery service.
	Listen    string
	Discovery string
	// AdminAddr is the address of the admin endpoint; empty: there is none.
	AdminAddr string
	Seed      uint64
	Cores     float64
	MemoryMB  int // MiB
	Sockets   int // descriptors that the process may have
	// Known is the endpoint list that is in force until discovery has responded.
	Known    endpoint.List
	Settings balancer.Settings
	// Zones and Kinds are the names of zones and of machine kinds, by the number that the policy knows.
	Zones []string
	Kinds []string
	// Membership is how this agent and the others keep a membership view; nil: they do not.
	Membership *membership.Config
	// Control is what the discovery service sends beside the list, and where; nil: nothing.
	Control *Control

	// The fields below are not in the file: the host of the agent sets them before the start.

	// Log takes the agent's lines; nil: slog.Default().
	Log *slog.Logger
	// Hooks are called when something has happened.
	Hooks Hooks
	// Clock is the machine's clock; nil: the system's.
	Clock clock.Clock
	// Dial opens connections to servers; nil: over TCP.
	Dial DialFunc
	// CallFrom is the address that calls to discovery come from; nil: the system's choice.
	CallFrom net.IP

	document        document           // the file as JSON, to compare the next one with
	serviceSettings *endpoint.Settings // those in force where they came from the discovery service
}

// DialFunc opens a connection to a server until a time.
type DialFunc func(ctx context.Context, addr string, until time.Time) (net.Conn, error)

// DialTCP is the DialFunc of an agent that is given no other; others call it to open the connections that they change.
func DialTCP(ctx context.Context, addr string, until time.Time) (net.Conn, error) {
	dialer := net.Dialer{Deadline: until, KeepAlive: -1}
	return dialer.DialContext(ctx, "tcp", addr)
}

// Hooks are called when something has happened, each where it is not nil, from goroutines of the agent: a hook
// that waits blocks the agent.
type Hooks struct {
	// OnList is called with each version of the endpoint list once the policy has it: also with the one known
	// at the start, if there is one, and only with the first of two responses of one version.
	OnList func(version uint64)
	// OnSettings is called when other settings are in force, with their version: 0 for those of a file, which
	// has none.
	OnSettings func(version uint64)
	// OnMemoryLimit is called with the bytes that the process should keep within from now on, where it shares
	// its limits with another process.
	OnMemoryLimit func(bytes int64)
}

// SystemClock is the machine's clock.
func (c *Config) SystemClock() clock.Clock {
	if c.Clock == nil {
		return clock.System()
	}
	return c.Clock
}

// Logger takes the agent's lines.
func (c *Config) Logger() *slog.Logger {
	if c.Log == nil {
		return slog.Default()
	}
	return c.Log
}

// Dialer opens the connections to servers.
func (c *Config) Dialer() DialFunc {
	if c.Dial == nil {
		return DialTCP
	}
	return c.Dial
}

// Addresses are the addresses of discovery without duplicates, "discovery" first.
func (c *Config) Addresses() []string {
	all := []string{c.Discovery}
	if c.Control == nil {
		return all
	}
	for _, addr := range c.Control.Addresses {
		if !slices.Contains(all, addr) {
			all = append(all, addr)
		}
	}
	return all
}

// SettingsVersion is the version of the settings, 0 where they are the file's.
func (c *Config) SettingsVersion() uint64 {
	if c.serviceSettings == nil {
		return 0
	}
	return c.serviceSettings.Version
}
