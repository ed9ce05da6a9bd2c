// Package dispatch implements the event loop of an agent. A single goroutine, Loop.Run, owns the policy, the open
// requests and the endpoint list. It passes events to the policy and performs the actions that the policy returns,
// after checking them against the rules of the request. The loop never blocks: blocking operations run in separate
// goroutines, which post their results to it.
package dispatch

import (
	"cmp"
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"fernbeam.example/fernbeam/internal/agent/config"
	"fernbeam.example/fernbeam/internal/agent/discovery"
	"fernbeam.example/fernbeam/internal/agent/handover"
	"fernbeam.example/fernbeam/internal/agent/message"
	"fernbeam.example/fernbeam/internal/agent/requestids"
	"fernbeam.example/fernbeam/internal/agent/upstream"
	"fernbeam.example/fernbeam/internal/balancer"
	"fernbeam.example/fernbeam/internal/clock"
	"fernbeam.example/fernbeam/policy"
)

const (
	// idleSweepInterval is the interval at which expired idle connections are closed.
	idleSweepInterval = time.Second
	// inboxSize is the number of functions that can be queued for the event loop before Post blocks.
	inboxSize = 4096
)

// Loop owns the policy, the endpoint list and the state of all requests. Other goroutines access them through Post.
type Loop struct {
	cfg *config.Config // in force; replaced as a whole
	//nolint:containedctx // Post must not block once the loop has ended
	ctx       context.Context
	balancer  *policy.Balancer
	endpoints *endpointList
	pool      *upstream.Pool
	discovery *discovery.Client
	clock     *eventClock
	inbox     chan func()

	requests      *requestTable
	clientIDs     *requestids.Registry
	pendingEvents []balancer.Event  // raised while actions were performed
	actions       []balancer.Action // reused buffer

	list           listState
	startTimes     *startTimeTable
	onServersReady func()        // called when a list with a ready server is in force
	onListChange   func()        // called when a list is in force
	resources      func() string // describes the use of the process's resources for the log; may be nil

	logger    *asyncLogger
	metrics   Metrics
	published publishedState
}

// listState is the state of the endpoint list in force and of the calls for it.
type listState struct {
	version         uint64
	source          *discovery.Source // the source that version belongs to
	answered        bool              // the list in force is from source, which has answered since the start
	inherited       *handover.Origin  // of the list in force until answered; nil if it is the one of the configuration
	watch           listWatch
	fetching        bool   // a fetch is in flight
	notifiedVersion uint64 // the last version passed to Hooks.OnList
}

// publishedState is the part of the loop's state that other goroutines may read.
type publishedState struct {
	listVersion, servers atomic.Uint64
	settingsVersion      atomic.Uint64
}

// Options are the parameters of New besides the agent's configuration.
type Options struct {
	// Pool performs attempts and health checks.
	Pool *upstream.Pool
	// OnServersReady is called each time a list with a ready server comes into force.
	OnServersReady func()
	// OnListChange is called after each change of the endpoint list. It must not block.
	OnListChange func()
	// ApplySettings is called with settings from the discovery service. It may be nil if the configuration does not
	// request such settings.
	ApplySettings discovery.ApplySettings
	// ClientIDs has the ids of requests that must not execute twice. If it is nil, the loop has a registry of its own.
	ClientIDs *requestids.Registry
}

// New returns a Loop that ends when ctx is done. It returns an error if the policy does not accept the settings.
func New(ctx context.Context, cfg *config.Config, options Options) (*Loop, error) {
	endpoints := newEndpointList(&cfg.Settings)
	decisions, err := policy.New(endpoints.policySettings(cfg.Settings), cfg.Seed)
	if err != nil {
		return nil, err
	}
	eventTime := newEventClock(cfg.SystemClock())
	clientIDs := cmp.Or(options.ClientIDs, requestids.New())
	l := &Loop{
		cfg:            cfg,
		ctx:            ctx,
		balancer:       decisions,
		endpoints:      endpoints,
		pool:           options.Pool,
		clock:          eventTime,
		inbox:          make(chan func(), inboxSize),
		requests:       newRequestTable(clientIDs),
		clientIDs:      clientIDs,
		startTimes:     newStartTimeTable(eventTime),
		onServersReady: options.OnServersReady,
		onListChange:   options.OnListChange,
		logger:         newAsyncLogger(cfg.Logger()),
		metrics:        newMetrics(),
	}
	l.discovery = discovery.New(cfg, discovery.Options{
		Clock:         eventTime,
		OnResponse:    func(response discovery.Response) { l.Post(func() { l.onListResponse(response) }) },
		ApplySettings: options.ApplySettings,
	})
	l.list.source = l.discovery.CurrentSource()
	l.list.inherited = cfg.InitialListOrigin
	return l, nil
}

// Post queues a function for execution by the loop. It must not be called from the loop, because it blocks while the
// queue is full.
func (l *Loop) Post(task func()) {
	select {
	case l.inbox <- task:
	case <-l.ctx.Done():
	}
}

// ReportResources sets a function that describes the use of the process's resources. It must be called before Run.
func (l *Loop) ReportResources(describe func() string) { l.resources = describe }

// Close closes the connections to discovery.
func (l *Loop) Close() { l.discovery.Close() }

// Run runs the loop until its context is done.
func (l *Loop) Run() {
	go l.logger.run(l.ctx)
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

// start starts the policy with the list in the configuration, however old it is, and opens the watch if the agent
// maintains one itself.
func (l *Loop) start() {
	l.performActions(l.balancer.Start(l.clock.nowMs(), l.actions[:0]))
	l.applyList(&l.cfg.InitialList, balancer.ListCached, listOrigin{})
	l.handlePending()
	if l.endpoints.hasReady() {
		l.onServersReady()
	}
	if l.ownsWatch() {
		l.keepWatch()
	}
}

// handle passes an event to the policy and performs the actions that it returns.
func (l *Loop) handle(event *balancer.Event) {
	l.performActions(l.balancer.Handle(l.clock.nowMs(), event, l.actions[:0]))
}

// handlePending handles the events that were raised while actions were performed.
func (l *Loop) handlePending() {
	for len(l.pendingEvents) > 0 {
		event := l.pendingEvents[0]
		l.pendingEvents = l.pendingEvents[1:]
		l.handle(&event)
	}
	l.pendingEvents = nil
}

// performActions performs the policy's actions in order.
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
			l.finish(r, message.Response{Kind: message.Failed, BadRequest: r.badRequest, TimedOut: r.timedOut})
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
		l.logger.logLimited(slog.LevelInfo, "policy", "text", action.Text)
	case balancer.ActionHealthCheck:
		l.startHealthCheck(action.Server)
	}
}

// setTimer schedules a timer event with the action's token.
func (l *Loop) setTimer(action *balancer.Action) {
	token := action.Token
	time.AfterFunc(clock.FromMilliseconds(action.Ms), func() {
		l.Post(func() { l.handle(&balancer.Event{Kind: balancer.EventTimer, Token: token}) })
	})
}
