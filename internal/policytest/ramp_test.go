package policytest

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"fernbeam.example/fernbeam/internal/balancer"
	"fernbeam.example/fernbeam/policy"
)

// fleetDay is many balancers and their servers in one virtual time: what each sends is judged by
// the sum of all. It knows no list but the one that is told to all at once.
type fleetDay struct {
	t        testing.TB
	rng      *rand.Rand
	set      balancer.Settings
	now      float64
	queue    dueQueue
	order    int
	agents   []*dayAgent
	servers  []*dayServer
	entries  []balancer.Endpoint
	share    []float64 // of requests, summed up by agent
	perMs    float64   // requests
	keys     int
	evenKeys bool    // keys are equally popular; else one's share falls as its rank grows
	hot      float64 // part of the requests that are for one key
	asked    int
	served   int
	// clockAhead is how far in ms the list's clock is ahead of the agents'.
	clockAhead float64
}

type dayAgent struct {
	b    *policy.Balancer
	id   balancer.RequestID
	born int // which process: what belongs to an earlier one is void
	open map[balancer.RequestID]float64
	used map[balancer.Addr]bool // servers that its processes have sent something to
}

type dayServer struct {
	started float64 // 0: long ago
	perMs   float64 // requests of mean work when warm
	gain    float64 // by how much keys that it knows lighten the work once it is warm
	free    float64 // when what it holds is done
	dead    bool
	silent  float64   // until when it answers nothing
	failing float64   // until when it answers all with an error
	got     []float64 // times of what it was sent since its start
}

// due is something that happens at a time.
type due struct {
	at    float64
	order int
	do    func()
}

type dueQueue []due

func (q dueQueue) Len() int { return len(q) }
func (q dueQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q dueQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *dueQueue) Push(x any)   { *q = append(*q, x.(due)) }
func (q *dueQueue) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}

func (d *fleetDay) after(ms float64, do func()) {
	d.order++
	heap.Push(&d.queue, due{d.now + ms, d.order, do})
}

// part is the part of its capacity that a server has, at the contract's least.
func (d *fleetDay) part(s *dayServer, at float64) float64 {
	c := &d.set.Contract
	if s.started == 0 || at-s.started >= c.SlowStartMs {
		return 1
	}
	return c.SlowStartFrom + (1-c.SlowStartFrom)*max(at-s.started, 0)/c.SlowStartMs
}

func newFleetDay(t testing.TB, seed uint64, agents, servers int, load float64) *fleetDay {
	set := testSettings()
	set.FleetSize = agents
	set.Limits.HedgedRequests = false
	set.Contract.SlowStartFrom, set.Contract.SlowStartMs, set.Contract.OverloadWindowMs = 0.14, 24000, 2000
	set.FamilyInfo.WarmKeys = true
	d := &fleetDay{t: t, rng: rand.New(rand.NewPCG(seed, 5)), set: set, now: 1e6, keys: 40 * servers}
	for i := range servers {
		d.servers = append(d.servers, &dayServer{perMs: 0.03, gain: 1.6})
		d.entries = append(d.entries, balancer.Endpoint{Server: addr(i), State: balancer.Ready, Weight: 1, Cell: i / 8, Zone: i % 2})
	}
	d.perMs = load * 0.03 * float64(servers)
	for i := range agents {
		d.agents = append(d.agents, &dayAgent{used: map[balancer.Addr]bool{}})
		d.share = append(d.share, float64(i+1)/float64(agents))
	}
	for i := range agents {
		d.start(i)
	}
	return d
}

// uneven gives agents shares of the requests by weights.
func (d *fleetDay) uneven(weight func(i int) float64) {
	sum := 0.0
	for i := range d.share {
		sum += weight(i)
		d.share[i] = sum
	}
	for i := range d.share {
		d.share[i] /= sum
	}
}

// start starts an agent's process, and ends the one before.
func (d *fleetDay) start(i int) {
	a := d.agents[i]
	set := d.set
	set.Index, set.Zone = i, i%2
	b, err := policy.New(set, d.rng.Uint64())
	if err != nil {
		d.t.Fatal(err)
	}
	a.b, a.born, a.open = b, a.born+1, map[balancer.RequestID]float64{}
	d.act(a, b.Start(d.now, nil))
	d.hand(a, balancer.Event{Kind: balancer.EventList, ListUpdate: balancer.ListCached, Endpoints: d.entries})
}

// restartMost starts seven in ten agents anew at once.
func (d *fleetDay) restartMost() {
	for i := range d.agents {
		if i%10 < 7 {
			d.start(i)
		}
	}
}

func (d *fleetDay) hand(a *dayAgent, ev balancer.Event) { d.act(a, a.b.Handle(d.now, &ev, nil)) }

// cold starts servers anew, and tells all agents.
func (d *fleetDay) cold(which ...int) {
	var delta []balancer.Endpoint
	for _, i := range which {
		s := d.servers[i]
		s.started, s.got, s.free = d.now, nil, d.now
		d.entries[i].StartedMs = d.now + d.clockAhead
		delta = append(delta, d.entries[i])
	}
	d.tell(delta)
}

// tell has all agents hear of changes at once.
func (d *fleetDay) tell(delta []balancer.Endpoint) {
	for _, a := range d.agents {
		d.hand(a, balancer.Event{Kind: balancer.EventList, ListUpdate: balancer.ListDelta, Endpoints: delta})
	}
}

// loseWarm has no connection reach the servers that are not new.
func (d *fleetDay) loseWarm() {
	for _, s := range d.servers {
		s.dead = s.started == 0
	}
}

// drainWarm tells all agents that the servers that are not new drain, but for the first few.
func (d *fleetDay) drainWarm(but int) {
	var delta []balancer.Endpoint
	for i, s := range d.servers {
		if s.started > 0 {
			continue
		}
		if but--; but < 0 {
			d.entries[i].State = balancer.Draining
			delta = append(delta, d.entries[i])
		}
	}
	d.tell(delta)
}

// silence has servers answer nothing for some time.
func (d *fleetDay) silence(ms float64, which ...int) {
	for _, i := range which {
		d.servers[i].silent = d.now + ms
	}
}

// fail has servers answer all with an error for some time.
func (d *fleetDay) fail(ms float64, which ...int) {
	for _, i := range which {
		d.servers[i].failing = d.now + ms
	}
}

func (d *fleetDay) act(a *dayAgent, actions []balancer.Action) {
	born := a.born
	for _, x := range actions {
		switch x.Kind {
		case balancer.ActionSetTimer:
			d.after(x.Ms, func() {
				if a.born == born {
					d.hand(a, balancer.Event{Kind: balancer.EventTimer, Token: x.Token})
				}
			})
		case balancer.ActionForward:
			d.send(a, x)
		case balancer.ActionReject, balancer.ActionFail:
			delete(a.open, x.Request)
		}
	}
}

// send is an attempt at its server: one queue, worked off at its present capacity, with a bound.
func (d *fleetDay) send(a *dayAgent, x balancer.Action) {
	born, sent := a.born, d.now
	try := int(a.open[x.Request])
	a.open[x.Request]++
	a.used[x.Server] = true
	s := d.servers[int(x.Server[2])<<8|int(x.Server[3])]
	s.got = append(s.got, d.now)
	k := d.part(s, d.now)
	work := 1 / (s.perMs * k)
	if s.started == 0 {
		work /= s.gain
	}
	status, took := balancer.StatusOK, 0.0
	switch wait := max(s.free-d.now, 0); {
	case s.dead:
		status, took = balancer.StatusConnectFailed, 1
	case d.now < s.silent:
		status, took = balancer.StatusTimeout, x.Ms
	case d.now < s.failing:
		status, took = balancer.StatusError, 1
	case wait > 500:
		status, took = balancer.StatusOverloaded, 1
	default:
		s.free = d.now + wait + work
		took = wait + work + 60
		if took > x.Ms {
			status, took = balancer.StatusTimeout, x.Ms
		}
	}
	d.after(took, func() {
		if a.born != born {
			return
		}
		if status == balancer.StatusOK {
			d.served++
			delete(a.open, x.Request)
		}
		d.hand(a, balancer.Event{Kind: balancer.EventAttemptDone, Request: x.Request, Attempt: try, Server: x.Server, Status: status,
			LatencyMs: d.now - sent, RequestDone: status == balancer.StatusOK})
	})
}

// arrivals brings requests from now on.
func (d *fleetDay) arrivals() {
	d.after(d.rng.ExpFloat64()/d.perMs, func() {
		at := d.rng.Float64()
		i := 0
		for d.share[i] < at {
			i++
		}
		a := d.agents[i]
		a.id++
		a.open[a.id] = 0
		rank := math.Pow(float64(d.keys), d.rng.Float64())
		if d.evenKeys {
			rank = float64(d.rng.IntN(d.keys))
		}
		key := uint64(rank) * 0x9e3779b97f4a7c15
		if d.rng.Float64() < d.hot {
			key = 77
		}
		d.asked++
		d.hand(a, balancer.Event{Kind: balancer.EventRequest, Request: a.id, Class: d.rng.IntN(3), Key: key | 1, RemainingMs: 1000})
		d.arrivals()
	})
}

func (d *fleetDay) run(ms float64) {
	end := d.now + ms
	for len(d.queue) > 0 && d.queue[0].at <= end {
		x := heap.Pop(&d.queue).(due)
		d.now = x.at
		x.do()
	}
	d.now = end
}

// allowance is what a cold server bears in a window for which the settings allow it n requests: those
// and what is chance. The terms allow 3 x root of n + 3 of chance where n is under 30, which is more;
// the smaller figure holds for all.
func allowance(n float64) float64 { return n + 2*math.Sqrt(n) + 2 }

// worst is the most that a cold server was sent in any window that the settings name, in parts of
// its allowance, which all agents share.
func (d *fleetDay) worst() (most float64, how string) {
	w := d.set.Contract.OverloadWindowMs
	for i, s := range d.servers {
		if s.started == 0 {
			continue
		}
		for from, to := 0, 0; to < len(s.got); to++ {
			for s.got[to]-s.got[from] > w {
				from++
			}
			// By the capacity at the window's first call: it only grows.
			n := d.set.Contract.OverloadMultiple * s.perMs * d.part(s, s.got[from]) * w
			if n >= d.set.Contract.OverloadMultiple*s.perMs*w {
				continue // warm
			}
			got := float64(to - from + 1)
			if x := got / allowance(n); x > most {
				most, how = x, fmt.Sprintf("server %d got %.0f where %.1f are its budget, %.1f s after its start",
					i, got, n, (s.got[from]-s.started)/1000)
			}
		}
	}
	return most, how
}

// In any window that the settings name, a cold server gets no more of all agents together than its
// budget and what is chance, however many they are, whatever fails beside it, and however their
// requests are spread. (The budget and what all agents earn of it: see earn in the module.)
func TestColdServersBearTheSumOfAllAgents(t *testing.T) {
	cases := []struct {
		name string
		load float64
		play func(d *fleetDay)
	}{
		{"a fifth replaced", 0.7, func(d *fleetDay) {
			d.cold(fifth(d)...)
			d.run(20000)
		}},
		{"agents restarted", 0.7, func(d *fleetDay) {
			d.cold(fifth(d)...)
			d.run(1000)
			d.restartMost()
			d.run(20000)
		}},
		{"uneven", 0.7, func(d *fleetDay) {
			d.uneven(func(i int) float64 { return 1 / float64(i+1) })
			d.run(3000)
			d.cold(fifth(d)...)
			d.run(20000)
		}},
		{"all cold", 0.7, func(d *fleetDay) {
			d.cold(all(d)...)
			d.run(24000)
		}},
		{"burst", 0.7, func(d *fleetDay) {
			d.cold(fifth(d)...)
			d.run(4000)
			d.perMs *= 2.5
			d.run(8000)
		}},
		{"warm lost", 0.7, func(d *fleetDay) {
			d.cold(fifth(d)...)
			d.run(4000)
			for i, s := range d.servers {
				s.dead = i%2 == 0 && s.started == 0
			}
			d.run(8000)
		}},
		{"all warm lost", 0.7, func(d *fleetDay) {
			d.cold(fifth(d)...)
			d.run(4000)
			d.loseWarm()
			d.run(8000)
		}},
		{"half in steps", 0.8, func(d *fleetDay) {
			for k := range 5 {
				var which []int
				for i := range d.servers {
					if i%10 == k {
						which = append(which, i)
					}
				}
				d.cold(which...)
				d.run(3000)
			}
			d.run(9000)
		}},
		{"surge", 0.2, func(d *fleetDay) {
			d.cold(fifth(d)...)
			d.run(4000)
			d.perMs *= 10
			d.run(6000)
		}},
		{"surge, seven in ten agents new", 0.2, func(d *fleetDay) {
			d.restartMost()
			d.cold(fifth(d)...)
			d.run(2000)
			d.perMs *= 10
			d.run(6000)
		}},
		{"one warm left", 0.7, func(d *fleetDay) {
			d.cold(all(d)[1:]...)
			d.run(24000)
		}},
		{"hot key", 0.7, func(d *fleetDay) {
			d.cold(fifth(d)...)
			d.run(4000)
			d.hot = 0.25
			d.run(8000)
		}},
		{"overload", 1.8, func(d *fleetDay) {
			d.cold(fifth(d)...)
			d.run(20000)
		}},
		{"all cold, agents restarted", 0.7, func(d *fleetDay) {
			d.cold(all(d)...)
			d.run(1000)
			d.restartMost()
			d.run(20000)
		}},
		{"all cold, uneven", 0.7, func(d *fleetDay) {
			d.uneven(func(i int) float64 { return 1 / float64(i+1) })
			d.run(3000)
			d.cold(all(d)...)
			d.run(24000)
		}},
		{"overload, then all cold", 2.2, func(d *fleetDay) {
			d.cold(all(d)...)
			d.run(24000)
		}},
		{"overload, one cold", 2.2, func(d *fleetDay) {
			d.cold(0)
			d.run(24000)
		}},
		{"overload, one warm left", 1.8, func(d *fleetDay) {
			d.cold(all(d)[1:]...)
			d.run(24000)
		}},
		{"early surge", 0.05, func(d *fleetDay) {
			d.cold(fifth(d)...)
			d.run(400)
			d.perMs *= 40
			d.run(6000)
		}},
		{"agents restarted again and again", 0.7, func(d *fleetDay) {
			d.cold(fifth(d)...)
			for range 10 {
				d.run(500)
				d.restartMost()
			}
			d.run(10000)
		}},
		{"all cold and failing", 0.7, func(d *fleetDay) {
			d.cold(all(d)...)
			d.run(500)
			d.fail(6000, all(d)...)
			d.run(10000)
		}},
		{"all warm lost, cold failing", 0.7, func(d *fleetDay) {
			d.cold(fifth(d)...)
			d.run(500)
			d.loseWarm()
			d.fail(6000, fifth(d)...)
			d.run(10000)
		}},
		{"all silent, a fifth cold", 0.7, func(d *fleetDay) {
			d.cold(fifth(d)...)
			d.run(500)
			d.silence(2500, all(d)...)
			d.run(10000)
		}},
		{"list's clock an hour ahead", 0.7, func(d *fleetDay) {
			d.clockAhead = 3600e3
			d.cold(fifth(d)...)
			d.run(3000)
			d.restartMost()
			d.run(18000)
		}},
	}
	fleets := []struct{ agents, servers int }{
		{1, 12}, {3, 12}, {30, 12}, {300, 30},
		{1500, 15}, // a hundred at each, as 30 would take a minute under the race detector
		{2, 1}, {2, 3}, {2, 12}, {12, 1}, {12, 3}, {12, 12}, {40, 1}, {40, 12}, {100, 12},
	}
	for _, c := range cases {
		for _, fleet := range fleets {
			t.Run(fmt.Sprintf("%s, %d agents, %d servers", c.name, fleet.agents, fleet.servers), func(t *testing.T) {
				t.Parallel()
				d := newFleetDay(t, 1, fleet.agents, fleet.servers, c.load)
				d.arrivals()
				d.run(5000)
				c.play(d)
				d.checkColdServers(t)
			})
		}
	}
}

// What draining servers answer late earns a cold server no more than what it bears.
func TestColdServersBearWhatDrainingOnesAnswer(t *testing.T) {
	for _, fleet := range []struct{ agents, servers int }{{12, 12}, {40, 120}, {100, 120}} {
		t.Run(fmt.Sprintf("%d agents, %d servers", fleet.agents, fleet.servers), func(t *testing.T) {
			t.Parallel()
			d := newFleetDay(t, 1, fleet.agents, fleet.servers, 1.8)
			d.arrivals()
			d.run(5000)
			d.cold(fifth(d)...)
			d.run(300)
			d.drainWarm(1)
			d.run(4000)
			d.checkColdServers(t)
		})
	}
}

// Where the last warm server drains, credit by time counts from then on, and not once more the time for
// which the warm ones had earned it. The rate is that of the warm ones, learned in a long day before.
func TestColdServersBearTheLossOfAllWarm(t *testing.T) {
	for _, agents := range []int{12, 300} {
		t.Run(fmt.Sprintf("%d agents", agents), func(t *testing.T) {
			t.Parallel()
			d := newFleetDay(t, 1, agents, 12, 0.9)
			d.arrivals()
			d.run(45000)
			d.cold(fifth(d)...)
			d.run(8000)
			d.drainWarm(0)
			d.run(8000)
			d.checkColdServers(t)
		})
	}
}

// checkColdServers holds what cold servers were sent to what they bear.
func (d *fleetDay) checkColdServers(t *testing.T) {
	t.Helper()
	if most, how := d.worst(); most > 1 || d.served == 0 {
		t.Errorf("%.2f times what is allowed: %s; %d of %d served", most, how, d.served, d.asked)
	}
}

func fifth(d *fleetDay) (is []int) {
	for i := 0; i < len(d.servers); i += 5 {
		is = append(is, i)
	}
	return is
}

func all(d *fleetDay) (is []int) {
	for i := range d.servers {
		is = append(is, i)
	}
	return is
}
