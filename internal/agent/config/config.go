// Package config reads and validates the configuration of an agent: its file, the environment, and the settings from
// the discovery service. A Config in use is never modified, only replaced.
package config

import (
	"context"
	"log/slog"
	"net"
	"slices"
	"time"

	"fernbeam.example/fernbeam/internal/agent/handover"
	"fernbeam.example/fernbeam/internal/balancer"
	"fernbeam.example/fernbeam/internal/clock"
	"fernbeam.example/fernbeam/internal/endpoint"
	"fernbeam.example/fernbeam/internal/membership"
)

// Config is the validated configuration of one agent.
type Config struct {
	Name string
	// Listen is the address on which clients connect, and Discovery the first address of the discovery service.
	Listen    string
	Discovery string
	// DiscoveryChoice tells where Discovery is from.
	DiscoveryChoice handover.DiscoveryChoice
	// FileSum is a checksum of the file's text.
	FileSum uint32
	// AdminAddr is the address of the admin endpoint; empty if there is none.
	AdminAddr string
	Seed      uint64
	Cores     float64
	MemoryMB  int // MiB
	Sockets   int // maximum number of file descriptors of the process
	// InitialList is the endpoint list in force until discovery has responded.
	InitialList endpoint.List
	// InitialListOrigin is the origin of InitialList if another process has handed it over, else nil.
	InitialListOrigin *handover.Origin
	Settings          balancer.Settings
	// Membership is the configuration of the membership view that the agents keep; nil if they keep none.
	Membership *membership.Config
	// Control selects what the discovery service sends in addition to the list, and from which further addresses. It is
	// nil if the file has no section "control".
	Control *Control

	// The fields below are not part of the file; the host process of the agent sets them before the start.

	// Log is the agent's logger; nil means slog.Default().
	Log *slog.Logger
	// Hooks are called on events of the agent.
	Hooks Hooks
	// Clock is the machine's clock; nil means the system clock.
	Clock clock.Clock
	// Dial opens connections to servers; nil means DialTCP.
	Dial DialFunc
	// DiscoveryLocalIP is the local address of calls to discovery; nil lets the system choose.
	DiscoveryLocalIP net.IP

	document        document           // the decoded file, for comparison with the next one
	startDocument   document           // the decoded file of the start, once another has replaced it; nil before
	savesState      bool               // the process saves its state in a file
	serviceSettings *endpoint.Settings // settings in force if they came from the discovery service, else nil
}

// DialFunc opens a connection to a server before the deadline.
type DialFunc func(ctx context.Context, addr string, deadline time.Time) (net.Conn, error)

// DialTCP is the default DialFunc. Other DialFuncs use it to open the connections that they wrap.
func DialTCP(ctx context.Context, addr string, deadline time.Time) (net.Conn, error) {
	dialer := net.Dialer{Deadline: deadline, KeepAlive: -1}
	return dialer.DialContext(ctx, "tcp", addr)
}

// Hooks are functions that are called on events of the agent. A nil hook is not called. Hooks are called from
// goroutines of the agent and must not block, because the agent waits for them.
type Hooks struct {
	// OnList is called with each version of the endpoint list after it has been passed to the policy, including the list
	// known at the start, if any. If two responses have the same version, it is called only for the first.
	OnList func(version uint64)
	// OnSettings is called when new settings are in force, with their version, or 0 if they came from a file, which has no
	// version.
	OnSettings func(version uint64)
	// OnMemoryLimit is called with the number of bytes that the process should stay within from now on, when it shares its
	// limits with another process.
	OnMemoryLimit func(bytes int64)
	// OnFileReplaced is called when another process of the agent has read a configuration file that differs from the one
	// that this process has read.
	OnFileReplaced func()
}

// SystemClock returns Clock, or the system clock if Clock is nil.
func (c *Config) SystemClock() clock.Clock {
	if c.Clock == nil {
		return clock.System()
	}
	return c.Clock
}

// Logger returns Log, or slog.Default() if Log is nil.
func (c *Config) Logger() *slog.Logger {
	if c.Log == nil {
		return slog.Default()
	}
	return c.Log
}

// Dialer returns Dial, or DialTCP if Dial is nil.
func (c *Config) Dialer() DialFunc {
	if c.Dial == nil {
		return DialTCP
	}
	return c.Dial
}

// DiscoveryAddresses returns the addresses of discovery without duplicates, starting with Discovery.
func (c *Config) DiscoveryAddresses() []string {
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

// SettingsVersion returns the version of the settings, or 0 if they came from the file.
func (c *Config) SettingsVersion() uint64 {
	if c.serviceSettings == nil {
		return 0
	}
	return c.serviceSettings.Version
}
