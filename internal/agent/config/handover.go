package config

import (
	"fernbeam.example/fernbeam/internal/agent/handover"
	"fernbeam.example/fernbeam/internal/endpoint"
)

const (
	// handoverBytesPerServer is what the saved state takes for a server: in the file, in the one that replaces it, and
	// while it is encoded.
	handoverBytesPerServer = 512
	// handoverDivisor determines the greatest size of the file with the saved state: 1/handoverDivisor of the memory.
	handoverDivisor = 32
)

// WithHandedOverList returns a copy of the configuration whose initial list is one that another process handed over.
func (c *Config) WithHandedOverList(list *handover.List) *Config {
	next := *c
	next.InitialList = endpoint.List{Version: list.Version, Full: true, Servers: list.Servers}
	next.InitialListOrigin = &list.Origin
	return &next
}

// InitialListVersion returns the version of the initial list at the configured addresses of discovery, or 0 if the list
// may be from another service, whose versions mean nothing to this one. The list of the file is taken to be from the
// address that both the file and the environment have.
func (c *Config) InitialListVersion() uint64 {
	known := c.DiscoveryChoice.HasOneAddress()
	if c.InitialListOrigin != nil {
		known = c.InitialListOrigin.IsFrom(c.DiscoveryAddresses())
	}
	if !known {
		return 0
	}
	return c.InitialList.Version
}

// WithInheritedDiscovery returns a copy of the configuration, which was read at a start, for a process that starts
// after one with the given choice of the address of discovery.
func (c *Config) WithInheritedDiscovery(before handover.DiscoveryChoice) *Config {
	choice := before.Next(c.DiscoveryChoice.Environment, c.DiscoveryChoice.File)
	if !isHostPort(choice.Address()) {
		return c
	}
	next := *c
	next.DiscoveryChoice = choice
	next.Discovery = choice.Address()
	return &next
}

// WithSavedState returns a copy of the configuration for a process that saves its state in a file, which counts as
// memory.
func (c *Config) WithSavedState() *Config {
	next := *c
	next.savesState = true
	return &next
}

// MaxHandoverBytes returns the greatest size of the file with the saved state, in bytes.
func (c *Config) MaxHandoverBytes() int { return int(c.MemoryBytes()) / handoverDivisor }

// savedStateBytes returns the memory that is reserved for the saved state.
func (c *Config) savedStateBytes() int64 {
	if !c.savesState {
		return 0
	}
	return int64(min(len(c.InitialList.Servers)*handoverBytesPerServer, 2*c.MaxHandoverBytes()))
}
