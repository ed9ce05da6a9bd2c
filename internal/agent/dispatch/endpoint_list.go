package dispatch

import (
	"fernbeam.example/fernbeam/internal/agent/keyhash"
	"fernbeam.example/fernbeam/internal/agent/upstream"
	"fernbeam.example/fernbeam/internal/balancer"
	"fernbeam.example/fernbeam/internal/endpoint"
)

// listedServer is a server in the endpoint list.
type listedServer struct {
	upstream.Server
	id         string
	policyAddr balancer.Addr     // identifies it to the policy
	addr       string            // network address, as last listed for this agent
	entry      endpoint.Endpoint // as last listed
	removed    bool              // no longer in the list
	inFlight   int               // attempts and health checks in flight
}

const bitsPerByte = 8

// endpointList holds the servers listed by discovery, by id and by policy address. Only the event loop may use it.
type endpointList struct {
	zones, kinds nameNumbers
	byID         map[string]*listedServer
	byAddr       map[balancer.Addr]*listedServer
}

func newEndpointList(settings *balancer.Settings) *endpointList {
	return &endpointList{
		zones:  newNameNumbers(settings.Zones),
		kinds:  newNameNumbers(settings.Kinds),
		byID:   map[string]*listedServer{},
		byAddr: map[balancer.Addr]*listedServer{},
	}
}

// policySettings returns settings with the agent's zone as a number of the policy.
func (l *endpointList) policySettings(settings balancer.Settings) balancer.Settings {
	if settings.Zone >= 0 && settings.Zone < len(settings.Zones) {
		settings.Zone = l.zones.number(settings.Zones[settings.Zone])
	} else {
		settings.Zone = unknownZone
	}
	return settings
}

// findOrAdd returns the server with the given id, adding it if necessary. The policy address is derived from the id
// rather than from the network address, because network addresses differ between agents and all agents must agree on
// the order of servers for a key without communicating.
func (l *endpointList) findOrAdd(id string) *listedServer {
	if server := l.byID[id]; server != nil {
		return server
	}
	server := &listedServer{id: id, policyAddr: l.unusedPolicyAddr(id)}
	l.byID[id] = server
	l.byAddr[server.policyAddr] = server
	return server
}

// unusedPolicyAddr returns the hash of an id, or the next unused address if another id has the same hash.
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

// listChanges are the changes made by a list, for the policy and the connection pool.
type listChanges struct {
	endpoints  []balancer.Endpoint
	staleAddrs []string // network addresses whose idle connections are to be closed
	removed    []*listedServer
}

// apply applies a list and returns the changes. The function started returns, in event time, when a server's process
// started.
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
	server.entry = *entry
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
		Zone:      l.zones.number(entry.Zone),
		Kind:      l.kinds.number(entry.Kind),
		Cell:      entry.Cell,
		StartedMs: startedMs,
		Weight:    entry.Weight,
		State:     state,
	})
}

// removeUnlisted removes the servers that are missing from a full list. The policy does the same on its side.
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

// endpointState converts a state to that of the policy. An unknown state counts as draining.
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

// forget drops a removed server once nothing is in flight to it. By then the policy has already dropped the server.
func (l *endpointList) forget(server *listedServer) {
	if server.removed && server.inFlight == 0 && l.byID[server.id] == server {
		delete(l.byID, server.id)
		delete(l.byAddr, server.policyAddr)
	}
}

// entries returns the entries of all listed servers.
func (l *endpointList) entries() []endpoint.Endpoint {
	entries := make([]endpoint.Endpoint, 0, len(l.byID))
	for _, server := range l.byID {
		if server.removed {
			continue
		}
		entry := server.entry
		entry.Addr = server.addr // a later entry may have none
		entries = append(entries, entry)
	}
	return entries
}

// hasReady reports whether any server is ready for requests.
func (l *endpointList) hasReady() bool {
	for _, server := range l.byID {
		if server.IsAvailable() {
			return true
		}
	}
	return false
}
