package dispatch

import (
	"fernbeam.example/fernbeam/internal/agent/keyhash"
	"fernbeam.example/fernbeam/internal/agent/upstream"
	"fernbeam.example/fernbeam/internal/balancer"
	"fernbeam.example/fernbeam/internal/endpoint"
)

// listedServer is one server of the endpoint list.
type listedServer struct {
	upstream.Server
	id         string
	policyAddr balancer.Addr // what the policy calls it
	addr       string        // its network address, as this agent's list gave it last
	removed    bool          // the list no longer has it
	inFlight   int           // attempts and health checks in flight
}

const bitsPerByte = 8

// endpointList holds the servers that discovery lists, by their id and by the policy's address for them. It
// belongs to the event loop.
type endpointList struct {
	zones, kinds map[string]int // the policy's numbers of the names
	byID         map[string]*listedServer
	byAddr       map[balancer.Addr]*listedServer
}

func newEndpointList(zones, kinds []string) *endpointList {
	return &endpointList{
		zones:  indexNames(zones),
		kinds:  indexNames(kinds),
		byID:   map[string]*listedServer{},
		byAddr: map[balancer.Addr]*listedServer{},
	}
}

func indexNames(names []string) map[string]int {
	index := map[string]int{}
	for i, name := range names {
		index[name] = i
	}
	return index
}

// findOrAdd finds or makes the entry of an id. The policy's address comes from the id and not from the network
// address: network addresses differ from one agent to the next, and the agents must agree on the order of
// servers for a key without communicating.
func (l *endpointList) findOrAdd(id string) *listedServer {
	if server := l.byID[id]; server != nil {
		return server
	}
	server := &listedServer{id: id, policyAddr: l.unusedPolicyAddr(id)}
	l.byID[id] = server
	l.byAddr[server.policyAddr] = server
	return server
}

// unusedPolicyAddr is the hash of an id, or the next free address where another id has the same hash.
func (l *endpointList) unusedPolicyAddr(id string) balancer.Addr {
	hash := keyhash.Sum(id)
	for {
		var addr balancer.Addr
		for i := range addr {
			addr[i] = byte(hash >> (bitsPerByte * i))
		}
		if l.byAddr[addr] == nil {
			return addr
		}
		hash++
	}
}

// listChanges is what a list changed, for the policy and for the connection pool.
type listChanges struct {
	endpoints  []balancer.Endpoint
	staleAddrs []string // network addresses whose idle connections are of no more use
	removed    []*listedServer
}

// apply takes a list over and returns what it changed. started gives the start time of a server's process on
// the clock of the policy's events.
func (l *endpointList) apply(
	list *endpoint.List, update balancer.ListUpdate, started func(*endpoint.Endpoint) float64,
) listChanges {
	var changes listChanges
	listed := make(map[string]bool, len(list.Servers))
	for i := range list.Servers {
		entry := &list.Servers[i]
		if entry.ID == "" {
			continue
		}
		listed[entry.ID] = true
		l.applyEntry(entry, started(entry), &changes)
	}
	if update != balancer.ListDelta {
		l.removeUnlisted(listed, &changes)
	}
	return changes
}

func (l *endpointList) applyEntry(entry *endpoint.Endpoint, startedMs float64, changes *listChanges) {
	server := l.findOrAdd(entry.ID)
	state := endpointState(entry.State)
	if entry.Addr != "" && server.addr != entry.Addr {
		changes.staleAddrs = append(changes.staleAddrs, server.addr)
		server.addr = entry.Addr
	}
	server.SetAvailable(state == balancer.Ready)
	if state != balancer.Ready {
		changes.staleAddrs = append(changes.staleAddrs, server.addr)
	}
	server.removed = state == balancer.Removed
	if server.removed {
		changes.removed = append(changes.removed, server)
	}
	changes.endpoints = append(changes.endpoints, balancer.Endpoint{
		Server:    server.policyAddr,
		Zone:      indexOf(l.zones, entry.Zone),
		Kind:      indexOf(l.kinds, entry.Kind),
		Cell:      entry.Cell,
		StartedMs: startedMs,
		Weight:    entry.Weight,
		State:     state,
	})
}

// removeUnlisted removes the servers that a complete list lacks. The policy sees that by itself.
func (l *endpointList) removeUnlisted(listed map[string]bool, changes *listChanges) {
	for id, server := range l.byID {
		if listed[id] {
			continue
		}
		server.SetAvailable(false)
		server.removed = true
		changes.staleAddrs = append(changes.staleAddrs, server.addr)
		changes.removed = append(changes.removed, server)
	}
}

// endpointState is the policy's name of a state; one that is not known counts as draining.
func endpointState(state endpoint.State) balancer.EndpointState {
	switch state {
	case endpoint.StateUp:
		return balancer.Ready
	case endpoint.StateRemoved:
		return balancer.Removed
	case endpoint.StateDraining:
		return balancer.Draining
	}
	return balancer.Draining
}

// indexOf is the number of a name; one past the last for a name that the settings do not have.
func indexOf(index map[string]int, name string) int {
	if number, ok := index[name]; ok {
		return number
	}
	return len(index)
}

// forget drops a server that was removed and has no attempt in flight; the policy has forgotten it by then.
func (l *endpointList) forget(server *listedServer) {
	if server.removed && server.inFlight == 0 && l.byID[server.id] == server {
		delete(l.byID, server.id)
		delete(l.byAddr, server.policyAddr)
	}
}

// hasReady reports whether any server may be sent requests.
func (l *endpointList) hasReady() bool {
	for _, server := range l.byID {
		if server.IsAvailable() {
			return true
		}
	}
	return false
}
