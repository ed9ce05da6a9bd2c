package balancer

import (
	"encoding/binary"
)

// Addr is the address of a server: four bytes of IPv4 address and two bytes of port, big-endian. The
// policy only compares and hashes addresses, and returns them unchanged.
type Addr [6]byte

// Uint64 returns the address as a number: the IPv4 address, followed by the 16 bits of the port.
func (a Addr) Uint64() uint64 {
	return uint64(binary.BigEndian.Uint32(a[:]))<<16 | uint64(binary.BigEndian.Uint16(a[4:]))
}

// HealthState is the health of a listed server as observed by this agent.
type HealthState uint8

// The health states, best first.
const (
	Connected        HealthState = iota // the last response was successful
	Unknown                             // nothing is known about the server yet
	UnhealthyPending                    // the ejection time has passed; the server waits for a health check
	Unhealthy                           // ejected
)

// EndpointState is the state of a server in the endpoint list.
type EndpointState uint8

// The values of EndpointState.
const (
	Draining EndpointState = iota // accepts no new attempts; those in flight finish
	Ready                         // accepts attempts
	Removed                       // no longer listed
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	Server    Addr
	Zone      int
	Cell      int
	Kind      int     // of the machine; not used by the policy
	StartedMs float64 // wall-clock time of the latest start; 0: unknown or long past
	State     EndpointState
	Weight    float64
}

// ListUpdate specifies how an EventList changes the endpoint list.
type ListUpdate uint8

// The values of ListUpdate.
const (
	ListDelta  ListUpdate = iota // the entries that have changed
	ListFull                     // the full list
	ListCached                   // the last known full list, possibly outdated
	ListFailed                   // no list: the call failed
)
