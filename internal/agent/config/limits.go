package config

import (
	"fernbeam.example/fernbeam/internal/agent/memory"
	"fernbeam.example/fernbeam/internal/membership"
)

const (
	// minSockets is the smallest allowed limit on descriptors. It leaves a few connections to each side, in addition to
	// the reserve.
	minSockets = 64
	// fixedSockets is the number of descriptors that a process always needs: three for the standard streams, two for the
	// network poller, two for its listeners, one for the lock, four for calls to discovery, one for the file read at a
	// reload or the saved state, and one for a connection that is accepted before another is closed.
	fixedSockets = 14
	// maxAdminConns is the maximum number of admin connections, however large the reserve of descriptors is.
	maxAdminConns = 24
	// reserveDivisor determines the reserve: 1/reserveDivisor of the descriptors, which neither side may use for
	// connections.
	reserveDivisor = 8
	bytesPerMiB    = 1 << 20
	// minReserve is enough for two processes to run side by side with two admin connections each.
	minReserve = 2 * (fixedSockets + 2)
)

// Memory returns the parts of the process's memory.
func (c *Config) Memory() memory.Limits {
	conns := c.connsPerSide()
	return memory.Divide(c.MemoryBytes()-c.savedStateBytes(), conns, conns, len(c.InitialList.Servers))
}

// MaxClientConns returns the maximum number of client connections, as far as descriptors and memory allow.
func (c *Config) MaxClientConns() int { return c.Memory().ClientConns }

// MaxServerConns returns the maximum number of connections to servers, as far as descriptors and memory allow.
func (c *Config) MaxServerConns() int { return c.Memory().ServerConns }

// connsPerSide returns how many connections the descriptors allow on each side, to clients and to servers: half of the
// descriptors outside the reserve, which is for admin connections and fixedSockets.
func (c *Config) connsPerSide() int {
	sockets := c.ownSockets()
	reserve := max(sockets/reserveDivisor, minReserve)
	return (sockets - reserve) / 2
}

// MaxAdminConns returns the maximum number of admin connections of each process if the given number of processes share
// the reserve.
func (c *Config) MaxAdminConns(processes int) int {
	reserve := c.ownSockets() - 2*c.connsPerSide()
	return min(reserve/processes-fixedSockets, maxAdminConns)
}

// ownSockets returns the number of descriptors that are not used by the membership view.
func (c *Config) ownSockets() int {
	if c.Membership == nil {
		return c.Sockets
	}
	return c.Sockets - membership.MaxDescriptors
}

// MemoryBytes returns the memory limit of the process, in bytes.
func (c *Config) MemoryBytes() int64 { return int64(c.MemoryMB) * bytesPerMiB }

// MemoryLimit returns the soft memory limit for the Go runtime, in bytes. The runtime does not count the pages of the
// program, so that it is well below the limit at which the process would be killed.
func (c *Config) MemoryLimit() int64 { return c.Memory().Runtime }
