package agent

import (
	"log/slog"

	"fernbeam.example/fernbeam/internal/balancer"
	"fernbeam.example/fernbeam/internal/endpoint"
)

// listedServer is one server of the endpoint list.
type listedServer struct {
	upstreamServer
	id         string
	policyAddr balancer.Addr // what the policy calls it
	addr       string        // its network address, as this agent's list gave it last
	removed    bool          // the list no longer has it
	inFlight   int           // attempts and health checks in flight
}

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
func (t *endpointList) findOrAdd(id string) *listedServer {
	if server := t.byID[id]; server != nil {
		return server
	}
	server := &listedServer{id: id, policyAddr: t.freePolicyAddr(id)}
	t.byID[id] = server
	t.byAddr[server.policyAddr] = server
	return server
}

// freePolicyAddr is the hash of an id, or the next free address where another id has the same hash.
func (t *endpointList) freePolicyAddr(id string) balancer.Addr {
	hash := hashString(id)
	for {
		var addr balancer.Addr
		for i := range addr {
			addr[i] = byte(hash >> (8 * i))
		}
		if t.byAddr[addr] == nil {
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
func (t *endpointList) apply(list *List, full bool, started func(*Target) float64) listChanges {
	var changes listChanges
	listed := make(map[string]bool, len(list.Servers))
	for i := range list.Servers {
		target := &list.Servers[i]
		if target.ID == "" {
			continue
		}
		listed[target.ID] = true
		t.applyTarget(target, started(target), &changes)
	}
	if full {
		t.removeUnlisted(listed, &changes)
	}
	return changes
}

func (t *endpointList) applyTarget(target *Target, startedMs float64, changes *listChanges) {
	server := t.findOrAdd(target.ID)
	state := endpointState(target.State)
	if target.Addr != "" && server.addr != target.Addr {
		changes.staleAddrs = append(changes.staleAddrs, server.addr)
		server.addr = target.Addr
	}
	server.setAvailable(state == balancer.Ready)
	if state != balancer.Ready {
		changes.staleAddrs = append(changes.staleAddrs, server.addr)
	}
	server.removed = state == balancer.Removed
	if server.removed {
		changes.removed = append(changes.removed, server)
	}
	changes.endpoints = append(changes.endpoints, balancer.Endpoint{
		Server:    server.policyAddr,
		Zone:      numberOf(t.zones, target.Zone),
		Kind:      numberOf(t.kinds, target.Kind),
		Cell:      target.Cell,
		StartedMs: startedMs,
		Weight:    target.Weight,
		State:     state,
	})
}

// removeUnlisted removes the servers that a full list lacks. The policy sees that by itself.
func (t *endpointList) removeUnlisted(listed map[string]bool, changes *listChanges) {
	for id, server := range t.byID {
		if listed[id] {
			continue
		}
		server.setAvailable(false)
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
	}
	return balancer.Draining
}

// numberOf is the number of a name; one past the last for a name that the settings do not have.
func numberOf(index map[string]int, name string) int {
	if number, ok := index[name]; ok {
		return number
	}
	return len(index)
}

// forget drops a server that was removed and has no attempt in flight; the policy has forgotten it by then.
func (t *endpointList) forget(server *listedServer) {
	if server.removed && server.inFlight == 0 && t.byID[server.id] == server {
		delete(t.byID, server.id)
		delete(t.byAddr, server.policyAddr)
	}
}

// hasReady tells whether any server may be sent requests.
func (t *endpointList) hasReady() bool {
	for _, server := range t.byID {
		if server.isAvailable() {
			return true
		}
	}
	return false
}

// openWatch opens a watch unless one is open: a second would bring the same.
func (l *eventLoop) openWatch() {
	if !l.watching {
		l.watching = true
		go l.discovery.watch(l.ctx)
	}
}

// fetchList polls for the full list unless that is in flight.
func (l *eventLoop) fetchList() {
	if !l.fetching {
		l.fetching = true
		go l.discovery.fetch(l.ctx)
	}
}

// onListResponse takes the end of a call to discovery. A watch and a fetch may cross: a list that is older than
// the one in force is dropped, unless the call asked for the full list, as after a move of discovery. The
// source that discovery left counts until the new one has responded.
func (l *eventLoop) onListResponse(response listResponse) {
	if !response.watch {
		l.fetching = false
	}
	if response.err != nil {
		l.onListFailure(response)
		return
	}
	list := response.list
	l.metrics.lists++
	l.metrics.endpoints += len(list.Servers)
	l.log(slog.LevelInfo, "endpoint list", "watch", response.watch, "full", list.Full, "from", l.listVersion,
		"to", list.Version, "endpoints", len(list.Servers))
	if response.source != l.listSource {
		if response.source != l.discovery.currentSource() {
			return // the new source has responded already
		}
		l.listSource = response.source
		response.complete = true
	}
	older := list.Version < l.listVersion
	if older && !response.complete {
		return
	}
	update := balancer.ListDelta
	if list.Full {
		update = balancer.ListFull
	}
	context := listContext{older: older, lastAnswer: response.lastAnswer}
	if response.complete {
		context.lastAnswer = 0
	}
	l.applyList(list, update, list.Full, context)
	if l.endpoints.hasReady() {
		l.onUsable()
	}
}

// onListFailure counts and logs a failed call. The policy decides when to call again, unless the failed call
// belongs to a watch that the agent keeps by itself.
func (l *eventLoop) onListFailure(response listResponse) {
	l.metrics.listFailures++
	l.log(slog.LevelWarn, "discovery call failed", "watch", response.watch, "err", response.err)
	if response.watch && l.ownsWatch() {
		return
	}
	if response.watch {
		l.watching = false
	}
	l.handle(&balancer.Event{Kind: balancer.EventList, ListUpdate: balancer.ListFailed})
}

// ownsWatch tells whether the agent keeps a watch by itself, and not as the policy asks.
func (l *eventLoop) ownsWatch() bool { return l.discovery.backoff != nil || l.changesArePushed() }

// changesArePushed tells whether changes of the list arrive without the policy asking for them.
func (l *eventLoop) changesArePushed() bool {
	return l.cfg.Settings.DiscoveryMode == balancer.DiscoveryPushed
}

// applyList puts a list in force.
func (l *eventLoop) applyList(list *List, update balancer.ListUpdate, full bool, context listContext) {
	l.listVersion = list.Version
	changes := l.endpoints.apply(list, full, func(t *Target) float64 { return l.startTimes.resolve(t, context) })
	for _, addr := range changes.staleAddrs {
		l.pool.closeIdle(addr)
	}
	l.handle(&balancer.Event{Kind: balancer.EventList, ListUpdate: update, Endpoints: changes.endpoints})
	for _, server := range changes.removed {
		l.endpoints.forget(server)
	}
	l.startTimes.prune(l.endpoints.byID)
	l.published.listVersion.Store(list.Version)
	l.published.servers.Store(uint64(len(l.endpoints.byID)))
	if onList := l.cfg.Hooks.OnList; onList != nil && list.Version != l.notifiedVersion {
		onList(list.Version)
	}
	l.notifiedVersion = list.Version
}
