package balancer

import (
	"encoding/binary"
)

// Addr is the address of a server: four bytes of IPv4 address and two of port, big-endian. The policy
// only compares and hashes it, and returns it unchanged.
type Addr [6]byte

// Uint64 returns the address as one number: its four bytes, then the port.
func (a Addr) Uint64() uint64 {
	return uint64(binary.BigEndian.Uint32(a[:]))<<16 | uint64(binary.BigEndian.Uint16(a[4:]))
}

// HealthState is the health of a listed server as this agent knows it.
type HealthState uint8

// The health states, best first.
const (
	Connected        HealthState = iota // its last response was good
	Unknown                             // nothing is known of it yet
	UnhealthyPending                    // its ejection time has passed; it waits for a check
	Unhealthy                           // ejected
)

// EndpointState is the state of a server in the endpoint list.
type EndpointState uint8

// The values of EndpointState.
const (
	Draining EndpointState = iota // takes no new attempts; those in flight finish
	Ready                         // takes attempts
	Removed                       // is not listed any more
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	Server    Addr
	Zone      int
	Cell      int
	Kind      int     // of its machine; the policy does not use it
	StartedMs float64 // wall-clock time of the latest start; 0: not known or long past
	State     EndpointState
	Weight    float64
}

// ListUpdate tells how an EventList changes the endpoint list.
type ListUpdate uint8

// The values of ListUpdate.
const (
	ListDelta  ListUpdate = iota // some entries have changed
	ListFull                     // the complete list
	ListCached                   // the complete list as it was last known, perhaps long ago
	ListFailed                   // the call for the list failed
)
