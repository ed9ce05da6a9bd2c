package policy_test

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"fernbeam.example/fernbeam/internal/balancer"
	"fernbeam.example/fernbeam/policy"
)

// The states of BenchmarkDecision. Their values are part of the recorded results in docs/capacity.
const (
	// stateUnloaded: nothing is in flight, and each request is forwarded to the first server of its key.
	stateUnloaded = "calm"
	// stateOverloaded: both preferred servers of a key are at their limits, so its request waits for a
	// quarter of its objective, is considered in each tick, and is then forwarded to another server.
	stateOverloaded = "crowded"
	// stateEjected: all servers have just failed a request, so that none is in a better tier.
	stateEjected = "demoted"
)

// requestsPerSecond is the request rate of the target in deploy/target.toml.
const requestsPerSecond = 120

// BenchmarkDecision measures the policy's decisions for one served request: the request arrives and is
// forwarded, its response arrives, and the ticks that are due in between are handled. There are as many
// agents as servers, and enough keys that none is split. The setup of a state is not timed, so a profile
// shows the proportions of the timed part only for stateUnloaded, which needs no setup.
func BenchmarkDecision(b *testing.B) {
	for _, servers := range []int{10, 100, 1500} {
		for _, state := range []string{stateUnloaded, stateOverloaded, stateEjected} {
			var d *decisionBenchmark
			b.Run(fmt.Sprintf("servers=%d/state=%s", servers, state), func(b *testing.B) {
				if d == nil { // reused for all sizes of b.N and all runs of -count
					d = newDecisionBenchmark(b, servers, servers)
				}
				d.TB = b
				d.ticks = 0
				d.forwardedAtOnce = 0
				b.ReportAllocs()
				b.ResetTimer()
				switch state {
				case stateUnloaded:
					d.serveUnloaded(b)
				case stateOverloaded:
					d.serveOverloaded(b)
				case stateEjected:
					d.serveAfterEjections(b)
				}
				b.ReportMetric(float64(d.ticks)/float64(b.N), "ticks/op")
				b.ReportMetric(float64(d.forwardedAtOnce)/float64(b.N), "sent-at-once/op")
			})
		}
	}
}

// decisionBenchmark is a Balancer with a clock and its tick timer.
type decisionBenchmark struct {
	testing.TB
	policy          *policy.Balancer
	random          *rand.Rand
	servers         int
	now             float64 // milliseconds
	tickAt          float64 // time of the next tick; infinite: none is set
	lastRequest     balancer.RequestID
	actions         []balancer.Action
	forwardedTo     balancer.Addr               // server of the last request; zero: the request is queued
	keys            []uint64                    // the requests' keys are drawn from these
	preferred       map[uint64][2]balancer.Addr // preferred servers of a key
	keysByServer    map[balancer.Addr][]uint64  // keys by the first server in their order
	failedAt        float64                     // time at which all servers last failed a request
	ticks           int
	forwardedAtOnce int // number of requests forwarded on arrival
}

// newDecisionBenchmark returns a benchmark of one agent of a fleet. The agent knows the baseline latency of
// its servers and the share of each key.
func newDecisionBenchmark(tb testing.TB, agents, servers int) *decisionBenchmark {
	tb.Helper()
	settings := testSettings()
	settings.FleetSize = agents
	settings.Zone = 1 // no servers are in the agent's zone, as the zone preference varies with time
	b := newPolicy(tb, settings, 1)
	d := &decisionBenchmark{
		TB:      tb,
		policy:  b,
		random:  rand.New(rand.NewPCG(1, 2)),
		servers: servers,
		now:     1e6,
		tickAt:  math.Inf(1),
	}
	d.actions = b.Start(d.now, nil)
	endpoints := readyEndpoints(servers)
	for i := range endpoints {
		endpoints[i].Cell = i / 8
	}
	d.handle(balancer.Event{Kind: balancer.EventList, ListUpdate: balancer.ListCached, Endpoints: endpoints})
	for range 16 * servers {
		d.keys = append(d.keys, d.random.Uint64()|1)
	}
	for range max(8*servers, 100) {
		d.serve(idempotentClass, d.randomKey(), 5)
	}
	return d
}

// handle passes an event to the policy and records the timer and the server in the resulting actions.
func (d *decisionBenchmark) handle(ev balancer.Event) {
	d.actions = d.policy.Handle(d.now, &ev, d.actions[:0])
	for i := range d.actions {
		switch a := &d.actions[i]; a.Kind {
		case balancer.ActionSetTimer:
			d.tickAt = d.now + a.Ms
		case balancer.ActionForward:
			d.forwardedTo = a.Server
		default: // other actions do not matter to the benchmark
		}
	}
}

// advance advances the time by ms and handles the ticks that become due.
func (d *decisionBenchmark) advance(ms float64) {
	end := d.now + ms
	for d.tickAt <= end {
		d.now = d.tickAt
		d.tickAt = math.Inf(1)
		d.ticks++
		d.handle(balancer.Event{Kind: balancer.EventTimer, Token: 1})
	}
	d.now = end
}

// request passes a new request to the policy and returns its id.
func (d *decisionBenchmark) request(class int, key uint64) balancer.RequestID {
	d.lastRequest++
	d.forwardedTo = balancer.Addr{}
	d.handle(arrival(d.lastRequest, class, key, 600))
	return d.lastRequest
}

// endAttempt passes the end of the first attempt of a request to the policy.
func (d *decisionBenchmark) endAttempt(
	id balancer.RequestID, s balancer.Addr, status balancer.Status, ms float64,
) {
	d.handle(attemptDone(id, 0, s, status, ms))
}

// serve simulates one request that is forwarded on arrival and served after ms.
func (d *decisionBenchmark) serve(class int, key uint64, ms float64) {
	id := d.request(class, key)
	if d.forwardedTo == (balancer.Addr{}) {
		d.Fatal("request was queued, want it forwarded: ", d.actions)
	}
	d.forwardedAtOnce++
	d.advance(ms)
	d.endAttempt(id, d.forwardedTo, balancer.StatusOK, ms)
	d.advance(1000.0/requestsPerSecond - ms)
}

// randomKey returns a random key.
func (d *decisionBenchmark) randomKey() uint64 { return d.keys[d.random.IntN(len(d.keys))] }

// serveUnloaded measures requests without load.
func (d *decisionBenchmark) serveUnloaded(b *testing.B) {
	b.Helper()
	for range b.N {
		d.serve(idempotentClass, d.randomKey(), 5)
	}
}

// findServer makes a request with the key, ends it without effect on its server, and returns the server.
func (d *decisionBenchmark) findServer(key uint64) balancer.Addr {
	id := d.request(idempotentClass, key)
	s := d.forwardedTo
	d.endWithoutEffect(id, s)
	d.advance(1)
	return s
}

// endWithoutEffect ends a request without effect on the state of its server s. If the request is queued,
// s is zero.
func (d *decisionBenchmark) endWithoutEffect(id balancer.RequestID, s balancer.Addr) {
	if s == (balancer.Addr{}) {
		d.handle(balancer.Event{Kind: balancer.EventClientGone, Request: id})
		return
	}
	d.endAttempt(id, s, balancer.StatusBadRequest, 1)
}

// findPreferred determines the two preferred servers of the keys.
func (d *decisionBenchmark) findPreferred() {
	d.keysByServer = map[balancer.Addr][]uint64{}
	d.preferred = map[uint64][2]balancer.Addr{}
	for _, key := range d.keys {
		s := d.findServer(key)
		d.keysByServer[s] = append(d.keysByServer[s], key)
	}
	for s, keys := range d.keysByServer {
		for _, key := range keys[:len(keys)/2] {
			if id := d.occupy(s, key); id > 0 {
				d.preferred[key] = [2]balancer.Addr{s, d.findServer(key)}
				d.endWithoutEffect(id, s)
			}
		}
	}
}

// occupy makes requests with keys other than except until one is forwarded to the server. It returns the id
// of that request, or 0 if there was none.
func (d *decisionBenchmark) occupy(s balancer.Addr, except uint64) balancer.RequestID {
	keys := d.keysByServer[s]
	for range 2 * len(keys) {
		key := keys[d.random.IntN(len(keys))]
		if key == except {
			continue
		}
		id := d.request(idempotentClass, key)
		if d.forwardedTo == s {
			return id
		}
		d.endWithoutEffect(id, d.forwardedTo) // the key is split or the server is at its limit
	}
	return 0
}

// serveOverloaded measures requests whose preferred servers are at their limits.
func (d *decisionBenchmark) serveOverloaded(b *testing.B) {
	b.Helper()
	b.StopTimer()
	if d.keysByServer == nil {
		d.findPreferred()
	}
	keys := slices.Sorted(maps.Keys(d.preferred))
	measured := 0
	for rounds := 0; measured < b.N; rounds++ {
		if rounds > 4*b.N+100 {
			b.Fatalf("both servers were at their limits in only %d of %d rounds", measured, rounds)
		}
		key := keys[d.random.IntN(len(keys))]
		servers := d.preferred[key]
		first, second := d.occupy(servers[0], key), d.occupy(servers[1], key)
		if first > 0 && second > 0 {
			measured++
			b.StartTimer()
			d.serveQueued(key)
			b.StopTimer()
		}
		d.endWithoutEffect(first, servers[0])
		d.endWithoutEffect(second, servers[1])
		d.advance(1)
	}
}

// serveQueued simulates one request that is queued because its preferred servers are at their limits.
func (d *decisionBenchmark) serveQueued(key uint64) {
	arrivedAt := d.now
	id := d.request(idempotentClass, key)
	if d.forwardedTo != (balancer.Addr{}) {
		d.forwardedAtOnce++
	}
	for d.forwardedTo == (balancer.Addr{}) {
		if d.now > arrivedAt+100 {
			d.Fatal("request was not forwarded within 100 ms")
		}
		d.advance(10)
	}
	d.advance(50)
	d.endAttempt(id, d.forwardedTo, balancer.StatusOK, 50)
}

// serveAfterEjections measures requests while all servers are ejected.
func (d *decisionBenchmark) serveAfterEjections(b *testing.B) {
	b.Helper()
	b.StopTimer()
	for range 5 { // after which the ejection time is 4.8 s
		d.failAllServers()
	}
	for range b.N {
		if d.now > d.failedAt+4000 {
			d.failAllServers()
		}
		b.StartTimer()
		d.serve(idempotentClass, d.randomKey(), 5)
		b.StopTimer()
		d.failServer() // ejects the server that has just served
	}
}

// failAllServers makes each server fail one request.
func (d *decisionBenchmark) failAllServers() {
	d.advance(5000) // longer than any ejection time
	for range d.servers {
		d.failServer()
	}
	d.failedAt = d.now
	if states := d.policy.Stats().States; states[balancer.Unhealthy] != d.servers {
		d.Fatal("not all servers are Unhealthy: ", states)
	}
}

// failServer makes one server of the best tier fail a request that is not retried.
func (d *decisionBenchmark) failServer() {
	id := d.request(nonIdempotentClass, d.randomKey())
	d.endAttempt(id, d.forwardedTo, balancer.StatusError, 5)
}
