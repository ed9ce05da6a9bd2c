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

// The states of BenchmarkDecision. Their values stand in the recorded results (docs/capacity).
const (
	// stateUnloaded: nothing is in flight, each request goes to the first server of its key.
	stateUnloaded = "calm"
	// stateOverloaded: both servers that a key prefers are at their limits, so its request waits for a
	// quarter of its objective, is considered in each tick, and then goes to another server.
	stateOverloaded = "crowded"
	// stateEjected: all servers have just failed a request, so that there is none in any better tier.
	stateEjected = "demoted"
)

// requestsPerSecond is the rate of requests, that of deploy/target.toml.
const requestsPerSecond = 120

// BenchmarkDecision measures the policy's decisions for one served request: the request arrives and is
// forwarded, its response comes, and the ticks that are due meanwhile are handled. There are as many
// agents as servers, and so many keys that none is split. What it takes to bring the state about is not
// timed. A profile shows the proportions of the timed part only for stateUnloaded, where all is timed.
func BenchmarkDecision(b *testing.B) {
	for _, servers := range []int{10, 100, 1500} {
		for _, state := range []string{stateUnloaded, stateOverloaded, stateEjected} {
			var d *decisionBenchmark
			b.Run(fmt.Sprintf("servers=%d/state=%s", servers, state), func(b *testing.B) {
				if d == nil { // once for all sizes of b.N and all of -count
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

// decisionBenchmark is one Balancer with its clock and its one timer.
type decisionBenchmark struct {
	testing.TB
	policy          *policy.Balancer
	random          *rand.Rand
	servers         int
	now             float64
	tickAt          float64 // time of the tick that is set; infinite: none is
	lastRequest     balancer.RequestID
	actions         []balancer.Action
	forwardedTo     balancer.Addr               // server of the last request; zero: it is queued
	keys            []uint64                    // of which the requests' keys are drawn
	preferred       map[uint64][2]balancer.Addr // the two servers that a key prefers
	keysByServer    map[balancer.Addr][]uint64  // keys by the first server of their order
	failedAt        float64                     // when all servers last failed a request
	ticks           int
	forwardedAtOnce int // requests that were forwarded on arrival
}

// newDecisionBenchmark returns a benchmark of one of so many agents, which knows its servers' baseline
// latency and the share of each key.
func newDecisionBenchmark(tb testing.TB, agents, servers int) *decisionBenchmark {
	tb.Helper()
	settings := testSettings()
	settings.FleetSize = agents
	settings.Zone = 1 // no server is of the agent's zone, as the zone preference changes
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
		d.serve(idempotentClass, d.anyKey(), 5)
	}
	return d
}

// handle hands the policy an event and notes the timer and the server of its actions.
func (d *decisionBenchmark) handle(ev balancer.Event) {
	d.actions = d.policy.Handle(d.now, &ev, d.actions[:0])
	for i := range d.actions {
		switch a := &d.actions[i]; a.Kind {
		case balancer.ActionSetTimer:
			d.tickAt = d.now + a.Ms
		case balancer.ActionForward:
			d.forwardedTo = a.Server
		default: // changes nothing that the benchmark has to know
		}
	}
}

// advance lets ms pass and handles the ticks that are due.
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

// request makes a request and returns its id.
func (d *decisionBenchmark) request(class int, key uint64) balancer.RequestID {
	d.lastRequest++
	d.forwardedTo = balancer.Addr{}
	d.handle(arrival(d.lastRequest, class, key, 600))
	return d.lastRequest
}

// endAttempt ends the first attempt of a request.
func (d *decisionBenchmark) endAttempt(
	id balancer.RequestID, s balancer.Addr, status balancer.Status, ms float64,
) {
	d.handle(attemptDone(id, 0, s, status, ms))
}

// serve plays one request that is forwarded on arrival and served after ms.
func (d *decisionBenchmark) serve(class int, key uint64, ms float64) {
	id := d.request(class, key)
	if d.forwardedTo == (balancer.Addr{}) {
		d.Fatal("a request is queued that should be forwarded: ", d.actions)
	}
	d.forwardedAtOnce++
	d.advance(ms)
	d.endAttempt(id, d.forwardedTo, balancer.StatusOK, ms)
	d.advance(1000.0/requestsPerSecond - ms)
}

// anyKey draws a key.
func (d *decisionBenchmark) anyKey() uint64 { return d.keys[d.random.IntN(len(d.keys))] }

// serveUnloaded measures requests without load.
func (d *decisionBenchmark) serveUnloaded(b *testing.B) {
	b.Helper()
	for range b.N {
		d.serve(idempotentClass, d.anyKey(), 5)
	}
}

// serverOf makes a request of the key, ends it without effect on its server, and returns the server.
func (d *decisionBenchmark) serverOf(key uint64) balancer.Addr {
	id := d.request(idempotentClass, key)
	s := d.forwardedTo
	d.endWithoutEffect(id, s)
	d.advance(1)
	return s
}

// endWithoutEffect ends a request so that nothing is learned of its server, if it was forwarded.
func (d *decisionBenchmark) endWithoutEffect(id balancer.RequestID, s balancer.Addr) {
	if s == (balancer.Addr{}) {
		d.handle(balancer.Event{Kind: balancer.EventClientGone, Request: id})
		return
	}
	d.endAttempt(id, s, balancer.StatusBadRequest, 1)
}

// learnPreferred determines the two servers that keys prefer.
func (d *decisionBenchmark) learnPreferred() {
	d.keysByServer = map[balancer.Addr][]uint64{}
	d.preferred = map[uint64][2]balancer.Addr{}
	for _, key := range d.keys {
		s := d.serverOf(key)
		d.keysByServer[s] = append(d.keysByServer[s], key)
	}
	for s, keys := range d.keysByServer {
		for _, key := range keys[:len(keys)/2] {
			if id := d.occupy(s, key); id > 0 {
				d.preferred[key] = [2]balancer.Addr{s, d.serverOf(key)}
				d.endWithoutEffect(id, s)
			}
		}
	}
}

// occupy forwards a request of another key to the server and returns its id; 0 if none went there.
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
		d.endWithoutEffect(id, d.forwardedTo) // its key was split, or the server is at its limit
	}
	return 0
}

// serveOverloaded measures requests whose preferred servers are at their limits.
func (d *decisionBenchmark) serveOverloaded(b *testing.B) {
	b.Helper()
	b.StopTimer()
	if d.keysByServer == nil {
		d.learnPreferred()
	}
	keys := slices.Sorted(maps.Keys(d.preferred))
	measured := 0
	for rounds := 0; measured < b.N; rounds++ {
		if rounds > 4*b.N+100 {
			b.Fatalf("%d of %d times both were at their limits", measured, rounds)
		}
		key := keys[d.random.IntN(len(keys))]
		servers := d.preferred[key]
		first, second := d.occupy(servers[0], key), d.occupy(servers[1], key)
		if first > 0 && second > 0 {
			measured++
			b.StartTimer()
			d.waitAndServe(key)
			b.StopTimer()
		}
		d.endWithoutEffect(first, servers[0])
		d.endWithoutEffect(second, servers[1])
		d.advance(1)
	}
}

// waitAndServe plays one request that is queued, as the servers that its key prefers are at their limits.
func (d *decisionBenchmark) waitAndServe(key uint64) {
	arrivedAt := d.now
	id := d.request(idempotentClass, key)
	if d.forwardedTo != (balancer.Addr{}) {
		d.forwardedAtOnce++
	}
	for d.forwardedTo == (balancer.Addr{}) {
		if d.now > arrivedAt+100 {
			d.Fatal("a request is not forwarded")
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
	for range 5 { // by then the ejection time is 4.8 s
		d.failAll()
	}
	for range b.N {
		if d.now > d.failedAt+4000 {
			d.failAll()
		}
		b.StartTimer()
		d.serve(idempotentClass, d.anyKey(), 5)
		b.StopTimer()
		d.fail() // the one that has served
	}
}

// failAll has each server fail one request.
func (d *decisionBenchmark) failAll() {
	d.advance(5000) // past all ejection times
	for range d.servers {
		d.fail()
	}
	d.failedAt = d.now
	if states := d.policy.Stats().States; states[balancer.Unhealthy] != d.servers {
		d.Fatal("servers by state: ", states)
	}
}

// fail has one server of the best tier fail a request that is not retried.
func (d *decisionBenchmark) fail() {
	id := d.request(nonIdempotentClass, d.anyKey())
	d.endAttempt(id, d.forwardedTo, balancer.StatusError, 5)
}
