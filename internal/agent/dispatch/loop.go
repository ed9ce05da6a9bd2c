// Package dispatch is the event loop of an agent. One goroutine, Loop.Run, owns the policy, the requests in flight and
// the endpoint list: it turns what happens into the policy's events and carries out the policy's actions, after a
// check against the rules of the request. It never blocks; whatever may wait runs in a goroutine of its own and
// posts its end.
package dispatch

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"fernbeam.example/fernbeam/internal/agent/config"
	"fernbeam.example/fernbeam/internal/agent/discovery"
	"fernbeam.example/fernbeam/internal/agent/message"
	"fernbeam.example/fernbeam/internal/agent/upstream"
	"fernbeam.example/fernbeam/internal/balancer"
	"fernbeam.example/fernbeam/internal/clock"
	"fernbeam.example/fernbeam/policy"
)

const (
	// idleSweepInterval is how often connections that have been idle for too long are closed.
	idleSweepInterval = time.Second
	// inboxSize is the number of functions that may wait for the event loop before Post blocks.
	inboxSize = 4096
)

// Loop owns the balancer's policy and the state of all requests. One goroutine runs it; everything else
// reaches it through Post. It never blocks: whatever may wait runs in a goroutine of its own.
type Loop struct {
	cfg *config.Config
	//nolint:containedctx // whoever posts must not wait for a loop that has ended
	ctx       context.Context
	balancer  *policy.Balancer
	endpoints *endpointList
	pool      *upstream.Pool
	discovery *discovery.Client
	clock     *eventClock
	inbox     chan func()

	requests      *requestTable
	pendingEvents []balancer.Event  // raised while actions were carried out
	actions       []balancer.Action // the buffer of the actions

	list       listState
	startTimes *startTimeTable
	onUsable   func() // called when the list has a ready server

	logger    *lineLogger
	metrics   Metrics
	published publishedState
}

// listState is what is known of the endpoint list in force and of the calls for it.
type listState struct {
	version         uint64
	source          *discovery.Source // whose versions version counts
	watching        bool              // a watch is open
	fetching        bool              // a fetch is in flight
	notifiedVersion uint64            // the version that Hooks.OnList was called with last
}

// publishedState is the part of the loop's state that other goroutines may read.
type publishedState struct {
	listVersion, servers atomic.Uint64
	settingsVersion      atomic.Uint64
}

// Options are what a Loop is made of besides the agent's configuration.
type Options struct {
	// Pool makes the attempts and the health checks.
	Pool *upstream.Pool
	// OnUsable is called each time that a list with a ready server comes into force.
	OnUsable func()
	// ApplySettings is called with settings of the discovery service; nil: the configuration asks for none.
	ApplySettings discovery.ApplySettings
}

// New makes the loop of an agent; Run starts it, and it ends with ctx. An error says which setting the policy
// can't use.
func New(ctx context.Context, cfg *config.Config, options Options) (*Loop, error) {
	decisions, err := policy.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	ownConfig := *cfg // the loop changes the settings in it
	eventTime := newEventClock(cfg.SystemClock())
	l := &Loop{
		cfg:        &ownConfig,
		ctx:        ctx,
		balancer:   decisions,
		endpoints:  newEndpointList(cfg.Zones, cfg.Kinds),
		pool:       options.Pool,
		clock:      eventTime,
		inbox:      make(chan func(), inboxSize),
		requests:   newRequestTable(),
		startTimes: newStartTimeTable(eventTime),
		onUsable:   options.OnUsable,
		logger:     newLineLogger(cfg.Logger()),
		metrics:    newMetrics(),
	}
	l.discovery = discovery.New(cfg, discovery.Options{
		Clock:         eventTime,
		OnResponse:    func(response discovery.Response) { l.Post(func() { l.onListResponse(response) }) },
		ApplySettings: options.ApplySettings,
	})
	l.list.source = l.discovery.CurrentSource()
	return l, nil
}

// Post hands the loop a function to run. It may wait, so the loop itself never calls it.
func (l *Loop) Post(task func()) {
	select {
	case l.inbox <- task:
	case <-l.ctx.Done():
	}
}

// Close ends the connections to discovery.
func (l *Loop) Close() { l.discovery.Close() }

// Run runs the loop until its context ends.
func (l *Loop) Run() {
	go l.logger.write(l.ctx)
	l.start()
	sweepTicker := time.NewTicker(idleSweepInterval)
	defer sweepTicker.Stop()
	metricsTicker := time.NewTicker(metricsInterval)
	defer metricsTicker.Stop()
	for {
		select {
		case task := <-l.inbox:
			task()
			l.handlePending()
		case <-sweepTicker.C:
			l.pool.CloseExpired()
		case <-metricsTicker.C:
			l.logMetrics()
		case <-l.ctx.Done():
			return
		}
	}
}

// start starts the policy with the list that the configuration knows, however old that is, and opens the
// watch where the agent keeps one of its own.
func (l *Loop) start() {
	l.performActions(l.balancer.Start(l.clock.nowMs(), l.actions[:0]))
	l.applyList(&l.cfg.InitialList, balancer.ListCached, listOrigin{})
	l.handlePending()
	if l.endpoints.hasReady() {
		l.onUsable()
	}
	if l.ownsWatch() {
		l.list.watching = true
		go l.discovery.KeepWatch(l.ctx)
	}
}

// handle gives the policy one event and carries out the actions that it returns.
func (l *Loop) handle(event *balancer.Event) {
	l.performActions(l.balancer.Handle(l.clock.nowMs(), event, l.actions[:0]))
}

// handlePending handles the events that were raised while actions were carried out.
func (l *Loop) handlePending() {
	for len(l.pendingEvents) > 0 {
		event := l.pendingEvents[0]
		l.pendingEvents = l.pendingEvents[1:]
		l.handle(&event)
	}
	l.pendingEvents = nil
}

// performActions carries out the policy's actions in their order.
func (l *Loop) performActions(actions []balancer.Action) {
	l.actions = actions
	for i := range actions {
		l.perform(&actions[i])
	}
}

func (l *Loop) perform(action *balancer.Action) {
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
			l.finish(r, message.Response{Kind: message.Failed, BadRequest: r.badRequest})
		}
	case balancer.ActionSetTimer:
		l.setTimer(action)
	case balancer.ActionWatchList:
		l.openWatch()
	case balancer.ActionFetchList:
		l.fetchList()
	case balancer.ActionCloseIdle:
		if server := l.endpoints.byAddr[action.Server]; server != nil {
			l.pool.CloseIdle(server.addr)
		}
	case balancer.ActionLog:
		l.logger.limited(slog.LevelInfo, "policy", "text", action.Text)
	case balancer.ActionHealthCheck:
		l.startHealthCheck(action.Server)
	}
}

// setTimer raises a timer event with the action's token once its time has passed.
func (l *Loop) setTimer(action *balancer.Action) {
	token := action.Token
	time.AfterFunc(clock.FromMilliseconds(action.Ms), func() {
		l.Post(func() { l.handle(&balancer.Event{Kind: balancer.EventTimer, Token: token}) })
	})
}
