// Package agent runs the decision module as a real agent: clients on one side,
// backends and discovery on the other, and a loop that turns what happens into
// the module's events and carries out its actions.
package agent

import (
	"context"
	"fmt"
	"hash/fnv"
	"log/slog"
	"net/http"
	"net/url"
	"slices"
	"strings"
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
	moduleMargin = 8 * time.Millisecond
	// backstopMargin is how long before the client's deadline the backstop answers,
	// well after the module should have.
	backstopMargin = 4 * time.Millisecond
	// sweepEvery is how often connections that idle too long are closed.
	sweepEvery = time.Second
	// figuresEvery is how often the counts go to the log.
	figuresEvery = time.Second
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

// figures are counted for the log: every few seconds, and at the end.
type metrics struct {
	requests, served, servedLate, rejected, failed, clientsGone, invalid, backstops, violations int
	// broken counts answers that were begun and not passed on whole.
	aborted int
	// ends counts the attempts by how they ended.
	attempts map[balancer.Status]int
	// probes counts the probes by how they ended.
	healthChecks map[balancer.Status]int
	// lists counts the answers of discovery, lines what they listed, and unlisted the
	// calls that failed: over all agents, the load that discovery bears.
	lists, endpoints, listFailures int
	// settings counts settings of the list service that were taken over, and settingsRefused those
	// that could not be.
	settings, settingsRejected int
	// acceptFailures counts the accepts of clients that failed for a moment.
	acceptFailures int
	// unlogged counts the lines that the log's bound left out.
	unlogged int
	// listIn and listOut count the bytes of calls to discovery, heads and all, and listCalls
	// the calls.
	listIn, listOut, listCalls uint64
}

// shown is what may be read of the loop from outside.
type publishedState struct {
	listVersion, servers atomic.Uint64 // of the list
	settingsVersion      atomic.Uint64 // the version of those in force
}

// call is a client's request as the front took it, and where its answer goes.
type clientRequest struct {
	ctx          context.Context // ends with its client
	clientGone   func() bool     // looks whether the client has left unnoticed; nil: it can't be looked
	id           string          // the client's
	arrivedAt    time.Time
	method, host string
	url          *url.URL
	header       http.Header
	body         []byte        // as far as it is kept
	streamed     *streamedBody // its rest, if there is more
	timeout      time.Duration
	rules        *balancer.RequestRules // as they were when it came
	key          uint64
	retry        bool
	deadline     time.Time
	response     chan finalResponse // of capacity one: the loop never waits for a client
}

// margin is how long before the client's deadline the backstop answers: less than
// backstopMargin where the client gives little time.
func (c *clientRequest) backstopMargin() time.Duration { return min(backstopMargin, c.timeout/16) }

// answerBy is when the backstop answers and no attempt goes on any more.
func (c *clientRequest) respondBy() time.Time { return c.deadline.Add(-c.backstopMargin()) }

type responseKind uint8

const (
	responseServed responseKind = iota
	responseRejected
	responseFailed
)

// answer is the one final answer to a call.
type finalResponse struct {
	kind         responseKind
	retryAfterMs float64 // refused: when the client may come back
	timedOut     bool    // failed: because the time was up
	badRequest   bool    // failed: because a backend called the request wrong
	header       http.Header
	body         *responseBody
}

// request is a call in the loop, kept until it is answered and no attempt is out.
type request struct {
	id          balancer.RequestID
	client      *clientRequest
	answered    bool
	attempts    []*attempt
	sendingBody bool      // a long body is on its way to a backend: its time has not begun
	inFlight    int       // attempts out
	mayHaveRun  int       // attempts that are out or may have run
	firstSentAt time.Time // when the first of those began
	badRequest  bool      // by a backend's word
	backstop    *time.Timer
}

type attempt struct {
	server    *upstreamServer
	cancel    context.CancelFunc
	done      bool
	startedAt time.Time
	status    balancer.Status // once it is done
	reason    string
	latencyMs float64
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
	sweep := time.NewTicker(sweepEvery)
	defer sweep.Stop()
	count := time.NewTicker(figuresEvery)
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
			l.log(slog.LevelInfo, "module", "text", a.Text)
		case balancer.ActionHealthCheck:
			l.startHealthCheck(a.Server)
		}
	}
}

// ---- requests ----

// take gives a call to the module. Beyond openCap nothing is taken on, as at the
// simulator, where such requests never reach the instance.
func (l *eventLoop) startRequest(c *clientRequest) *request {
	l.metrics.requests++
	l.nextID++
	r := &request{id: l.nextID, client: c}
	l.unanswered++
	left := time.Until(c.deadline)
	most := l.cfg.Settings.Limits.MaxOpenRequests
	if time.Until(c.respondBy()) <= 0 || most > 0 && l.unanswered > most {
		l.reject(r, l.cfg.Settings.Limits.MaxRetryAfterMs)
		return r
	}
	l.requests[r.id] = r
	r.backstop = time.AfterFunc(time.Until(c.respondBy()), func() {
		l.post(func() { l.backstopExpired(r) })
	})
	left -= min(moduleMargin, left/8)
	l.handle(&balancer.Event{Kind: balancer.EventRequest, Request: r.id, Rules: c.rules,
		Key: c.key, RemainingMs: float64(left.Microseconds()) / 1000, Retry: c.retry, StreamedBody: c.streamed != nil})
	return r
}

// written is told when the last byte of a long request is with its backend: from now on its
// time counts, and the backend works on it.
func (l *eventLoop) requestSent(r *request, index int) {
	r.sendingBody = false
	if r.answered {
		return
	}
	c := r.client
	c.deadline = c.streamed.respondBy(c.timeout)
	c.arrivedAt = c.deadline.Add(-c.timeout)
	r.backstop.Reset(time.Until(c.respondBy()))
	left := max(time.Until(c.deadline), 0)
	left -= min(moduleMargin, left/8)
	l.handle(&balancer.Event{Kind: balancer.EventRequestSent, Request: r.id, Attempt: index,
		RemainingMs: float64(left.Microseconds()) / 1000})
}

// late is the backstop: the module should have ended the request before. That it
// did not is a bug or a stall, so it is logged and counted.
func (l *eventLoop) backstopExpired(r *request) {
	if r.answered || r.sendingBody {
		return
	}
	l.metrics.backstops++
	l.log(slog.LevelWarn, "backstop ended a request", "id", r.client.id, "attempts", len(r.attempts), "out", r.inFlight,
		"late_ms", float64(time.Since(r.client.respondBy()).Microseconds())/1000)
	l.finish(r, finalResponse{kind: responseFailed, timedOut: true})
	l.cancelRequest(r)
}

// discard is called when nobody waits for the answer any more.
func (l *eventLoop) discardResponse(r *request) {
	l.clientLeft(r)
	select {
	case a := <-r.client.response:
		a.body.release()
	default:
	}
}

// breakOff withdraws the long requests that are still on their way to a backend: none has it
// whole, so they can come again, to another process.
func (l *eventLoop) cancelStreaming() {
	for _, r := range l.requests {
		if t := len(r.attempts) - 1; r.sendingBody && t >= 0 && r.attempts[t].cancel != nil {
			r.attempts[t].cancel()
		}
	}
}

// giveUp ends what is held: the process is about to be killed, and whatever has no final
// answer by then is lost. What can't have run may come again, to another process.
func (l *eventLoop) endAll() {
	for _, r := range l.requests {
		switch {
		case r.answered:
			continue
		case r.mayHaveRun == 0:
			l.reject(r, l.cfg.Settings.Limits.MaxRetryAfterMs)
		default:
			l.finish(r, finalResponse{kind: responseFailed, timedOut: true})
		}
		l.cancelRequest(r)
	}
}

// left is called when a client has gone away.
func (l *eventLoop) clientLeft(r *request) {
	if r.answered {
		return
	}
	l.closeForClient(r)
	l.cancelRequest(r)
}

// depart ends a request whose client has left.
func (l *eventLoop) closeForClient(r *request) {
	l.metrics.clientsGone++
	l.logRequest(r, "client left")
	l.closeRequest(r)
}

// abandon tells the module that a request is over, and withdraws its attempts.
func (l *eventLoop) cancelRequest(r *request) {
	for _, t := range r.attempts {
		if !t.done && t.cancel != nil {
			t.cancel()
		}
	}
	l.handle(&balancer.Event{Kind: balancer.EventClientGone, Request: r.id})
}

// refuse answers that a retry is harmless, unless an attempt may have run that
// makes it harmful: then the request has failed.
func (l *eventLoop) reject(r *request, afterMs float64) {
	c := r.client.rules
	if r.mayHaveRun > 0 && (c.Idempotency == balancer.NonIdempotent || c.Idempotency == balancer.IdempotentByKey && c.DedupScope != balancer.DedupFleet) {
		l.logViolation("refusal after an attempt that may have run", "id", r.client.id)
		l.finish(r, finalResponse{kind: responseFailed})
		return
	}
	l.finish(r, finalResponse{kind: responseRejected, retryAfterMs: afterMs})
}

// finish gives the final answer; only the first counts.
func (l *eventLoop) finish(r *request, a finalResponse) {
	if r.answered {
		return
	}
	aim := milliseconds(r.client.rules.LatencyObjectiveMs)
	switch {
	case a.kind == responseServed && time.Since(r.client.arrivedAt) <= aim:
		l.metrics.served++
	case a.kind == responseServed:
		l.metrics.servedLate++
		l.logRequest(r, "served late")
	case a.kind == responseRejected:
		l.metrics.rejected++
		l.logRequest(r, "refused")
	case a.kind == responseFailed:
		l.metrics.failed++
		l.logRequest(r, "failed")
	}
	r.client.response <- a
	l.closeRequest(r)
}

// close marks a request as over and forgets it as soon as no attempt is out.
func (l *eventLoop) closeRequest(r *request) {
	if !r.answered {
		r.answered = true
		l.unanswered--
	}
	if r.backstop != nil {
		r.backstop.Stop()
	}
	if r.inFlight == 0 {
		delete(l.requests, r.id)
	}
}

// ---- attempts ----

func (l *eventLoop) forward(a *balancer.Action) {
	r := l.requests[a.Request]
	if r == nil {
		// The request is over and forgotten: nothing can be sent, or counted.
		l.logViolation("attempt for a request that is over")
		return
	}
	index := len(r.attempts)
	b := l.endpoints.byAddr[a.Server]
	now := time.Now()
	t := &attempt{server: b, startedAt: now}
	r.attempts = append(r.attempts, t)
	// Also the last byte of a long body may have come by now, which nobody has read yet.
	until := r.client.respondBy()
	long := r.client.streamed != nil
	if a.Ms != 0 {
		until = earliest(until, now.Add(milliseconds(a.Ms)))
	}
	why := ""
	if !r.answered && r.client.ctx.Err() != nil {
		why = errClientGone.Error() // the front's word of it is on its way
		l.closeForClient(r)
	} else if why = l.violation(r, b, now, until); why != "" {
		l.logViolation(why, "id", r.client.id)
	}
	if why != "" {
		t.done, t.status, t.reason = true, balancer.StatusUnsent, why
		l.pendingEvents = append(l.pendingEvents, balancer.Event{Kind: balancer.EventAttemptDone, Request: r.id, Attempt: index,
			Server: a.Server, Status: balancer.StatusUnsent, RequestDone: r.answered})
		return
	}
	var sendBy time.Time
	if r.mayHaveRun == 0 {
		r.firstSentAt = now
	} else if c := r.client.rules; c.Idempotency == balancer.IdempotentByKey {
		// Backends drop repeats for so long. The connect may take its time, so the module's
		// look at the clock is not enough; what is written has a round to arrive.
		sendBy = r.firstSentAt.Add(milliseconds(c.DedupWindowMs - 2*l.cfg.Settings.RoundTripMs))
	}
	r.sendingBody = long
	r.inFlight++
	r.mayHaveRun++
	b.inFlight++
	// Withdrawn by the client's leaving as well, and not only by the loop once it knows.
	ctx, cancel := context.WithCancel(r.client.ctx)
	t.cancel = cancel
	addr := b.addr
	m := &upstreamMessage{newRequest: r.client.upstreamRequest, streamed: r.client.streamed, clientGone: r.client.clientGone, sendBy: sendBy, responseTime: r.client.timeout - r.client.backstopMargin(),
		onSent: func() { l.post(func() { l.requestSent(r, index) }) }}
	go func() {
		res := l.pool.attempt(ctx, b, addr, m, now, until)
		cancel()
		l.post(func() { l.attemptDone(r, index, &res) })
	}()
}

// probe validates a backend in the background. The module waits for one end of each
// probe, so one that can't be sent has ended too.
func (l *eventLoop) startHealthCheck(name balancer.Addr) {
	b := l.endpoints.byAddr[name]
	if b == nil || b.addr == "" || b.unavailable.Load() || !l.cfg.Settings.Limits.HealthChecks {
		l.pendingEvents = append(l.pendingEvents, balancer.Event{Kind: balancer.EventHealthCheckDone, Server: name, Status: balancer.StatusUnsent})
		return
	}
	b.inFlight++
	addr := b.addr
	go func() {
		res := l.pool.healthCheck(l.ctx, b, addr, l.cfg.Listen)
		l.post(func() { l.healthCheckDone(b, &res) })
	}()
}

// probed takes the end of a probe.
func (l *eventLoop) healthCheckDone(b *upstreamServer, res *attemptResult) {
	b.inFlight--
	l.metrics.healthChecks[res.status]++
	if res.status != balancer.StatusOK {
		l.log(slog.LevelInfo, "probe failed", "backend", b.id, "ended", res.status, "why", res.reason)
	}
	l.handle(&balancer.Event{Kind: balancer.EventHealthCheckDone, Server: b.policyAddr, Status: res.status,
		LatencyMs: res.latencyMs})
	l.endpoints.forget(b)
}

// forbidden guards the contract whatever the module says; "" allows the attempt.
func (l *eventLoop) violation(r *request, b *upstreamServer, now, until time.Time) string {
	c := r.client.rules
	switch {
	case r.answered:
		return "attempt for a request that is over"
	case b == nil || b.addr == "":
		return "attempt to a backend that is not listed"
	case b.unavailable.Load():
		return "attempt to a backend that drains or is gone"
	case r.inFlight > 0:
		return "second attempt while one is out"
	case len(r.attempts) > c.MaxAttempts:
		return "more attempts than allowed"
	case r.client.streamed.isConsumed():
		return "repeat of a body that was not kept"
	case r.mayHaveRun > 0 && c.Idempotency == balancer.NonIdempotent:
		return "repeat of an unsafe request that may have run"
	case !until.After(now):
		return "attempt without time"
	}
	return ""
}

// ended takes the end of an attempt.
func (l *eventLoop) attemptDone(r *request, index int, res *attemptResult) {
	t := r.attempts[index]
	t.done, t.status, t.reason, t.latencyMs = true, res.status, res.reason, res.latencyMs
	l.metrics.attempts[res.status]++
	t.server.inFlight--
	r.inFlight--
	if res.status.NotExecuted() {
		r.mayHaveRun--
	}
	r.badRequest = res.status == balancer.StatusBadRequest
	r.sendingBody = false
	switch {
	case r.answered:
		res.body.release()
	case res.status != balancer.StatusOK && r.client.ctx.Err() != nil:
		l.clientLeft(r) // the front's word of it is on its way
	case res.status == balancer.StatusOK:
		l.finish(r, finalResponse{kind: responseServed, header: res.header, body: res.body})
	case res.clientErr != nil:
		// No more of the request comes, so it is none, and no backend has it whole.
		l.finish(r, finalResponse{kind: responseFailed, badRequest: true})
	}
	l.handle(&balancer.Event{Kind: balancer.EventAttemptDone, Request: r.id, Attempt: index, Server: t.server.policyAddr,
		Status: res.status, LatencyMs: res.latencyMs, RequestDone: r.answered, BodyConsumed: r.client.streamed.isConsumed()})
	if r.answered && r.inFlight == 0 {
		delete(l.requests, r.id)
	}
	l.endpoints.forget(t.server)
}

// ---- discovery ----

// reload takes over what may change in service: the settings and where discovery is. An error is why
// nothing of it is in force.
func (l *eventLoop) applyConfig(cfg *Config) error {
	if err := l.balancer.Retune(cfg.Settings); err != nil {
		// The file was checked as a whole: nothing of it may be in force without the rest.
		l.logAlways(slog.LevelError, "settings not taken over", "err", err)
		return err
	}
	l.cfg.Settings = cfg.Settings
	l.pool.applySettings(cfg)
	args := []any{"classes", len(cfg.Settings.Classes), "max_attempts", cfg.Settings.Limits.MaxAttempts}
	version := cfg.settingsVersion()
	if version != 0 {
		args = append(args, "version", version)
	}
	if l.published.settingsVersion.Swap(version) != version {
		l.metrics.settings++
	}
	l.logAlways(slog.LevelInfo, "settings taken over", args...)
	if told := l.cfg.Hooks.OnSettings; told != nil {
		told(version)
	}
	l.moveDiscovery(cfg)
	return nil
}

// moveDiscovery has the calls go to the addresses of a configuration, where those are others.
func (l *eventLoop) moveDiscovery(cfg *Config) {
	own := *l.cfg
	own.Discovery = cfg.Discovery
	if l.cfg.Control != nil && cfg.Control != nil { // an agent without the section is so until its end
		own.Control = &Control{Service: l.cfg.Control.Service, Addresses: cfg.Control.Addresses}
	}
	from, to := l.cfg.addresses(), own.addresses()
	if slices.Equal(from, to) {
		return
	}
	l.logAlways(slog.LevelInfo, "discovery moves", "from", strings.Join(from, ","), "to", strings.Join(to, ","))
	l.cfg.Discovery, l.cfg.Control = own.Discovery, own.Control
	l.discovery.moveTo(to...)
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
	l.log(slog.LevelInfo, "list", "watch", n.watch, "full", list.Full, "from", l.listVersion, "to", list.Version,
		"lines", len(list.Servers))
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

// onFleet takes a new view of the fleet. Nothing rests on it yet but the log.
func (l *eventLoop) onMembershipView(v *membership.View) {
	l.membershipView = v
	l.log(slog.LevelInfo, "fleet view", "number", v.Number, "present", v.Present, "of", v.Size, "digest", v.Digest)
}

// ---- the log ----

func (l *eventLoop) logViolation(what string, args ...any) {
	l.metrics.violations++
	l.log(slog.LevelError, "guard: "+what, args...)
}

// course logs what became of a request that did not end well, from its arrival
// through each attempt: one line tells where its time went.
func (l *eventLoop) logRequest(r *request, how string) {
	if !l.allowLog() {
		return
	}
	c := r.client
	sinceMs := func(t time.Time) int64 { return t.Sub(c.arrivedAt).Milliseconds() }
	var steps strings.Builder
	for _, t := range r.attempts {
		id := "unlisted"
		if t.server != nil {
			id = t.server.id
		}
		fmt.Fprintf(&steps, "[%s at %d", id, sinceMs(t.startedAt))
		switch {
		case !t.done:
			steps.WriteString(" is out]")
		case t.reason == "":
			fmt.Fprintf(&steps, " ended %d after %.0f]", t.status, t.latencyMs)
		default:
			fmt.Fprintf(&steps, " ended %d after %.0f: %s]", t.status, t.latencyMs, t.reason)
		}
	}
	l.logAlways(slog.LevelInfo, "request "+how, "id", c.id, "class", c.rules.Name,
		"retry", c.retry, "after_ms", sinceMs(time.Now()), "of_ms", sinceMs(c.deadline),
		"open", l.unanswered, "attempts", steps.String())
}

// brokenOff counts and logs an answer that was begun and not passed on whole.
func (l *eventLoop) responseAborted(c *clientRequest, fromServer, toClient error) {
	l.metrics.aborted++
	l.log(slog.LevelWarn, "answer broken off", "id", c.id, "after_ms", time.Since(c.arrivedAt).Milliseconds(),
		"from_server", fromServer, "to_client", toClient)
}

// rejected counts and logs what came in that is no request of the protocol's.
func (l *eventLoop) invalidRequest(id, from string, status int, err error) {
	l.metrics.invalid++
	l.log(slog.LevelWarn, "request rejected", "id", id, "from", from, "status", status, "err", err)
}

// counts are the figures as they are now.
func (l *eventLoop) currentMetrics() *metrics {
	n := &l.discovery.counters
	l.metrics.listIn, l.metrics.listOut, l.metrics.listCalls = n.bytesIn.Load(), n.bytesOut.Load(), n.calls.Load()
	return &l.metrics
}

func (l *eventLoop) logMetrics() {
	l.logAlways(slog.LevelInfo, "figures", "open", l.unanswered, "backend_conns", l.pool.size(), "connects", l.pool.connectCount(), "idle_limit", l.pool.idleLimit(),
		"module", fmt.Sprintf("%+v", l.balancer.Stats()),
		"counts", fmt.Sprintf("%+v", *l.currentMetrics()))
}

// mayLog bounds the lines a second, and counts what the bound left out.
func (l *eventLoop) allowLog() bool {
	if l.logLimit.Allow() {
		return true
	}
	l.metrics.unlogged++
	return false
}

func (l *eventLoop) log(level slog.Level, text string, args ...any) {
	if l.allowLog() {
		l.logAlways(level, text, args...)
	}
}

// write hands a line to writeLog; one too many for its reader is left out.
func (l *eventLoop) logAlways(level slog.Level, text string, args ...any) {
	logger := l.logger
	select {
	case l.logLines <- func() { logger.Log(l.ctx, level, text, args...) }:
	default:
		l.metrics.unlogged++
	}
}

// writeLog writes the loop's log lines. The loop does not write itself: a log that
// nobody reads blocks its writer, and every request with it.
func (l *eventLoop) writeLogLines() {
	for {
		select {
		case line := <-l.logLines:
			line()
		case <-l.ctx.Done():
			return
		}
	}
}

// hashString is FNV-1a, never 0: the same at every agent, which maphash is not.
func hashString(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	if v := h.Sum64(); v != 0 {
		return v
	}
	return 1
}
