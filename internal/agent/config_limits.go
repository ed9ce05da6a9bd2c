package agent

import (
	"fernbeam.example/fernbeam/internal/membership"
)

const (
	// minSockets leaves a few connections to each side beside the reserve.
	minSockets = 64
	// fixedSockets are what a process takes whatever comes: three streams, the poller's two,
	// its two listeners, the lock, four calls to discovery, the file that is read at a reload,
	// and one connection that is accepted before another is closed.
	fixedSockets = 14
	// leastReserve lets two processes stand side by side with two operators each.
	minReserve = 2 * (fixedSockets + 2)
)

// clientConns and backendConns divide the descriptors: neither side can take the other's, nor
// the reserve, which is for operators and what a process takes whatever comes.
func (c *Config) clientConns() int { return (c.ownSockets() - max(c.ownSockets()/8, minReserve)) / 2 }

func (c *Config) serverConns() int { return c.clientConns() }

// operatorConns are the operators' connections where the reserve is shared by so many processes.
func (c *Config) adminConns(processes int) int {
	reserve := c.ownSockets() - c.clientConns() - c.serverConns()
	return min(reserve/processes-fixedSockets, maxAdminConns)
}

// ownSockets are the descriptors but those that the fleet view takes, where there is one.
func (c *Config) ownSockets() int {
	if c.Fleet == nil {
		return c.Sockets
	}
	return c.Sockets - membership.Sockets
}

// MemoryLimit is the memory that the runtime is to keep within, long before the limit over
// which the agent would be killed.
func (c *Config) MemoryLimit() int64 { return int64(c.MemoryMB) << 20 * 3 / 4 }
