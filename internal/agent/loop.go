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
type loop struct {
	cfg      *Config
	ctx      context.Context
	balancer *policy.Balancer
	table    *table
	pool     *pool
	disc     *discovery
	logger   *slog.Logger
	limit    *rate.Limiter // the log is bounded work on one core
	lines    chan func()   // log lines on their way to whoever reads the log

	inbox    chan func()
	clock    *loopClock
	starts   *startTimes
	nextID   balancer.RequestID
	requests map[balancer.RequestID]*request
	open     int // requests that have no answer yet
	pending  []balancer.Event
	actions  []balancer.Action
	version  uint64 // of the list
	source   *place // whose count that is
	watching bool
	fetching bool
	ready    func()
	told     uint64 // the version that was last told as in force
	shown    shown
	figures  figures
	fleet    *membership.Snapshot // nil: there is none
}

// figures are counted for the log: every few seconds, and at the end.
type figures struct {
	taken, served, late, refused, failed, gone, rejected, backstops, guarded int
	// broken counts answers that were begun and not passed on whole.
	broken int
	// ends counts the attempts by how they ended.
	ends map[balancer.Status]int
	// probes counts the probes by how they ended.
	probes map[balancer.Status]int
	// lists counts the answers of discovery, lines what they listed, and unlisted the
	// calls that failed: over all agents, the load that discovery bears.
	lists, lines, unlisted int
	// settings counts settings of the list service that were taken over, and settingsRefused those
	// that could not be.
	settings, settingsRefused int
	// acceptFailures counts the accepts of clients that failed for a moment.
	acceptFailures int
	// unlogged counts the lines that the log's bound left out.
	unlogged int
	// listIn and listOut count the bytes of calls to discovery, heads and all, and listCalls
	// the calls.
	listIn, listOut, listCalls uint64
}

// shown is what may be read of the loop from outside.
type shown struct {
	version, servers atomic.Uint64 // of the list
	settings         atomic.Uint64 // the version of those in force
}

// call is a client's request as the front took it, and where its answer goes.
type call struct {
	ctx          context.Context // ends with its client
	gone         func() bool     // looks whether the client has left unnoticed; nil: it can't be looked
	id           string          // the client's
	came         time.Time
	method, host string
	url          *url.URL
	header       http.Header
	body         []byte    // as far as it is kept
	long         *longBody // its rest, if there is more
	timeout      time.Duration
	rules        *balancer.RequestRules // as they were when it came
	key          uint64
	retry        bool
	deadline     time.Time
	answer       chan answer // of capacity one: the loop never waits for a client
}

// margin is how long before the client's deadline the backstop answers: less than
// backstopMargin where the client gives little time.
func (c *call) margin() time.Duration { return min(backstopMargin, c.timeout/16) }

// answerBy is when the backstop answers and no attempt goes on any more.
func (c *call) answerBy() time.Time { return c.deadline.Add(-c.margin()) }

type verdict uint8

const (
	served verdict = iota
	refused
	failed
)

// answer is the one final answer to a call.
type answer struct {
	verdict verdict
	afterMs float64 // refused: when the client may come back
	late    bool    // failed: because the time was up
	unfit   bool    // failed: because a backend called the request wrong
	header  http.Header
	body    *payload
}

// request is a call in the loop, kept until it is answered and no attempt is out.
type request struct {
	id       balancer.RequestID
	call     *call
	answered bool
	attempts []*attempt
	writing  bool      // a long body is on its way to a backend: its time has not begun
	out      int       // attempts out
	mayRun   int       // attempts that are out or may have run
	ranAt    time.Time // when the first of those began
	unfit    bool      // by a backend's word
	backstop *time.Timer
}

type attempt struct {
	backend *backend
	cancel  context.CancelFunc
	done    bool
	sent    time.Time
	end     balancer.Status // once it is done
	why     string
	tookMs  float64
}

func newLoop(ctx context.Context, cfg *Config, ready func()) (*loop, error) {
	decisions, err := policy.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	log := cfg.logger()
	now := newLoopClock(cfg.clock())
	own := *cfg // its settings change as the loop says
	l := &loop{cfg: &own, ctx: ctx, balancer: decisions, table: newTable(cfg.Zones, cfg.Kinds),
		pool: newPool(cfg), logger: log, limit: rate.NewLimiter(5, 50), lines: make(chan func(), 64), inbox: make(chan func(), 4096),
		clock: now, starts: newStartTimes(now),
		requests: map[balancer.RequestID]*request{}, ready: ready,
		figures: figures{ends: map[balancer.Status]int{}, probes: map[balancer.Status]int{}}}
	l.disc = newDiscovery(cfg.Discovery, cfg.Known.Version, func(n news) { l.post(func() { l.onList(n) }) })
	l.disc.from, l.disc.clock = cfg.CallFrom, now
	if cfg.Control != nil {
		l.disc.control(cfg, cfg.Known.Version)
	}
	l.source = l.disc.at()
	return l, nil
}

// post hands the loop something to do; it may wait, so the loop itself never calls it.
func (l *loop) post(f func()) {
	select {
	case l.inbox <- f:
	case <-l.ctx.Done():
	}
}

// run is the loop; it ends with the context.
func (l *loop) run() {
	go l.writeLog()
	l.carryOut(l.balancer.Start(l.clock.now(), l.actions[:0]))
	// The list as last had comes with the start, however old, as at the simulator.
	l.list(&l.cfg.Known, balancer.ListCached, true, listing{})
	l.drain()
	if l.table.usable() {
		l.ready()
	}
	if l.keepsWatch() {
		l.watching = true
		go l.disc.follow(l.ctx)
	}
	sweep := time.NewTicker(sweepEvery)
	defer sweep.Stop()
	count := time.NewTicker(figuresEvery)
	defer count.Stop()
	for {
		select {
		case f := <-l.inbox:
			f()
			l.drain()
		case <-sweep.C:
			l.pool.sweep()
		case <-count.C:
			l.logFigures()
		case <-l.ctx.Done():
			return
		}
	}
}

// handle gives the module one event and carries out what it answers.
func (l *loop) handle(ev *balancer.Event) {
	l.carryOut(l.balancer.Handle(l.clock.now(), ev, l.actions[:0]))
}

// drain handles the events that carrying out actions has raised.
func (l *loop) drain() {
	for len(l.pending) > 0 {
		ev := l.pending[0]
		l.pending = l.pending[1:]
		l.handle(&ev)
	}
	l.pending = nil
}

func (l *loop) carryOut(actions []balancer.Action) {
	l.actions = actions
	for i := range actions {
		a := &actions[i]
		switch a.Kind {
		case balancer.ActionForward:
			l.send(a)
		case balancer.ActionCancelAttempt:
			if r := l.requests[a.Request]; r != nil && a.Attempt >= 0 && a.Attempt < len(r.attempts) {
				if t := r.attempts[a.Attempt]; !t.done && t.cancel != nil {
					t.cancel()
				}
			}
		case balancer.ActionReject:
			if r := l.requests[a.Request]; r != nil {
				l.refuse(r, a.Ms)
			}
		case balancer.ActionFail:
			if r := l.requests[a.Request]; r != nil {
				l.finish(r, answer{verdict: failed, unfit: r.unfit})
			}
		case balancer.ActionSetTimer:
			token := a.Token
			time.AfterFunc(ms(a.Ms), func() {
				l.post(func() { l.handle(&balancer.Event{Kind: balancer.EventTimer, Token: token}) })
			})
		case balancer.ActionWatchList:
			if !l.watching { // one watch is enough; it tells what another would
				l.watching = true
				go l.disc.watch(l.ctx)
			}
		case balancer.ActionFetchList:
			if !l.fetching {
				l.fetching = true
				go l.disc.fetch(l.ctx)
			}
		case balancer.ActionCloseIdle:
			if b := l.table.byAddr[a.Server]; b != nil {
				l.pool.hangUp(b.addr)
			}
		case balancer.ActionLog:
			l.log(slog.LevelInfo, "module", "text", a.Text)
		case balancer.ActionHealthCheck:
			l.probe(a.Server)
		}
	}
}

// ---- requests ----

// take gives a call to the module. Beyond openCap nothing is taken on, as at the
// simulator, where such requests never reach the instance.
func (l *loop) take(c *call) *request {
	l.figures.taken++
	l.nextID++
	r := &request{id: l.nextID, call: c}
	l.open++
	left := time.Until(c.deadline)
	most := l.cfg.Settings.Limits.MaxOpenRequests
	if time.Until(c.answerBy()) <= 0 || most > 0 && l.open > most {
		l.refuse(r, l.cfg.Settings.Limits.MaxRetryAfterMs)
		return r
	}
	l.requests[r.id] = r
	r.backstop = time.AfterFunc(time.Until(c.answerBy()), func() {
		l.post(func() { l.late(r) })
	})
	left -= min(moduleMargin, left/8)
	l.handle(&balancer.Event{Kind: balancer.EventRequest, Request: r.id, Rules: c.rules,
		Key: c.key, RemainingMs: float64(left.Microseconds()) / 1000, Retry: c.retry, StreamedBody: c.long != nil})
	return r
}

// written is told when the last byte of a long request is with its backend: from now on its
// time counts, and the backend works on it.
func (l *loop) written(r *request, index int) {
	r.writing = false
	if r.answered {
		return
	}
	c := r.call
	c.deadline = c.long.answerBy(c.timeout)
	c.came = c.deadline.Add(-c.timeout)
	r.backstop.Reset(time.Until(c.answerBy()))
	left := max(time.Until(c.deadline), 0)
	left -= min(moduleMargin, left/8)
	l.handle(&balancer.Event{Kind: balancer.EventRequestSent, Request: r.id, Attempt: index,
		RemainingMs: float64(left.Microseconds()) / 1000})
}

// late is the backstop: the module should have ended the request before. That it
// did not is a bug or a stall, so it is logged and counted.
func (l *loop) late(r *request) {
	if r.answered || r.writing {
		return
	}
	l.figures.backstops++
	l.log(slog.LevelWarn, "backstop ended a request", "id", r.call.id, "attempts", len(r.attempts), "out", r.out,
		"late_ms", float64(time.Since(r.call.answerBy()).Microseconds())/1000)
	l.finish(r, answer{verdict: failed, late: true})
	l.abandon(r)
}

// discard is called when nobody waits for the answer any more.
func (l *loop) discard(r *request) {
	l.left(r)
	select {
	case a := <-r.call.answer:
		a.body.end()
	default:
	}
}

// breakOff withdraws the long requests that are still on their way to a backend: none has it
// whole, so they can come again, to another process.
func (l *loop) breakOff() {
	for _, r := range l.requests {
		if t := len(r.attempts) - 1; r.writing && t >= 0 && r.attempts[t].cancel != nil {
			r.attempts[t].cancel()
		}
	}
}

// giveUp ends what is held: the process is about to be killed, and whatever has no final
// answer by then is lost. What can't have run may come again, to another process.
func (l *loop) giveUp() {
	for _, r := range l.requests {
		switch {
		case r.answered:
			continue
		case r.mayRun == 0:
			l.refuse(r, l.cfg.Settings.Limits.MaxRetryAfterMs)
		default:
			l.finish(r, answer{verdict: failed, late: true})
		}
		l.abandon(r)
	}
}

// left is called when a client has gone away.
func (l *loop) left(r *request) {
	if r.answered {
		return
	}
	l.depart(r)
	l.abandon(r)
}

// depart ends a request whose client has left.
func (l *loop) depart(r *request) {
	l.figures.gone++
	l.course(r, "client left")
	l.close(r)
}

// abandon tells the module that a request is over, and withdraws its attempts.
func (l *loop) abandon(r *request) {
	for _, t := range r.attempts {
		if !t.done && t.cancel != nil {
			t.cancel()
		}
	}
	l.handle(&balancer.Event{Kind: balancer.EventClientGone, Request: r.id})
}

// refuse answers that a retry is harmless, unless an attempt may have run that
// makes it harmful: then the request has failed.
func (l *loop) refuse(r *request, afterMs float64) {
	c := r.call.rules
	if r.mayRun > 0 && (c.Idempotency == balancer.NonIdempotent || c.Idempotency == balancer.IdempotentByKey && c.DedupScope != balancer.DedupFleet) {
		l.guard("refusal after an attempt that may have run", "id", r.call.id)
		l.finish(r, answer{verdict: failed})
		return
	}
	l.finish(r, answer{verdict: refused, afterMs: afterMs})
}

// finish gives the final answer; only the first counts.
func (l *loop) finish(r *request, a answer) {
	if r.answered {
		return
	}
	aim := ms(r.call.rules.LatencyObjectiveMs)
	switch {
	case a.verdict == served && time.Since(r.call.came) <= aim:
		l.figures.served++
	case a.verdict == served:
		l.figures.late++
		l.course(r, "served late")
	case a.verdict == refused:
		l.figures.refused++
		l.course(r, "refused")
	case a.verdict == failed:
		l.figures.failed++
		l.course(r, "failed")
	}
	r.call.answer <- a
	l.close(r)
}

// close marks a request as over and forgets it as soon as no attempt is out.
func (l *loop) close(r *request) {
	if !r.answered {
		r.answered = true
		l.open--
	}
	if r.backstop != nil {
		r.backstop.Stop()
	}
	if r.out == 0 {
		delete(l.requests, r.id)
	}
}

// ---- attempts ----

func (l *loop) send(a *balancer.Action) {
	r := l.requests[a.Request]
	if r == nil {
		// The request is over and forgotten: nothing can be sent, or counted.
		l.guard("attempt for a request that is over")
		return
	}
	index := len(r.attempts)
	b := l.table.byAddr[a.Server]
	now := time.Now()
	t := &attempt{backend: b, sent: now}
	r.attempts = append(r.attempts, t)
	// Also the last byte of a long body may have come by now, which nobody has read yet.
	until := r.call.answerBy()
	long := r.call.long != nil
	if a.Ms != 0 {
		until = earliest(until, now.Add(ms(a.Ms)))
	}
	why := ""
	if !r.answered && r.call.ctx.Err() != nil {
		why = errGone.Error() // the front's word of it is on its way
		l.depart(r)
	} else if why = l.forbidden(r, b, now, until); why != "" {
		l.guard(why, "id", r.call.id)
	}
	if why != "" {
		t.done, t.end, t.why = true, balancer.StatusUnsent, why
		l.pending = append(l.pending, balancer.Event{Kind: balancer.EventAttemptDone, Request: r.id, Attempt: index,
			Server: a.Server, Status: balancer.StatusUnsent, RequestDone: r.answered})
		return
	}
	var sendBy time.Time
	if r.mayRun == 0 {
		r.ranAt = now
	} else if c := r.call.rules; c.Idempotency == balancer.IdempotentByKey {
		// Backends drop repeats for so long. The connect may take its time, so the module's
		// look at the clock is not enough; what is written has a round to arrive.
		sendBy = r.ranAt.Add(ms(c.DedupWindowMs - 2*l.cfg.Settings.RoundTripMs))
	}
	r.writing = long
	r.out++
	r.mayRun++
	b.out++
	// Withdrawn by the client's leaving as well, and not only by the loop once it knows.
	ctx, cancel := context.WithCancel(r.call.ctx)
	t.cancel = cancel
	addr := b.addr
	m := &message{request: r.call.request, long: r.call.long, gone: r.call.gone, sendBy: sendBy, within: r.call.timeout - r.call.margin(),
		written: func() { l.post(func() { l.written(r, index) }) }}
	go func() {
		res := l.pool.do(ctx, b, addr, m, now, until)
		cancel()
		l.post(func() { l.ended(r, index, &res) })
	}()
}

// probe validates a backend in the background. The module waits for one end of each
// probe, so one that can't be sent has ended too.
func (l *loop) probe(name balancer.Addr) {
	b := l.table.byAddr[name]
	if b == nil || b.addr == "" || b.closed.Load() || !l.cfg.Settings.Limits.HealthChecks {
		l.pending = append(l.pending, balancer.Event{Kind: balancer.EventHealthCheckDone, Server: name, Status: balancer.StatusUnsent})
		return
	}
	b.out++
	addr := b.addr
	go func() {
		res := l.pool.probe(l.ctx, b, addr, l.cfg.Listen)
		l.post(func() { l.probed(b, &res) })
	}()
}

// probed takes the end of a probe.
func (l *loop) probed(b *backend, res *result) {
	b.out--
	l.figures.probes[res.status]++
	if res.status != balancer.StatusOK {
		l.log(slog.LevelInfo, "probe failed", "backend", b.id, "ended", res.status, "why", res.why)
	}
	l.handle(&balancer.Event{Kind: balancer.EventHealthCheckDone, Server: b.name, Status: res.status,
		LatencyMs: res.latencyMs})
	l.table.forget(b)
}

// forbidden guards the contract whatever the module says; "" allows the attempt.
func (l *loop) forbidden(r *request, b *backend, now, until time.Time) string {
	c := r.call.rules
	switch {
	case r.answered:
		return "attempt for a request that is over"
	case b == nil || b.addr == "":
		return "attempt to a backend that is not listed"
	case b.closed.Load():
		return "attempt to a backend that drains or is gone"
	case r.out > 0:
		return "second attempt while one is out"
	case len(r.attempts) > c.MaxAttempts:
		return "more attempts than allowed"
	case r.call.long.spent():
		return "repeat of a body that was not kept"
	case r.mayRun > 0 && c.Idempotency == balancer.NonIdempotent:
		return "repeat of an unsafe request that may have run"
	case !until.After(now):
		return "attempt without time"
	}
	return ""
}

// ended takes the end of an attempt.
func (l *loop) ended(r *request, index int, res *result) {
	t := r.attempts[index]
	t.done, t.end, t.why, t.tookMs = true, res.status, res.why, res.latencyMs
	l.figures.ends[res.status]++
	t.backend.out--
	r.out--
	if res.status.NotExecuted() {
		r.mayRun--
	}
	r.unfit = res.status == balancer.StatusBadRequest
	r.writing = false
	switch {
	case r.answered:
		res.body.end()
	case res.status != balancer.StatusOK && r.call.ctx.Err() != nil:
		l.left(r) // the front's word of it is on its way
	case res.status == balancer.StatusOK:
		l.finish(r, answer{verdict: served, header: res.header, body: res.body})
	case res.client != nil:
		// No more of the request comes, so it is none, and no backend has it whole.
		l.finish(r, answer{verdict: failed, unfit: true})
	}
	l.handle(&balancer.Event{Kind: balancer.EventAttemptDone, Request: r.id, Attempt: index, Server: t.backend.name,
		Status: res.status, LatencyMs: res.latencyMs, RequestDone: r.answered, BodyConsumed: r.call.long.spent()})
	if r.answered && r.out == 0 {
		delete(l.requests, r.id)
	}
	l.table.forget(t.backend)
}

// ---- discovery ----

// reload takes over what may change in service: the settings and where discovery is. An error is why
// nothing of it is in force.
func (l *loop) reload(cfg *Config) error {
	if err := l.balancer.Retune(cfg.Settings); err != nil {
		// The file was checked as a whole: nothing of it may be in force without the rest.
		l.write(slog.LevelError, "settings not taken over", "err", err)
		return err
	}
	l.cfg.Settings = cfg.Settings
	l.pool.retune(cfg)
	args := []any{"classes", len(cfg.Settings.Classes), "max_attempts", cfg.Settings.Limits.MaxAttempts}
	version := cfg.settingsVersion()
	if version != 0 {
		args = append(args, "version", version)
	}
	if l.shown.settings.Swap(version) != version {
		l.figures.settings++
	}
	l.write(slog.LevelInfo, "settings taken over", args...)
	if told := l.cfg.Hooks.OnSettings; told != nil {
		told(version)
	}
	l.moveDiscovery(cfg)
	return nil
}

// moveDiscovery has the calls go to the addresses of a configuration, where those are others.
func (l *loop) moveDiscovery(cfg *Config) {
	own := *l.cfg
	own.Discovery = cfg.Discovery
	if l.cfg.Control != nil && cfg.Control != nil { // an agent without the section is so until its end
		own.Control = &Control{Service: l.cfg.Control.Service, Addresses: cfg.Control.Addresses}
	}
	from, to := l.cfg.addresses(), own.addresses()
	if slices.Equal(from, to) {
		return
	}
	l.write(slog.LevelInfo, "discovery moves", "from", strings.Join(from, ","), "to", strings.Join(to, ","))
	l.cfg.Discovery, l.cfg.Control = own.Discovery, own.Control
	l.disc.move(to...)
}

// onList takes an answer of discovery. A watch and a fetch may cross: what is older than
// the list at hand is dropped, unless all there is was asked for, as after a move. The address
// that was left counts until the new one has answered.
func (l *loop) onList(n news) {
	if !n.watch {
		l.fetching = false
	}
	if n.err != nil {
		l.figures.unlisted++
		l.log(slog.LevelWarn, "discovery call failed", "watch", n.watch, "err", n.err)
		if n.watch && l.keepsWatch() {
			return // the module did not ask for the watch, which goes on by itself
		}
		if n.watch {
			l.watching = false
		}
		l.handle(&balancer.Event{Kind: balancer.EventList, ListUpdate: balancer.ListFailed})
		return
	}
	list := n.list
	l.figures.lists++
	l.figures.lines += len(list.Servers)
	l.log(slog.LevelInfo, "list", "watch", n.watch, "full", list.Full, "from", l.version, "to", list.Version,
		"lines", len(list.Servers))
	if n.from != l.source {
		if n.from != l.disc.at() {
			return // the new address has answered already
		}
		l.source, n.anew = n.from, true
	}
	if list.Version < l.version && !n.anew {
		return
	}
	kind := balancer.ListDelta
	if list.Full {
		kind = balancer.ListFull
	}
	told := listing{older: list.Version < l.version, after: n.after}
	if n.anew {
		told.after = 0
	}
	l.list(list, kind, list.Full, told)
	if l.table.usable() {
		l.ready()
	}
}

// keepsWatch tells whether the agent keeps a watch by itself, and not as the module asks.
func (l *loop) keepsWatch() bool { return l.disc.turn != nil || l.pushed() }

// pushed tells whether changes of the list come without the module's asking.
func (l *loop) pushed() bool { return l.cfg.Settings.DiscoveryMode == "pushed" }

func (l *loop) list(list *List, kind balancer.ListUpdate, full bool, told listing) {
	l.version = list.Version
	entries, stale, gone := l.table.apply(list, full, func(t *Target) float64 { return l.starts.resolve(t, told) })
	for _, addr := range stale {
		l.pool.hangUp(addr)
	}
	l.handle(&balancer.Event{Kind: balancer.EventList, ListUpdate: kind, Endpoints: entries})
	for _, b := range gone {
		l.table.forget(b)
	}
	l.starts.prune(l.table.byID)
	l.shown.version.Store(list.Version)
	l.shown.servers.Store(uint64(len(l.table.byID)))
	if told := l.cfg.Hooks.OnList; told != nil && list.Version != l.told {
		told(list.Version)
	}
	l.told = list.Version
}

// onFleet takes a new view of the fleet. Nothing rests on it yet but the log.
func (l *loop) onFleet(v *membership.Snapshot) {
	l.fleet = v
	l.log(slog.LevelInfo, "fleet view", "number", v.Number, "present", v.Present, "of", v.Size, "digest", v.Digest)
}

// ---- the log ----

func (l *loop) guard(what string, args ...any) {
	l.figures.guarded++
	l.log(slog.LevelError, "guard: "+what, args...)
}

// course logs what became of a request that did not end well, from its arrival
// through each attempt: one line tells where its time went.
func (l *loop) course(r *request, how string) {
	if !l.mayLog() {
		return
	}
	c := r.call
	sinceMs := func(t time.Time) int64 { return t.Sub(c.came).Milliseconds() }
	var steps strings.Builder
	for _, t := range r.attempts {
		id := "unlisted"
		if t.backend != nil {
			id = t.backend.id
		}
		fmt.Fprintf(&steps, "[%s at %d", id, sinceMs(t.sent))
		switch {
		case !t.done:
			steps.WriteString(" is out]")
		case t.why == "":
			fmt.Fprintf(&steps, " ended %d after %.0f]", t.end, t.tookMs)
		default:
			fmt.Fprintf(&steps, " ended %d after %.0f: %s]", t.end, t.tookMs, t.why)
		}
	}
	l.write(slog.LevelInfo, "request "+how, "id", c.id, "class", c.rules.Name,
		"retry", c.retry, "after_ms", sinceMs(time.Now()), "of_ms", sinceMs(c.deadline),
		"open", l.open, "attempts", steps.String())
}

// brokenOff counts and logs an answer that was begun and not passed on whole.
func (l *loop) brokenOff(c *call, fromServer, toClient error) {
	l.figures.broken++
	l.log(slog.LevelWarn, "answer broken off", "id", c.id, "after_ms", time.Since(c.came).Milliseconds(),
		"from_server", fromServer, "to_client", toClient)
}

// rejected counts and logs what came in that is no request of the protocol's.
func (l *loop) rejected(id, from string, status int, err error) {
	l.figures.rejected++
	l.log(slog.LevelWarn, "request rejected", "id", id, "from", from, "status", status, "err", err)
}

// counts are the figures as they are now.
func (l *loop) counts() *figures {
	n := &l.disc.count
	l.figures.listIn, l.figures.listOut, l.figures.listCalls = n.in.Load(), n.out.Load(), n.calls.Load()
	return &l.figures
}

func (l *loop) logFigures() {
	l.write(slog.LevelInfo, "figures", "open", l.open, "backend_conns", l.pool.size(), "connects", l.pool.connects(), "idle_limit", l.pool.idleLimit(),
		"module", fmt.Sprintf("%+v", l.balancer.Stats()),
		"counts", fmt.Sprintf("%+v", *l.counts()))
}

// mayLog bounds the lines a second, and counts what the bound left out.
func (l *loop) mayLog() bool {
	if l.limit.Allow() {
		return true
	}
	l.figures.unlogged++
	return false
}

func (l *loop) log(level slog.Level, text string, args ...any) {
	if l.mayLog() {
		l.write(level, text, args...)
	}
}

// write hands a line to writeLog; one too many for its reader is left out.
func (l *loop) write(level slog.Level, text string, args ...any) {
	logger := l.logger
	select {
	case l.lines <- func() { logger.Log(l.ctx, level, text, args...) }:
	default:
		l.figures.unlogged++
	}
}

// writeLog writes the loop's log lines. The loop does not write itself: a log that
// nobody reads blocks its writer, and every request with it.
func (l *loop) writeLog() {
	for {
		select {
		case line := <-l.lines:
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
