package dispatch

import (
	"log/slog"

	"fernbeam.example/fernbeam/internal/agent/discovery"
	"fernbeam.example/fernbeam/internal/balancer"
	"fernbeam.example/fernbeam/internal/endpoint"
)

// fetchList polls for the full list unless a poll is in flight.
func (l *Loop) fetchList() {
	if !l.list.fetching {
		l.list.fetching = true
		go l.discovery.Fetch(l.ctx)
	}
}

// onListResponse handles the response or failure of a call to discovery.
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
	// Responses of a watch and a fetch may arrive out of order, so a list older than the one in force is dropped, unless
	// the call requested the full list.
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
	l.list.answered = true
	l.applyList(list, update, origin)
	if l.endpoints.hasReady() {
		l.onServersReady()
	}
}

// countList counts and logs a list returned by discovery.
func (l *Loop) countList(response *discovery.Response) {
	list := response.List
	l.metrics.Lists++
	l.metrics.Endpoints += len(list.Servers)
	l.logger.logLimited(slog.LevelInfo, "endpoint list", "watch", response.Watch, "full", list.Full,
		"from", l.list.version, "to", list.Version, "endpoints", len(list.Servers))
}

// followSource reports whether a response comes from the source in use. After discovery has moved, the previous source
// remains in use until the new one responds for the first time. followSource then switches to the new source, and the
// list of that response replaces the one in force.
func (l *Loop) followSource(response *discovery.Response) bool {
	if response.Source == l.list.source {
		return true
	}
	if response.Source != l.discovery.CurrentSource() {
		return false // the new source is already in use
	}
	l.list.source = response.Source
	response.Complete = true
	return true
}

// onListFailed counts and logs a failed call. The policy decides when to repeat it, unless it belongs to a watch that
// the agent maintains itself.
func (l *Loop) onListFailed(response discovery.Response) {
	l.metrics.ListFailures++
	l.logger.logLimited(slog.LevelWarn, "discovery call failed", "watch", response.Watch, "err", response.Err)
	if response.Watch && l.list.watch.kept {
		return
	}
	if response.Watch {
		l.list.watch.open = false
	}
	l.handle(&balancer.Event{Kind: balancer.EventList, ListUpdate: balancer.ListFailed})
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
	if l.onListChange != nil {
		l.onListChange()
	}
}
