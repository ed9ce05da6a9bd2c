package emulator

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"fernbeam.example/fernbeam/internal/endpoint"
)

// discoveryStream is the random number stream of the first agent's delays. The streams of the other agents follow it.
const discoveryStream = 2000

// endpointList emulates discovery. Each agent has its own view. Changes reach a view in order, each after a random
// delay (PROTOCOL, "Discovery"). An agent counts as notified of a change once the change has reached the agent's view.
type endpointList struct {
	emulator *Emulator

	mu         sync.Mutex
	version    uint64
	agentViews map[string]*agentView
	viewOrder  []*agentView  // in the order of the agents, so that delays follow from the seed
	restored   chan struct{} // non-nil while discovery is unavailable; closed when it is available again
	removals   []Notification

	calls, entriesSent atomic.Uint64
}

// agentView is the endpoint list as one agent sees it.
type agentView struct {
	agent   string
	zone    int
	random  *rand.Rand
	version uint64
	entries map[string]listEntry
	ids     []string // keys of entries, in the order of their addition
	pending []pendingChange
	changed chan struct{} // closed and replaced at every change
}

// listEntry is an endpoint and the list version of its last change.
type listEntry struct {
	endpoint.Endpoint
	version uint64
}

// pendingChange is a change that has not yet reached a view.
type pendingChange struct {
	at      time.Duration
	version uint64
	entry   endpoint.Endpoint
}

// newEndpointList returns an empty list with a view for each agent.
func newEndpointList(e *Emulator) *endpointList {
	l := &endpointList{emulator: e, agentViews: map[string]*agentView{}}
	for i, agent := range e.config.Agents {
		view := &agentView{
			agent:   agent.Name,
			zone:    agent.Zone,
			random:  rand.New(rand.NewPCG(e.config.Seed, discoveryStream+uint64(i))),
			entries: map[string]listEntry{},
			changed: make(chan struct{}),
		}
		l.agentViews[agent.Name] = view
		l.viewOrder = append(l.viewOrder, view)
	}
	return l
}

// publish sends a server's current state to all views, to each with a random delay.
func (l *endpointList) publish(s *server) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version++
	for _, view := range l.viewOrder {
		l.schedule(view, s.endpointFor(view.zone), l.randomDelay(view))
	}
}

// publishInitial adds a server that was started long ago to all views without a delay.
func (l *endpointList) publishInitial(s *server) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version++
	for _, view := range l.viewOrder {
		l.randomDelay(view) // unused, but drawn so that the later delays of a seed stay the same
		l.schedule(view, s.endpointFor(view.zone), 0)
	}
}

// randomDelay draws the delay of a change for a view.
func (l *endpointList) randomDelay(view *agentView) time.Duration {
	bounds := l.emulator.config.ListDelay
	spread := bounds.Max() - bounds.Min()
	return bounds.Min() + time.Duration(view.random.Float64()*float64(spread))
}

// schedule adds a change to a view after a delay, but not before earlier changes. The caller must hold l.mu.
func (l *endpointList) schedule(view *agentView, entry endpoint.Endpoint, delay time.Duration) {
	at := l.emulator.Now() + delay
	if n := len(view.pending); n > 0 {
		at = max(at, view.pending[n-1].at)
	}
	view.pending = append(view.pending, pendingChange{at, l.version, entry})
	if delay == 0 {
		l.deliverDue(view)
		return
	}
	time.AfterFunc(at-l.emulator.Now(), func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.deliverDue(view)
	})
}

// deliverDue applies the due changes to a view unless discovery is unavailable. The caller must hold l.mu.
func (l *endpointList) deliverDue(view *agentView) {
	now := l.emulator.Now()
	delivered := false
	for l.restored == nil && len(view.pending) > 0 && view.pending[0].at <= now {
		change := view.pending[0]
		view.pending = view.pending[1:]
		id := change.entry.ID
		if _, ok := view.entries[id]; !ok {
			view.ids = append(view.ids, id)
		}
		view.entries[id] = listEntry{change.entry, change.version}
		view.version = change.version
		delivered = true
		if change.entry.State != endpoint.StateUp {
			l.removals = append(l.removals, Notification{view.agent, id, now})
		}
	}
	if delivered {
		close(view.changed)
		view.changed = make(chan struct{})
	}
}

// setUnavailable makes discovery unavailable or available again.
func (l *endpointList) setUnavailable(unavailable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if unavailable == (l.restored != nil) {
		return
	}
	if unavailable {
		l.restored = make(chan struct{})
		return
	}
	close(l.restored)
	l.restored = nil
	for _, view := range l.viewOrder {
		l.deliverDue(view)
	}
}

// outage returns a channel that is closed at the end of the current outage, or nil if discovery is available.
func (l *endpointList) outage() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.restored
}

// notifiedOfStart reports whether an agent's view contains the start time of a server.
func (l *endpointList) notifiedOfStart(agent, serverID string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	view := l.agentViews[agent]
	if view == nil {
		return false
	}
	entry, ok := view.entries[serverID]
	return ok && entry.StartedMs > 0
}

// answer returns the current answer to a query, and a channel that is closed at the view's next change. A watch gets
// the entries that changed after its version. A poll gets the full list, and so does a watch whose version is newer
// than the view's.
func (l *endpointList) answer(view *agentView, query listQuery) (endpoint.List, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	full := !query.watch || query.version > view.version
	list := endpoint.List{Version: view.version, Full: full, Servers: []endpoint.Endpoint{}}
	for _, id := range view.ids {
		entry := view.entries[id]
		if full && entry.State != endpoint.StateRemoved || !full && entry.version > query.version {
			list.Servers = append(list.Servers, entry.Endpoint)
		}
	}
	return list, view.changed
}

// fullList returns the full list in an agent's view.
func (l *endpointList) fullList(agent string) endpoint.List {
	list, _ := l.answer(l.agentViews[agent], listQuery{})
	return list
}
