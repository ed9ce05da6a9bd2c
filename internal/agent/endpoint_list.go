package agent

import (
	"log/slog"

	"fernbeam.example/fernbeam/internal/balancer"
)

// table holds the backends that discovery listed, by id and by the module's
// name for them. It belongs to the loop.
type endpointList struct {
	zones, kinds map[string]int
	byID         map[string]*upstreamServer
	byAddr       map[balancer.Addr]*upstreamServer
}

func newEndpointList(zones, kinds []string) *endpointList {
	index := func(names []string) map[string]int {
		m := map[string]int{}
		for i, n := range names {
			m[n] = i
		}
		return m
	}
	return &endpointList{zones: index(zones), kinds: index(kinds),
		byID: map[string]*upstreamServer{}, byAddr: map[balancer.Addr]*upstreamServer{}}
}

// backend finds or makes the entry of an id. The module's name comes from the
// id, not from the address: addresses differ from one agent to the next, and the
// agents must agree on the order of servers for a key without talking.
func (t *endpointList) findOrAdd(id string) *upstreamServer {
	if b := t.byID[id]; b != nil {
		return b
	}
	b := &upstreamServer{id: id}
	h := hashString(id)
	for {
		for i := range b.policyAddr {
			b.policyAddr[i] = byte(h >> (8 * i))
		}
		if t.byAddr[b.policyAddr] == nil {
			break
		}
		h++ // two ids of one hash: the later takes the next free name
	}
	t.byID[id], t.byAddr[b.policyAddr] = b, b
	return b
}

// apply takes a list into the table and returns the module's entries, the
// addresses whose idle connections are of no more use, and the backends gone.
// started tells when a backend's process started, on the module's clock.
func (t *endpointList) apply(l *List, full bool, started func(*Target) float64) (entries []balancer.Endpoint, stale []string, gone []*upstreamServer) {
	named := make(map[string]bool, len(l.Servers))
	for i := range l.Servers {
		s := &l.Servers[i]
		if s.ID == "" {
			continue
		}
		named[s.ID] = true
		e := balancer.Endpoint{Zone: len(t.zones), Kind: len(t.kinds), Cell: s.Cell, StartedMs: started(s), Weight: s.Weight}
		if z, ok := t.zones[s.Zone]; ok {
			e.Zone = z
		}
		if k, ok := t.kinds[s.Kind]; ok {
			e.Kind = k
		}
		switch s.State {
		case "up":
			e.State = balancer.Ready
		case "removed":
			e.State = balancer.Removed
		default: // draining, and whatever else is not said to be up
			e.State = balancer.Draining
		}
		b := t.findOrAdd(s.ID)
		e.Server = b.policyAddr
		if s.Addr != "" && b.addr != s.Addr {
			stale = append(stale, b.addr)
			b.addr = s.Addr
		}
		if b.unavailable.Store(e.State != balancer.Ready); e.State != balancer.Ready {
			stale = append(stale, b.addr)
		}
		if b.removed = e.State == balancer.Removed; b.removed {
			gone = append(gone, b)
		}
		entries = append(entries, e)
	}
	if full {
		for id, b := range t.byID {
			if !named[id] {
				b.unavailable.Store(true)
				b.removed = true
				stale, gone = append(stale, b.addr), append(gone, b)
			}
		}
	}
	return entries, stale, gone
}

// forget drops backends that are gone and have no attempt out; the module has
// forgotten them by then.
func (t *endpointList) forget(b *upstreamServer) {
	if b.removed && b.inFlight == 0 && t.byID[b.id] == b {
		delete(t.byID, b.id)
		delete(t.byAddr, b.policyAddr)
	}
}

// usable tells whether any backend may be sent to.
func (t *endpointList) hasReady() bool {
	for _, b := range t.byID {
		if !b.unavailable.Load() {
			return true
		}
	}
	return false
}

// onList takes an answer of discovery. A watch and a fetch may cross: what is older than
// the list at hand is dropped, unless all there is was asked for, as after a move. The address
// that was left counts until the new one has answered.
func (l *eventLoop) onListResponse(n listResponse) {
	if !n.watch {
		l.fetching = false
	}
	if n.err != nil {
		l.metrics.listFailures++
		l.log(slog.LevelWarn, "discovery call failed", "watch", n.watch, "err", n.err)
		if n.watch && l.ownsWatch() {
			return // the module did not ask for the watch, which goes on by itself
		}
		if n.watch {
			l.watching = false
		}
		l.handle(&balancer.Event{Kind: balancer.EventList, ListUpdate: balancer.ListFailed})
		return
	}
	list := n.list
	l.metrics.lists++
	l.metrics.endpoints += len(list.Servers)
	l.log(slog.LevelInfo, "endpoint list", "watch", n.watch, "full", list.Full, "from", l.listVersion, "to", list.Version,
		"endpoints", len(list.Servers))
	if n.source != l.listSource {
		if n.source != l.discovery.currentSource() {
			return // the new address has answered already
		}
		l.listSource, n.complete = n.source, true
	}
	if list.Version < l.listVersion && !n.complete {
		return
	}
	kind := balancer.ListDelta
	if list.Full {
		kind = balancer.ListFull
	}
	told := listContext{older: list.Version < l.listVersion, lastAnswer: n.lastAnswer}
	if n.complete {
		told.lastAnswer = 0
	}
	l.applyList(list, kind, list.Full, told)
	if l.endpoints.hasReady() {
		l.onUsable()
	}
}

// keepsWatch tells whether the agent keeps a watch by itself, and not as the module asks.
func (l *eventLoop) ownsWatch() bool { return l.discovery.backoff != nil || l.changesArePushed() }

// pushed tells whether changes of the list come without the module's asking.
func (l *eventLoop) changesArePushed() bool { return l.cfg.Settings.DiscoveryMode == "pushed" }

func (l *eventLoop) applyList(list *List, kind balancer.ListUpdate, full bool, told listContext) {
	l.listVersion = list.Version
	entries, stale, gone := l.endpoints.apply(list, full, func(t *Target) float64 { return l.startTimes.resolve(t, told) })
	for _, addr := range stale {
		l.pool.closeIdle(addr)
	}
	l.handle(&balancer.Event{Kind: balancer.EventList, ListUpdate: kind, Endpoints: entries})
	for _, b := range gone {
		l.endpoints.forget(b)
	}
	l.startTimes.prune(l.endpoints.byID)
	l.published.listVersion.Store(list.Version)
	l.published.servers.Store(uint64(len(l.endpoints.byID)))
	if told := l.cfg.Hooks.OnList; told != nil && list.Version != l.notifiedVersion {
		told(list.Version)
	}
	l.notifiedVersion = list.Version
}
