// Package policy implements the load balancing policy of an agent. For each request of the agent's
// client it decides whether the request is admitted, to which server and with what timeout it is
// forwarded, whether it is retried, and when it is rejected.
//
// The package does no I/O, reads no clock and starts no goroutines: it takes timestamped events and
// returns an ordered list of actions, using the types of package balancer.
package policy

import (
	"math/rand/v2"

	"fernbeam.example/fernbeam/internal/balancer"
)

// Tokens of the timers that the policy sets.
const (
	tickTimer uint32 = 1 // next check of busy servers and queued requests
	pollTimer uint32 = 2 // next call for the endpoint list
)

const (
	// tickRoundTrips is the interval of the tick timer, in round trips.
	tickRoundTrips = 2
	// minTickMs is the minimum interval of the tick timer, in milliseconds.
	minTickMs = 5
)

// Balancer makes the load balancing decisions of one agent. It is not safe for concurrent use.
type Balancer struct {
	*environment
	requests     map[balancer.RequestID]*request // open, or with an attempt in flight
	tickRunning  bool                            // the tick timer is set
	endpoints    *endpointList
	poller       *listPoller
	queue        *requestQueue
	shedder      *loadShedder
	classes      *classTable
	history      *requestHistory
	latency      *latencyBaselines
	concurrency  *concurrencyLimits
	slowStart    *slowStart
	outliers     *outlierDetector
	healthChecks *healthChecker
	retryBudget  *tokenBucket // each served request adds to it
	partitions   *keyPartitions
	zone         *zonePreference
	selector     *serverSelector
}

// New returns a Balancer with the given settings, or an error that names the first invalid setting.
// The seed determines all random decisions of the Balancer.
func New(settings balancer.Settings, seed uint64) (*Balancer, error) {
	b := newBalancer(rand.New(rand.NewPCG(seed, splitmix64(seed))))
	return b, b.UpdateSettings(settings)
}

// newBalancer returns a Balancer with its components connected and no settings in force.
func newBalancer(random *rand.Rand) *Balancer {
	env := &environment{random: random}
	b := &Balancer{
		environment: env,
		requests:    map[balancer.RequestID]*request{},
		endpoints:   newEndpointList(env),
		classes:     &classTable{},
		shedder:     newLoadShedder(),
		history:     &requestHistory{env: env},
		latency:     &latencyBaselines{env: env},
		retryBudget: newRetryBudget(),
		zone:        newZonePreference(env),
	}
	b.poller = newListPoller(env, b.classes)
	b.queue = &requestQueue{env: env, classes: b.classes}
	b.slowStart = newSlowStart(env, b.endpoints)
	b.partitions = newKeyPartitions(env, b.endpoints)
	b.concurrency = &concurrencyLimits{
		env:       env,
		endpoints: b.endpoints,
		classes:   b.classes,
		latency:   b.latency,
		slowStart: b.slowStart,
	}
	b.outliers = &outlierDetector{
		env:       env,
		endpoints: b.endpoints,
		classes:   b.classes,
		poller:    b.poller,
		queue:     b.queue,
	}
	b.healthChecks = &healthChecker{
		env:       env,
		endpoints: b.endpoints,
		outliers:  b.outliers,
		poller:    b.poller,
		slowStart: b.slowStart,
		budget:    newCheckBudget(),
	}
	b.selector = &serverSelector{
		env:         env,
		endpoints:   b.endpoints,
		slowStart:   b.slowStart,
		concurrency: b.concurrency,
		outliers:    b.outliers,
		zone:        b.zone,
	}
	return b
}

// UpdateSettings puts settings in force, or returns an error that names the first invalid one. Collected
// statistics are kept, and open requests keep the rules of their classes. Initial values that no response
// has changed yet are derived from the new settings. If the discovery mode has changed, Start has to be
// called again.
func (b *Balancer) UpdateSettings(settings balancer.Settings) error {
	if err := settings.Validate(); err != nil {
		return err
	}
	previous := b.settings
	b.classes.replace(settings.Classes)
	b.settings = settings
	b.slowStart.invalidate()
	if previous.FleetSize != settings.FleetSize || previous.Contract != settings.Contract {
		b.concurrency.updateInitialLimits(&previous)
	}
	return nil
}

// Start appends the actions with which an agent begins to follow the endpoint list, at its start and after
// a change of the discovery mode, to actions and returns the extended slice. The time now is in
// milliseconds.
func (b *Balancer) Start(now float64, actions []balancer.Action) []balancer.Action {
	b.now = now
	b.actions = actions
	b.poller.schedule()
	return b.actions
}

// Handle processes one event, appends the resulting actions to actions and returns the extended slice.
// The time now is in milliseconds. Events about requests, attempts or health checks that are unknown
// or have ended are ignored.
func (b *Balancer) Handle(now float64, event *balancer.Event, actions []balancer.Action) []balancer.Action {
	b.now = now
	b.actions = actions
	b.handle(event.Sanitized())
	b.dispatch()
	b.setTick()
	return b.actions
}

// handle updates the state of the balancer for one event.
func (b *Balancer) handle(ev *balancer.Event) {
	switch ev.Kind {
	case balancer.EventRequest:
		b.onRequest(ev)
	case balancer.EventAttemptDone:
		b.onAttemptDone(ev)
	case balancer.EventRequestSent:
		b.onRequestSent(ev)
	case balancer.EventResponseStarted:
		b.onResponseStarted(ev)
	case balancer.EventClientGone:
		b.onClientGone(ev)
	case balancer.EventList:
		b.onList(ev)
	case balancer.EventHealthCheckDone:
		b.healthChecks.finish(ev)
	case balancer.EventTimer:
		b.onTimer(ev.Token)
	case balancer.EventPeerMessage: // ignored
	}
}

// onList applies an update of the endpoint list, or records a failed call for it.
func (b *Balancer) onList(ev *balancer.Event) {
	if ev.ListUpdate == balancer.ListFailed {
		b.poller.recordFailure()
		return
	}
	b.poller.recordSuccess()
	b.endpoints.epoch++
	for i := range ev.Endpoints {
		if s, added := b.endpoints.update(&ev.Endpoints[i]); added {
			b.concurrency.addServer(s)
		}
	}
	if ev.ListUpdate != balancer.ListDelta {
		b.endpoints.retainListed(ev.Endpoints)
	}
	b.endpoints.removeUnused()
}

// setTick sets the tick timer if requests are queued or in flight and the timer is not already running.
func (b *Balancer) setTick() {
	if b.tickRunning || len(b.queue.requests) == 0 && b.concurrency.inFlight <= 0 {
		return
	}
	b.tickRunning = true
	intervalMs := max(tickRoundTrips*b.settings.RoundTripMs, minTickMs)
	b.emit(balancer.Action{Kind: balancer.ActionSetTimer, Ms: intervalMs, Token: tickTimer})
}

// onTimer handles the expiry of a timer. The poll timer calls for the endpoint list; the tick timer ejects
// unresponsive servers and rejects requests that can no longer be served in time.
func (b *Balancer) onTimer(token uint32) {
	switch token {
	case pollTimer:
		b.poller.poll()
	case tickTimer:
		b.tickRunning = false
		b.outliers.ejectUnresponsive()
		b.rejectExpired()
	}
}

// Stats returns a summary of the current state, for metrics and the log.
func (b *Balancer) Stats() balancer.Stats {
	stats := balancer.Stats{
		Queued:             len(b.queue.requests),
		InFlight:           b.concurrency.inFlight,
		Shed:               b.shedder.fraction(),
		ConcurrencyLimit:   b.concurrency.limit,
		OverloadedFraction: b.concurrency.overloadedFraction,
	}
	for _, s := range b.endpoints.servers {
		stats.States[s.health]++
		stats.ServerLimits += s.limit
	}
	return stats
}
