package config

import "fernbeam.example/fernbeam/internal/membership"

const (
	// minSockets leaves a few connections to each side beside the reserve.
	minSockets = 64
	// fixedSockets are the descriptors that a process always needs: three standard streams, two of the poller,
	// its two listeners, the lock, four calls to discovery, the file that is read at a reload, and one
	// connection that is accepted before another is closed.
	fixedSockets = 14
	// maxAdminConns bounds the admin connections, whatever the reserve of descriptors allows.
	maxAdminConns = 24
	// reserveDivisor is the part of the descriptors, as a divisor, that neither side's connections may use.
	reserveDivisor = 8
	// bytesPerMiB converts the memory limit.
	bytesPerMiB = 1 << 20
	// memoryLimitNumerator and memoryLimitDenominator make the part of the memory that MemoryLimit returns.
	memoryLimitNumerator, memoryLimitDenominator = 3, 4
	// minReserve lets two processes run side by side with two admin connections each.
	minReserve = 2 * (fixedSockets + 2)
)

// ClientConns is the number of client connections: half of the descriptors beside the reserve, which is for admin
// connections and for fixedSockets.
func (c *Config) ClientConns() int {
	sockets := c.ownSockets()
	reserve := max(sockets/reserveDivisor, minReserve)
	return (sockets - reserve) / 2
}

// ServerConns is the number of connections to servers: the other half.
func (c *Config) ServerConns() int { return c.ClientConns() }

// AdminConns is the number of admin connections of a process where the reserve is shared by so many processes.
func (c *Config) AdminConns(processes int) int {
	reserve := c.ownSockets() - c.ClientConns() - c.ServerConns()
	return min(reserve/processes-fixedSockets, maxAdminConns)
}

// ownSockets are the descriptors without those of the membership view, where there is one.
func (c *Config) ownSockets() int {
	if c.Membership == nil {
		return c.Sockets
	}
	return c.Sockets - membership.MaxDescriptors
}

// MemoryBytes is the memory that the process may have, in bytes.
func (c *Config) MemoryBytes() int64 { return int64(c.MemoryMB) * bytesPerMiB }

// MemoryLimit is the memory that the runtime should keep within, in bytes: well below the limit over which the
// agent would be killed.
func (c *Config) MemoryLimit() int64 {
	return c.MemoryBytes() * memoryLimitNumerator / memoryLimitDenominator
}
