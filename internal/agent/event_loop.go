package agent

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"fernbeam.example/fernbeam/internal/balancer"
	"fernbeam.example/fernbeam/internal/membership"
	"fernbeam.example/fernbeam/policy"
)

const (
	// moduleMargin is taken off the time that the module is told a request has: what
	// its last attempt's end takes to become an answer at the client.
	policyMargin = 8 * time.Millisecond
	// backstopMargin is how long before the client's deadline the backstop answers,
	// well after the module should have.
	backstopMargin = 4 * time.Millisecond
	// sweepEvery is how often connections that idle too long are closed.
	idleSweepInterval = time.Second
)

// loop owns the module and all state of requests. One goroutine runs it; all
// else reaches it through post. It never blocks: what may wait runs in
// goroutines of its own.
type eventLoop struct {
	cfg       *Config
	ctx       context.Context
	balancer  *policy.Balancer
	endpoints *endpointList
	pool      *connectionPool
	discovery *discoveryClient
	logger    *slog.Logger
	logLimit  *rate.Limiter // the log is bounded work on one core
	logLines  chan func()   // log lines on their way to whoever reads the log

	inbox           chan func()
	clock           *eventClock
	startTimes      *startTimeTable
	nextID          balancer.RequestID
	requests        map[balancer.RequestID]*request
	unanswered      int // requests that have no answer yet
	pendingEvents   []balancer.Event
	actions         []balancer.Action
	listVersion     uint64           // of the list
	listSource      *discoverySource // whose count that is
	watching        bool
	fetching        bool
	onUsable        func()
	notifiedVersion uint64 // the version that was last told as in force
	published       publishedState
	metrics         metrics
	membershipView  *membership.View // nil: there is none
}

// shown is what may be read of the loop from outside.
type publishedState struct {
	listVersion, servers atomic.Uint64 // of the list
	settingsVersion      atomic.Uint64 // the version of those in force
}

func newEventLoop(ctx context.Context, cfg *Config, ready func()) (*eventLoop, error) {
	decisions, err := policy.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	log := cfg.logger()
	now := newEventClock(cfg.systemClock())
	own := *cfg // its settings change as the loop says
	l := &eventLoop{cfg: &own, ctx: ctx, balancer: decisions, endpoints: newEndpointList(cfg.Zones, cfg.Kinds),
		pool: newConnectionPool(cfg), logger: log, logLimit: rate.NewLimiter(5, 50), logLines: make(chan func(), 64), inbox: make(chan func(), 4096),
		clock: now, startTimes: newStartTimeTable(now),
		requests: map[balancer.RequestID]*request{}, onUsable: ready,
		metrics: metrics{attempts: map[balancer.Status]int{}, healthChecks: map[balancer.Status]int{}}}
	l.discovery = newDiscoveryClient(cfg.Discovery, cfg.Known.Version, func(n listResponse) { l.post(func() { l.onListResponse(n) }) })
	l.discovery.localAddr, l.discovery.clock = cfg.CallFrom, now
	if cfg.Control != nil {
		l.discovery.configure(cfg, cfg.Known.Version)
	}
	l.listSource = l.discovery.currentSource()
	return l, nil
}

// post hands the loop something to do; it may wait, so the loop itself never calls it.
func (l *eventLoop) post(f func()) {
	select {
	case l.inbox <- f:
	case <-l.ctx.Done():
	}
}

// run is the loop; it ends with the context.
func (l *eventLoop) run() {
	go l.writeLogLines()
	l.performActions(l.balancer.Start(l.clock.nowMs(), l.actions[:0]))
	// The list as last had comes with the start, however old, as at the simulator.
	l.applyList(&l.cfg.Known, balancer.ListCached, true, listContext{})
	l.handlePending()
	if l.endpoints.hasReady() {
		l.onUsable()
	}
	if l.ownsWatch() {
		l.watching = true
		go l.discovery.keepWatch(l.ctx)
	}
	sweep := time.NewTicker(idleSweepInterval)
	defer sweep.Stop()
	count := time.NewTicker(metricsInterval)
	defer count.Stop()
	for {
		select {
		case f := <-l.inbox:
			f()
			l.handlePending()
		case <-sweep.C:
			l.pool.closeExpired()
		case <-count.C:
			l.logMetrics()
		case <-l.ctx.Done():
			return
		}
	}
}

// handle gives the module one event and carries out what it answers.
func (l *eventLoop) handle(ev *balancer.Event) {
	l.performActions(l.balancer.Handle(l.clock.nowMs(), ev, l.actions[:0]))
}

// drain handles the events that carrying out actions has raised.
func (l *eventLoop) handlePending() {
	for len(l.pendingEvents) > 0 {
		ev := l.pendingEvents[0]
		l.pendingEvents = l.pendingEvents[1:]
		l.handle(&ev)
	}
	l.pendingEvents = nil
}

func (l *eventLoop) performActions(actions []balancer.Action) {
	l.actions = actions
	for i := range actions {
		a := &actions[i]
		switch a.Kind {
		case balancer.ActionForward:
			l.forward(a)
		case balancer.ActionCancelAttempt:
			if r := l.requests[a.Request]; r != nil && a.Attempt >= 0 && a.Attempt < len(r.attempts) {
				if t := r.attempts[a.Attempt]; !t.done && t.cancel != nil {
					t.cancel()
				}
			}
		case balancer.ActionReject:
			if r := l.requests[a.Request]; r != nil {
				l.reject(r, a.Ms)
			}
		case balancer.ActionFail:
			if r := l.requests[a.Request]; r != nil {
				l.finish(r, finalResponse{kind: responseFailed, badRequest: r.badRequest})
			}
		case balancer.ActionSetTimer:
			token := a.Token
			time.AfterFunc(milliseconds(a.Ms), func() {
				l.post(func() { l.handle(&balancer.Event{Kind: balancer.EventTimer, Token: token}) })
			})
		case balancer.ActionWatchList:
			if !l.watching { // one watch is enough; it tells what another would
				l.watching = true
				go l.discovery.watch(l.ctx)
			}
		case balancer.ActionFetchList:
			if !l.fetching {
				l.fetching = true
				go l.discovery.fetch(l.ctx)
			}
		case balancer.ActionCloseIdle:
			if b := l.endpoints.byAddr[a.Server]; b != nil {
				l.pool.closeIdle(b.addr)
			}
		case balancer.ActionLog:
			l.log(slog.LevelInfo, "policy", "text", a.Text)
		case balancer.ActionHealthCheck:
			l.startHealthCheck(a.Server)
		}
	}
}
