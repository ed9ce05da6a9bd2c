package policytest

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

// BenchmarkDecision is what the module's decisions for one served request take: the request comes
// and is sent, its answer comes, and the ticks that fall due meanwhile are handled, at the 120 calls
// a second of deploy/target.toml. Agents are as many as servers, keys as many as keep one from being
// split. calm: nothing is out, each request goes to its key's first choice. crowded: both servers
// that a key prefers are full, so its request waits a quarter of its aim, is looked at in each tick,
// and then goes to any other. demoted: all servers have just failed a request, so that a walk of each
// better tier finds none. What brings a state about isn't timed. A profile shows only the timed
// part's proportions for calm, where all is timed.
func BenchmarkDecision(b *testing.B) {
	for _, servers := range []int{10, 100, 1500} {
		for _, state := range []string{"calm", "crowded", "demoted"} {
			var d *decisionBenchmark
			b.Run(fmt.Sprintf("servers=%d/state=%s", servers, state), func(b *testing.B) {
				if d == nil { // once for all sizes of b.N and all of -count
					d = newDecisionBenchmark(b, servers, servers)
				}
				d.TB, d.ticks, d.forwardedAtOnce = b, 0, 0
				b.ReportAllocs()
				b.ResetTimer()
				switch state {
				case "calm":
					d.serveUnloaded(b)
				case "crowded":
					d.serveOverloaded(b)
				case "demoted":
					d.serveAfterEjections(b)
				}
				b.ReportMetric(float64(d.ticks)/float64(b.N), "ticks/op")
				b.ReportMetric(float64(d.forwardedAtOnce)/float64(b.N), "sent-at-once/op")
			})
		}
	}
}

// decider is one balancer with its clock and its one timer.
type decisionBenchmark struct {
	testing.TB
	policy          *policy.Balancer
	random          *rand.Rand
	servers         int
	now             float64
	tickAt          float64 // of the tick that is armed; infinite: none is
	lastRequest     balancer.RequestID
	actions         []balancer.Action
	forwardedTo     balancer.Addr // where the last request went; zero: it waits
	keys            []uint64
	preferred       map[uint64][2]balancer.Addr // the two servers that a key prefers
	keysByServer    map[balancer.Addr][]uint64  // keys by their first choice
	failedAt        float64                     // when all servers last had
	ticks           int
	forwardedAtOnce int // requests that were sent when they came
}

func newDecisionBenchmark(t testing.TB, agents, servers int) *decisionBenchmark {
	set := testSettings()
	set.FleetSize, set.Zone = agents, 1 // no server is of its zone, whose weight moves
	b, err := policy.New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	d := &decisionBenchmark{TB: t, policy: b, random: rand.New(rand.NewPCG(1, 2)), servers: servers, now: 1e6,
		tickAt: math.Inf(1)}
	d.actions = b.Start(d.now, nil)
	entries := make([]balancer.Endpoint, servers)
	for i := range entries {
		entries[i] = balancer.Endpoint{Server: serverAddress(i), State: balancer.Ready, Weight: 1, Cell: i / 8}
	}
	d.handle(balancer.Event{Kind: balancer.EventList, ListUpdate: balancer.ListCached, Endpoints: entries})
	for range 16 * servers {
		d.keys = append(d.keys, d.random.Uint64()|1)
	}
	for range max(8*servers, 100) { // calm is learned, and each key's share
		d.serve(0, d.anyKey(), 5)
	}
	return d
}

func (d *decisionBenchmark) handle(ev balancer.Event) {
	d.actions = d.policy.Handle(d.now, &ev, d.actions[:0])
	for i := range d.actions {
		switch a := &d.actions[i]; a.Kind {
		case balancer.ActionSetTimer:
			d.tickAt = d.now + a.Ms
		case balancer.ActionForward:
			d.forwardedTo = a.Server
		}
	}
}

// pass lets time pass, and handles the ticks that fall due.
func (d *decisionBenchmark) advance(ms float64) {
	end := d.now + ms
	for d.tickAt <= end {
		d.now, d.tickAt = d.tickAt, math.Inf(1)
		d.ticks++
		d.handle(balancer.Event{Kind: balancer.EventTimer, Token: 1})
	}
	d.now = end
}

func (d *decisionBenchmark) request(class int, key uint64) balancer.RequestID {
	d.lastRequest++
	d.forwardedTo = balancer.Addr{}
	d.handle(balancer.Event{Kind: balancer.EventRequest, Request: d.lastRequest, Class: class, Key: key,
		RemainingMs: 600})
	return d.lastRequest
}

func (d *decisionBenchmark) endAttempt(id balancer.RequestID, s balancer.Addr, status balancer.Status, ms float64) {
	d.handle(balancer.Event{Kind: balancer.EventAttemptDone, Request: id, Server: s, Status: status, LatencyMs: ms,
		RequestDone: status == balancer.StatusOK})
}

// serve is one request, sent at once and answered after ms.
func (d *decisionBenchmark) serve(class int, key uint64, ms float64) {
	id := d.request(class, key)
	if d.forwardedTo == (balancer.Addr{}) {
		d.Fatal("a request waits that should not: ", d.actions)
	}
	d.forwardedAtOnce++
	d.advance(ms)
	d.endAttempt(id, d.forwardedTo, balancer.StatusOK, ms)
	d.advance(1000.0/120 - ms)
}

func (d *decisionBenchmark) anyKey() uint64 { return d.keys[d.random.IntN(len(d.keys))] }

func (d *decisionBenchmark) serveUnloaded(b *testing.B) {
	for range b.N {
		d.serve(0, d.anyKey(), 5)
	}
}

// at asks for a key and ends its request as one that tells nothing of its server; it returns that.
func (d *decisionBenchmark) serverOf(key uint64) balancer.Addr {
	id := d.request(0, key)
	s := d.forwardedTo
	d.endUnjudged(id, s)
	d.advance(1)
	return s
}

// forget ends a request so that nothing is learned of the server it went to, if it went to one.
func (d *decisionBenchmark) endUnjudged(id balancer.RequestID, s balancer.Addr) {
	if s == (balancer.Addr{}) {
		d.handle(balancer.Event{Kind: balancer.EventClientGone, Request: id})
		return
	}
	d.endAttempt(id, s, balancer.StatusBadRequest, 1)
}

// learn finds out which servers keys prefer.
func (d *decisionBenchmark) learnPreferred() {
	d.keysByServer, d.preferred = map[balancer.Addr][]uint64{}, map[uint64][2]balancer.Addr{}
	for _, key := range d.keys {
		s := d.serverOf(key)
		d.keysByServer[s] = append(d.keysByServer[s], key)
	}
	for s, keys := range d.keysByServer {
		for _, key := range keys[:len(keys)/2] {
			if id := d.occupy(s, key); id > 0 {
				d.preferred[key] = [2]balancer.Addr{s, d.serverOf(key)}
				d.endUnjudged(id, s)
			}
		}
	}
}

// fill puts a request to a server that others than this key prefer; 0: none went there.
func (d *decisionBenchmark) occupy(s balancer.Addr, but uint64) balancer.RequestID {
	keys := d.keysByServer[s]
	for range 2 * len(keys) {
		key := keys[d.random.IntN(len(keys))]
		if key == but {
			continue
		}
		id := d.request(0, key)
		if d.forwardedTo == s {
			return id
		}
		d.endUnjudged(id, d.forwardedTo) // it was split, or its server is full
	}
	return 0
}

func (d *decisionBenchmark) serveOverloaded(b *testing.B) {
	b.StopTimer()
	if d.keysByServer == nil {
		d.learnPreferred()
	}
	keys := slices.Sorted(maps.Keys(d.preferred))
	for n, tries := 0, 0; n < b.N; tries++ {
		if tries > 4*b.N+100 {
			b.Fatalf("%d of %d times both were full", n, tries)
		}
		key := keys[d.random.IntN(len(keys))]
		s := d.preferred[key]
		one, two := d.occupy(s[0], key), d.occupy(s[1], key)
		if one > 0 && two > 0 {
			n++
			b.StartTimer()
			d.waitAndServe(key)
			b.StopTimer()
		}
		d.endUnjudged(one, s[0])
		d.endUnjudged(two, s[1])
		d.advance(1)
	}
}

// waitAndServe is one request that finds the servers full that its key prefers.
func (d *decisionBenchmark) waitAndServe(key uint64) {
	id, came := d.request(0, key), d.now
	if d.forwardedTo != (balancer.Addr{}) {
		d.forwardedAtOnce++
	}
	for d.forwardedTo == (balancer.Addr{}) {
		if d.now > came+100 {
			d.Fatal("a request is not sent")
		}
		d.advance(10)
	}
	d.advance(50)
	d.endAttempt(id, d.forwardedTo, balancer.StatusOK, 50)
}

func (d *decisionBenchmark) serveAfterEjections(b *testing.B) {
	b.StopTimer()
	for range 5 { // by then a failed server is left alone for 4.8 s
		d.failAll()
	}
	for range b.N {
		if d.now > d.failedAt+4000 {
			d.failAll()
		}
		b.StartTimer()
		d.serve(0, d.anyKey(), 5)
		b.StopTimer()
		d.fail() // the one that is good again
	}
}

// failAll has each server fail one request.
func (d *decisionBenchmark) failAll() {
	d.advance(5000) // all are to be validated again
	for range d.servers {
		d.fail()
	}
	d.failedAt = d.now
	if states := d.policy.Stats().States; states[balancer.Unhealthy] != d.servers {
		d.Fatal("servers by state: ", states)
	}
}

// fail has one server fail a request that goes no further, of the best tier.
func (d *decisionBenchmark) fail() {
	id := d.request(1, d.anyKey())
	d.endAttempt(id, d.forwardedTo, balancer.StatusError, 5)
}
