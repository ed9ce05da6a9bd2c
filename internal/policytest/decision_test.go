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
			var d *decider
			b.Run(fmt.Sprintf("servers=%d/state=%s", servers, state), func(b *testing.B) {
				if d == nil { // once for all sizes of b.N and all of -count
					d = newDecider(b, servers, servers)
				}
				d.TB, d.ticks, d.atOnce = b, 0, 0
				b.ReportAllocs()
				b.ResetTimer()
				switch state {
				case "calm":
					d.calm(b)
				case "crowded":
					d.crowded(b)
				case "demoted":
					d.demoted(b)
				}
				b.ReportMetric(float64(d.ticks)/float64(b.N), "ticks/op")
				b.ReportMetric(float64(d.atOnce)/float64(b.N), "sent-at-once/op")
			})
		}
	}
}

// decider is one balancer with its clock and its one timer.
type decider struct {
	testing.TB
	b       *policy.Balancer
	rng     *rand.Rand
	servers int
	now     float64
	due     float64 // of the tick that is armed; infinite: none is
	id      balancer.RequestID
	actions []balancer.Action
	sent    balancer.Addr // where the last request went; zero: it waits
	pool    []uint64
	choice  map[uint64][2]balancer.Addr // the two servers that a key prefers
	first   map[balancer.Addr][]uint64  // keys by their first choice
	failed  float64                     // when all servers last had
	ticks   int
	atOnce  int // requests that were sent when they came
}

func newDecider(t testing.TB, agents, servers int) *decider {
	set := testSettings()
	set.FleetSize, set.Zone = agents, 1 // no server is of its zone, whose weight moves
	b, err := policy.New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	d := &decider{TB: t, b: b, rng: rand.New(rand.NewPCG(1, 2)), servers: servers, now: 1e6, due: math.Inf(1)}
	d.actions = b.Start(d.now, nil)
	entries := make([]balancer.Endpoint, servers)
	for i := range entries {
		entries[i] = balancer.Endpoint{Server: addr(i), State: balancer.Ready, Weight: 1, Cell: i / 8}
	}
	d.handle(balancer.Event{Kind: balancer.EventList, ListUpdate: balancer.ListCached, Endpoints: entries})
	for range 16 * servers {
		d.pool = append(d.pool, d.rng.Uint64()|1)
	}
	for range max(8*servers, 100) { // calm is learned, and each key's share
		d.serve(0, d.anyKey(), 5)
	}
	return d
}

func (d *decider) handle(ev balancer.Event) {
	d.actions = d.b.Handle(d.now, &ev, d.actions[:0])
	for i := range d.actions {
		switch a := &d.actions[i]; a.Kind {
		case balancer.ActionSetTimer:
			d.due = d.now + a.Ms
		case balancer.ActionForward:
			d.sent = a.Server
		}
	}
}

// pass lets time pass, and handles the ticks that fall due.
func (d *decider) pass(ms float64) {
	end := d.now + ms
	for d.due <= end {
		d.now, d.due = d.due, math.Inf(1)
		d.ticks++
		d.handle(balancer.Event{Kind: balancer.EventTimer, Token: 1})
	}
	d.now = end
}

func (d *decider) ask(class int, key uint64) balancer.RequestID {
	d.id++
	d.sent = balancer.Addr{}
	d.handle(balancer.Event{Kind: balancer.EventRequest, Request: d.id, Class: class, Key: key, RemainingMs: 600})
	return d.id
}

func (d *decider) answer(id balancer.RequestID, s balancer.Addr, status balancer.Status, ms float64) {
	d.handle(balancer.Event{Kind: balancer.EventAttemptDone, Request: id, Server: s, Status: status, LatencyMs: ms, RequestDone: status == balancer.StatusOK})
}

// serve is one request, sent at once and answered after ms.
func (d *decider) serve(class int, key uint64, ms float64) {
	id := d.ask(class, key)
	if d.sent == (balancer.Addr{}) {
		d.Fatal("a request waits that should not: ", d.actions)
	}
	d.atOnce++
	d.pass(ms)
	d.answer(id, d.sent, balancer.StatusOK, ms)
	d.pass(1000.0/120 - ms)
}

func (d *decider) anyKey() uint64 { return d.pool[d.rng.IntN(len(d.pool))] }

func (d *decider) calm(b *testing.B) {
	for range b.N {
		d.serve(0, d.anyKey(), 5)
	}
}

// at asks for a key and ends its request as one that tells nothing of its server; it returns that.
func (d *decider) at(key uint64) balancer.Addr {
	id := d.ask(0, key)
	s := d.sent
	d.forget(id, s)
	d.pass(1)
	return s
}

// forget ends a request so that nothing is learned of the server it went to, if it went to one.
func (d *decider) forget(id balancer.RequestID, s balancer.Addr) {
	if s == (balancer.Addr{}) {
		d.handle(balancer.Event{Kind: balancer.EventClientGone, Request: id})
		return
	}
	d.answer(id, s, balancer.StatusBadRequest, 1)
}

// learn finds out which servers keys prefer.
func (d *decider) learn() {
	d.first, d.choice = map[balancer.Addr][]uint64{}, map[uint64][2]balancer.Addr{}
	for _, key := range d.pool {
		s := d.at(key)
		d.first[s] = append(d.first[s], key)
	}
	for s, keys := range d.first {
		for _, key := range keys[:len(keys)/2] {
			if id := d.fill(s, key); id > 0 {
				d.choice[key] = [2]balancer.Addr{s, d.at(key)}
				d.forget(id, s)
			}
		}
	}
}

// fill puts a request to a server that others than this key prefer; 0: none went there.
func (d *decider) fill(s balancer.Addr, but uint64) balancer.RequestID {
	keys := d.first[s]
	for range 2 * len(keys) {
		key := keys[d.rng.IntN(len(keys))]
		if key == but {
			continue
		}
		id := d.ask(0, key)
		if d.sent == s {
			return id
		}
		d.forget(id, d.sent) // it was split, or its server is full
	}
	return 0
}

func (d *decider) crowded(b *testing.B) {
	b.StopTimer()
	if d.first == nil {
		d.learn()
	}
	keys := slices.Sorted(maps.Keys(d.choice))
	for n, tries := 0, 0; n < b.N; tries++ {
		if tries > 4*b.N+100 {
			b.Fatalf("%d of %d times both were full", n, tries)
		}
		key := keys[d.rng.IntN(len(keys))]
		s := d.choice[key]
		one, two := d.fill(s[0], key), d.fill(s[1], key)
		if one > 0 && two > 0 {
			n++
			b.StartTimer()
			d.waitAndServe(key)
			b.StopTimer()
		}
		d.forget(one, s[0])
		d.forget(two, s[1])
		d.pass(1)
	}
}

// waitAndServe is one request that finds the servers full that its key prefers.
func (d *decider) waitAndServe(key uint64) {
	id, came := d.ask(0, key), d.now
	if d.sent != (balancer.Addr{}) {
		d.atOnce++
	}
	for d.sent == (balancer.Addr{}) {
		if d.now > came+100 {
			d.Fatal("a request is not sent")
		}
		d.pass(10)
	}
	d.pass(50)
	d.answer(id, d.sent, balancer.StatusOK, 50)
}

func (d *decider) demoted(b *testing.B) {
	b.StopTimer()
	for range 5 { // by then a failed server is left alone for 4.8 s
		d.failAll()
	}
	for range b.N {
		if d.now > d.failed+4000 {
			d.failAll()
		}
		b.StartTimer()
		d.serve(0, d.anyKey(), 5)
		b.StopTimer()
		d.fail() // the one that is good again
	}
}

// failAll has each server fail one request.
func (d *decider) failAll() {
	d.pass(5000) // all are to be validated again
	for range d.servers {
		d.fail()
	}
	d.failed = d.now
	if states := d.b.Stats().States; states[balancer.Unhealthy] != d.servers {
		d.Fatal("servers by state: ", states)
	}
}

// fail has one server fail a request that goes no further, of the best tier.
func (d *decider) fail() {
	id := d.ask(1, d.anyKey())
	d.answer(id, d.sent, balancer.StatusError, 5)
}
