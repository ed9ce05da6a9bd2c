package dispatch

import (
	"log/slog"

	"fernbeam.example/fernbeam/internal/agent/discovery"
	"fernbeam.example/fernbeam/internal/balancer"
	"fernbeam.example/fernbeam/internal/endpoint"
)

// openWatch opens a watch unless one is open: a second would bring the same.
func (l *Loop) openWatch() {
	if !l.list.watching {
		l.list.watching = true
		go l.discovery.Watch(l.ctx)
	}
}

// fetchList polls for the full list unless that is in flight.
func (l *Loop) fetchList() {
	if !l.list.fetching {
		l.list.fetching = true
		go l.discovery.Fetch(l.ctx)
	}
}

// onListResponse handles the end of a call to discovery.
func (l *Loop) onListResponse(response discovery.Response) {
	if !response.Watch {
		l.list.fetching = false
	}
	if response.Err != nil {
		l.onListFailed(response)
		return
	}
	l.countList(&response)
	if !l.followSource(&response) {
		return
	}
	// A watch and a fetch may cross: a list that is older than the one in force is dropped, unless the call asked
	// for the full list.
	list := response.List
	older := list.Version < l.list.version
	if older && !response.Complete {
		return
	}
	update := balancer.ListDelta
	if list.Full {
		update = balancer.ListFull
	}
	origin := listOrigin{older: older, lastResponseAt: response.LastAnswer}
	if response.Complete {
		origin.lastResponseAt = 0
	}
	l.applyList(list, update, origin)
	if l.endpoints.hasReady() {
		l.onServersReady()
	}
}

// countList counts and logs a list that discovery returned.
func (l *Loop) countList(response *discovery.Response) {
	list := response.List
	l.metrics.Lists++
	l.metrics.Endpoints += len(list.Servers)
	l.logger.logLimited(slog.LevelInfo, "endpoint list", "watch", response.Watch, "full", list.Full,
		"from", l.list.version, "to", list.Version, "endpoints", len(list.Servers))
}

// followSource makes the source of a response the one whose versions count, and reports whether the response still
// matters. The source that discovery left counts until the new one has responded, whose first list is complete.
func (l *Loop) followSource(response *discovery.Response) bool {
	if response.Source == l.list.source {
		return true
	}
	if response.Source != l.discovery.CurrentSource() {
		return false // the new source has responded already
	}
	l.list.source = response.Source
	response.Complete = true
	return true
}

// onListFailed counts and logs a failed call. The policy decides when to call again, unless the failed call
// belongs to a watch that the agent keeps by itself.
func (l *Loop) onListFailed(response discovery.Response) {
	l.metrics.ListFailures++
	l.logger.logLimited(slog.LevelWarn, "discovery call failed", "watch", response.Watch, "err", response.Err)
	if response.Watch && l.ownsWatch() {
		return
	}
	if response.Watch {
		l.list.watching = false
	}
	l.handle(&balancer.Event{Kind: balancer.EventList, ListUpdate: balancer.ListFailed})
}

// ownsWatch reports whether the agent keeps a watch by itself, and not as the policy asks.
func (l *Loop) ownsWatch() bool { return l.discovery.KeepsOwnWatch() || l.changesArePushed() }

// changesArePushed reports whether changes of the list arrive without the policy asking for them.
func (l *Loop) changesArePushed() bool {
	return l.cfg.Settings.DiscoveryMode == balancer.DiscoveryPushed
}

// applyList puts a list in force.
func (l *Loop) applyList(list *endpoint.List, update balancer.ListUpdate, origin listOrigin) {
	l.list.version = list.Version
	started := func(entry *endpoint.Endpoint) float64 { return l.startTimes.resolve(entry, origin) }
	changes := l.endpoints.apply(list, update, started)
	for _, addr := range changes.staleAddrs {
		l.pool.CloseIdle(addr)
	}
	l.handle(&balancer.Event{Kind: balancer.EventList, ListUpdate: update, Endpoints: changes.endpoints})
	for _, server := range changes.removed {
		l.endpoints.forget(server)
	}
	l.startTimes.prune(l.endpoints.byID)
	l.published.listVersion.Store(list.Version)
	l.published.servers.Store(uint64(len(l.endpoints.byID)))
	if onList := l.cfg.Hooks.OnList; onList != nil && list.Version != l.list.notifiedVersion {
		onList(list.Version)
	}
	l.list.notifiedVersion = list.Version
}
