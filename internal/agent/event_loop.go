package agent

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"fernbeam.example/fernbeam/internal/balancer"
	"fernbeam.example/fernbeam/policy"
)

const (
	// idleSweepInterval is how often connections that have been idle for too long are closed.
	idleSweepInterval = time.Second
	// inboxSize is the number of functions that may wait for the event loop before post blocks.
	inboxSize = 4096
)

// eventLoop owns the balancer's policy and the state of all requests. One goroutine runs it; everything else
// reaches it through post. It never blocks: whatever may wait runs in a goroutine of its own.
type eventLoop struct {
	cfg       *Config
	ctx       context.Context
	balancer  *policy.Balancer
	endpoints *endpointList
	pool      *connectionPool
	discovery *discoveryClient
	clock     *eventClock
	inbox     chan func()

	requests      *requestTable
	pendingEvents []balancer.Event  // raised while actions were carried out
	actions       []balancer.Action // the buffer of the actions

	list       listState
	startTimes *startTimeTable
	onUsable   func() // called when the list has a ready server

	lines     *lineLogger
	metrics   metrics
	published publishedState
}

// listState is what is known of the endpoint list in force and of the calls for it.
type listState struct {
	version         uint64
	source          *discoverySource // whose versions version counts
	watching        bool             // a watch is open
	fetching        bool             // a fetch is in flight
	notifiedVersion uint64           // the version that Hooks.OnList was called with last
}

// publishedState is the part of the loop's state that other goroutines may read.
type publishedState struct {
	listVersion, servers atomic.Uint64
	settingsVersion      atomic.Uint64
}

// newEventLoop makes the loop of an agent; run starts it, and it ends with ctx. It calls onUsable each time that a
// list with a ready server is in force, and apply with settings of the discovery service. An error says which
// setting the policy can't use.
func newEventLoop(
	ctx context.Context, cfg *Config, pool *connectionPool, onUsable func(), apply applySettings,
) (*eventLoop, error) {
	decisions, err := policy.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	ownConfig := *cfg // the loop changes the settings in it
	eventTime := newEventClock(cfg.systemClock())
	l := &eventLoop{
		cfg:        &ownConfig,
		ctx:        ctx,
		balancer:   decisions,
		endpoints:  newEndpointList(cfg.Zones, cfg.Kinds),
		pool:       pool,
		clock:      eventTime,
		inbox:      make(chan func(), inboxSize),
		requests:   newRequestTable(),
		startTimes: newStartTimeTable(eventTime),
		onUsable:   onUsable,
		lines:      newLineLogger(cfg.logger()),
		metrics:    newMetrics(),
	}
	l.discovery = newDiscoveryClient(cfg, eventTime, apply, func(response listResponse) {
		l.post(func() { l.onListResponse(response) })
	})
	l.list.source = l.discovery.currentSource()
	return l, nil
}

// post hands the loop a function to run. It may wait, so the loop itself never calls it.
func (l *eventLoop) post(f func()) {
	select {
	case l.inbox <- f:
	case <-l.ctx.Done():
	}
}

// close ends the connections to discovery.
func (l *eventLoop) close() { l.discovery.close() }

// run runs the loop until its context ends.
func (l *eventLoop) run() {
	go l.lines.write(l.ctx)
	l.start()
	sweepTicker := time.NewTicker(idleSweepInterval)
	defer sweepTicker.Stop()
	metricsTicker := time.NewTicker(metricsInterval)
	defer metricsTicker.Stop()
	for {
		select {
		case f := <-l.inbox:
			f()
			l.handlePending()
		case <-sweepTicker.C:
			l.pool.closeExpired()
		case <-metricsTicker.C:
			l.logMetrics()
		case <-l.ctx.Done():
			return
		}
	}
}

// start starts the policy with the list that the configuration knows, however old that is, and opens the
// watch where the agent keeps one of its own.
func (l *eventLoop) start() {
	l.performActions(l.balancer.Start(l.clock.nowMs(), l.actions[:0]))
	l.applyList(&l.cfg.Known, balancer.ListCached, true, listContext{})
	l.handlePending()
	if l.endpoints.hasReady() {
		l.onUsable()
	}
	if l.ownsWatch() {
		l.list.watching = true
		go l.discovery.keepWatch(l.ctx)
	}
}

// handle gives the policy one event and carries out the actions that it returns.
func (l *eventLoop) handle(event *balancer.Event) {
	l.performActions(l.balancer.Handle(l.clock.nowMs(), event, l.actions[:0]))
}

// handlePending handles the events that were raised while actions were carried out.
func (l *eventLoop) handlePending() {
	for len(l.pendingEvents) > 0 {
		event := l.pendingEvents[0]
		l.pendingEvents = l.pendingEvents[1:]
		l.handle(&event)
	}
	l.pendingEvents = nil
}

// performActions carries out the policy's actions in their order.
func (l *eventLoop) performActions(actions []balancer.Action) {
	l.actions = actions
	for i := range actions {
		l.perform(&actions[i])
	}
}

func (l *eventLoop) perform(action *balancer.Action) {
	switch action.Kind {
	case balancer.ActionForward:
		l.forward(action)
	case balancer.ActionCancelAttempt:
		l.cancelAttempt(action)
	case balancer.ActionReject:
		if r := l.requests.byID[action.Request]; r != nil {
			l.reject(r, action.Ms)
		}
	case balancer.ActionFail:
		if r := l.requests.byID[action.Request]; r != nil {
			l.finish(r, finalResponse{kind: responseFailed, badRequest: r.badRequest})
		}
	case balancer.ActionSetTimer:
		l.setTimer(action)
	case balancer.ActionWatchList:
		l.openWatch()
	case balancer.ActionFetchList:
		l.fetchList()
	case balancer.ActionCloseIdle:
		if server := l.endpoints.byAddr[action.Server]; server != nil {
			l.pool.closeIdle(server.addr)
		}
	case balancer.ActionLog:
		l.lines.limited(slog.LevelInfo, "policy", "text", action.Text)
	case balancer.ActionHealthCheck:
		l.startHealthCheck(action.Server)
	}
}

// setTimer raises a timer event with the action's token once its time has passed.
func (l *eventLoop) setTimer(action *balancer.Action) {
	token := action.Token
	time.AfterFunc(milliseconds(action.Ms), func() {
		l.post(func() { l.handle(&balancer.Event{Kind: balancer.EventTimer, Token: token}) })
	})
}
