package agent

import (
	"log/slog"

	"fernbeam.example/fernbeam/internal/balancer"
)

// openWatch opens a watch unless one is open: a second would bring the same.
func (l *eventLoop) openWatch() {
	if !l.list.watching {
		l.list.watching = true
		go l.discovery.watch(l.ctx)
	}
}

// fetchList polls for the full list unless that is in flight.
func (l *eventLoop) fetchList() {
	if !l.list.fetching {
		l.list.fetching = true
		go l.discovery.fetch(l.ctx)
	}
}

// onListResponse takes the end of a call to discovery. A watch and a fetch may cross: a list that is older than
// the one in force is dropped, unless the call asked for the full list, as after a move of discovery. The
// source that discovery left counts until the new one has responded.
func (l *eventLoop) onListResponse(response listResponse) {
	if !response.watch {
		l.list.fetching = false
	}
	if response.err != nil {
		l.onListFailure(response)
		return
	}
	list := response.list
	l.metrics.lists++
	l.metrics.endpoints += len(list.Servers)
	l.lines.limited(slog.LevelInfo, "endpoint list", "watch", response.watch, "full", list.Full, "from", l.list.version,
		"to", list.Version, "endpoints", len(list.Servers))
	if response.source != l.list.source {
		if response.source != l.discovery.currentSource() {
			return // the new source has responded already
		}
		l.list.source = response.source
		response.complete = true
	}
	older := list.Version < l.list.version
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
	l.lines.limited(slog.LevelWarn, "discovery call failed", "watch", response.watch, "err", response.err)
	if response.watch && l.ownsWatch() {
		return
	}
	if response.watch {
		l.list.watching = false
	}
	l.handle(&balancer.Event{Kind: balancer.EventList, ListUpdate: balancer.ListFailed})
}

// ownsWatch tells whether the agent keeps a watch by itself, and not as the policy asks.
func (l *eventLoop) ownsWatch() bool { return l.discovery.keepsOwnWatch() || l.changesArePushed() }

// changesArePushed tells whether changes of the list arrive without the policy asking for them.
func (l *eventLoop) changesArePushed() bool {
	return l.cfg.Settings.DiscoveryMode == balancer.DiscoveryPushed
}

// applyList puts a list in force.
func (l *eventLoop) applyList(list *List, update balancer.ListUpdate, full bool, context listContext) {
	l.list.version = list.Version
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
	if onList := l.cfg.Hooks.OnList; onList != nil && list.Version != l.list.notifiedVersion {
		onList(list.Version)
	}
	l.list.notifiedVersion = list.Version
}
