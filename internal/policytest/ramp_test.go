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
type fleetSimulation struct {
	t                testing.TB
	random           *rand.Rand
	settings         balancer.Settings
	now              float64
	queue            eventQueue
	sequence         int
	agents           []*simulatedAgent
	servers          []*simulatedServer
	endpoints        []balancer.Endpoint
	cumulativeShares []float64 // of requests, summed up by agent
	requestsPerMs    float64   // requests
	keyCount         int
	evenKeys         bool    // keys are equally popular; else one's share falls as its rank grows
	popularShare     float64 // part of the requests that are for one key
	requests         int
	served           int
	// clockAhead is how far in ms the list's clock is ahead of the agents'.
	clockAheadMs float64
}

type simulatedAgent struct {
	policy      *policy.Balancer
	lastRequest balancer.RequestID
	incarnation int // which process: what belongs to an earlier one is void
	attempts    map[balancer.RequestID]float64
	serversUsed map[balancer.Addr]bool // servers that its processes have sent something to
}

type simulatedServer struct {
	startedAt     float64 // 0: long ago
	requestsPerMs float64 // requests of mean work when warm
	cacheSpeedup  float64 // by how much keys that it knows lighten the work once it is warm
	idleAt        float64 // when what it holds is done
	unreachable   bool
	hangsUntil    float64   // until when it answers nothing
	failsUntil    float64   // until when it answers all with an error
	receivedAt    []float64 // times of what it was sent since its start
}

// due is something that happens at a time.
type scheduledEvent struct {
	at       float64
	sequence int
	run      func()
}

type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}

func (d *fleetSimulation) schedule(ms float64, do func()) {
	d.sequence++
	heap.Push(&d.queue, scheduledEvent{d.now + ms, d.sequence, do})
}

// part is the part of its capacity that a server has, at the contract's least.
func (d *fleetSimulation) capacityFraction(s *simulatedServer, at float64) float64 {
	c := &d.settings.Contract
	if s.startedAt == 0 || at-s.startedAt >= c.SlowStartMs {
		return 1
	}
	return c.SlowStartFrom + (1-c.SlowStartFrom)*max(at-s.startedAt, 0)/c.SlowStartMs
}

func newFleetSimulation(t testing.TB, seed uint64, agents, servers int, load float64) *fleetSimulation {
	set := testSettings()
	set.FleetSize = agents
	set.Limits.HedgedRequests = false
	set.Contract.SlowStartFrom, set.Contract.SlowStartMs, set.Contract.OverloadWindowMs = 0.14, 24000, 2000
	set.FamilyInfo.WarmKeys = true
	d := &fleetSimulation{t: t, random: rand.New(rand.NewPCG(seed, 5)), settings: set, now: 1e6,
		keyCount: 40 * servers}
	for i := range servers {
		d.servers = append(d.servers, &simulatedServer{requestsPerMs: 0.03, cacheSpeedup: 1.6})
		d.endpoints = append(d.endpoints,
			balancer.Endpoint{Server: serverAddress(i), State: balancer.Ready, Weight: 1, Cell: i / 8, Zone: i % 2})
	}
	d.requestsPerMs = load * 0.03 * float64(servers)
	for i := range agents {
		d.agents = append(d.agents, &simulatedAgent{serversUsed: map[balancer.Addr]bool{}})
		d.cumulativeShares = append(d.cumulativeShares, float64(i+1)/float64(agents))
	}
	for i := range agents {
		d.startAgent(i)
	}
	return d
}

// uneven gives agents shares of the requests by weights.
func (d *fleetSimulation) setShares(weight func(i int) float64) {
	sum := 0.0
	for i := range d.cumulativeShares {
		sum += weight(i)
		d.cumulativeShares[i] = sum
	}
	for i := range d.cumulativeShares {
		d.cumulativeShares[i] /= sum
	}
}

// start starts an agent's process, and ends the one before.
func (d *fleetSimulation) startAgent(i int) {
	a := d.agents[i]
	set := d.settings
	set.Index, set.Zone = i, i%2
	b, err := policy.New(set, d.random.Uint64())
	if err != nil {
		d.t.Fatal(err)
	}
	a.policy, a.incarnation, a.attempts = b, a.incarnation+1, map[balancer.RequestID]float64{}
	d.carryOut(a, b.Start(d.now, nil))
	d.handle(a, balancer.Event{Kind: balancer.EventList, ListUpdate: balancer.ListCached, Endpoints: d.endpoints})
}

// restartMost starts seven in ten agents anew at once.
func (d *fleetSimulation) restartMostAgents() {
	for i := range d.agents {
		if i%10 < 7 {
			d.startAgent(i)
		}
	}
}

func (d *fleetSimulation) handle(a *simulatedAgent, ev balancer.Event) {
	d.carryOut(a, a.policy.Handle(d.now, &ev, nil))
}

// cold starts servers anew, and tells all agents.
func (d *fleetSimulation) restartServers(which ...int) {
	var delta []balancer.Endpoint
	for _, i := range which {
		s := d.servers[i]
		s.startedAt, s.receivedAt, s.idleAt = d.now, nil, d.now
		d.endpoints[i].StartedMs = d.now + d.clockAheadMs
		delta = append(delta, d.endpoints[i])
	}
	d.notifyAll(delta)
}

// tell has all agents hear of changes at once.
func (d *fleetSimulation) notifyAll(delta []balancer.Endpoint) {
	for _, a := range d.agents {
		d.handle(a, balancer.Event{Kind: balancer.EventList, ListUpdate: balancer.ListDelta, Endpoints: delta})
	}
}

// loseWarm has no connection reach the servers that are not new.
func (d *fleetSimulation) disconnectWarm() {
	for _, s := range d.servers {
		s.unreachable = s.startedAt == 0
	}
}

// drainWarm tells all agents that the servers that are not new drain, but for the first few.
func (d *fleetSimulation) drainWarm(but int) {
	var delta []balancer.Endpoint
	for i, s := range d.servers {
		if s.startedAt > 0 {
			continue
		}
		if but--; but < 0 {
			d.endpoints[i].State = balancer.Draining
			delta = append(delta, d.endpoints[i])
		}
	}
	d.notifyAll(delta)
}

// silence has servers answer nothing for some time.
func (d *fleetSimulation) hangServers(ms float64, which ...int) {
	for _, i := range which {
		d.servers[i].hangsUntil = d.now + ms
	}
}

// fail has servers answer all with an error for some time.
func (d *fleetSimulation) failServers(ms float64, which ...int) {
	for _, i := range which {
		d.servers[i].failsUntil = d.now + ms
	}
}

func (d *fleetSimulation) carryOut(a *simulatedAgent, actions []balancer.Action) {
	born := a.incarnation
	for _, x := range actions {
		switch x.Kind {
		case balancer.ActionSetTimer:
			d.schedule(x.Ms, func() {
				if a.incarnation == born {
					d.handle(a, balancer.Event{Kind: balancer.EventTimer, Token: x.Token})
				}
			})
		case balancer.ActionForward:
			d.forward(a, x)
		case balancer.ActionReject, balancer.ActionFail:
			delete(a.attempts, x.Request)
		}
	}
}

// send is an attempt at its server: one queue, worked off at its present capacity, with a bound.
func (d *fleetSimulation) forward(a *simulatedAgent, x balancer.Action) {
	born, sent := a.incarnation, d.now
	try := int(a.attempts[x.Request])
	a.attempts[x.Request]++
	a.serversUsed[x.Server] = true
	s := d.servers[int(x.Server[2])<<8|int(x.Server[3])]
	s.receivedAt = append(s.receivedAt, d.now)
	k := d.capacityFraction(s, d.now)
	work := 1 / (s.requestsPerMs * k)
	if s.startedAt == 0 {
		work /= s.cacheSpeedup
	}
	status, took := balancer.StatusOK, 0.0
	switch wait := max(s.idleAt-d.now, 0); {
	case s.unreachable:
		status, took = balancer.StatusConnectFailed, 1
	case d.now < s.hangsUntil:
		status, took = balancer.StatusTimeout, x.Ms
	case d.now < s.failsUntil:
		status, took = balancer.StatusError, 1
	case wait > 500:
		status, took = balancer.StatusOverloaded, 1
	default:
		s.idleAt = d.now + wait + work
		took = wait + work + 60
		if took > x.Ms {
			status, took = balancer.StatusTimeout, x.Ms
		}
	}
	d.schedule(took, func() {
		if a.incarnation != born {
			return
		}
		if status == balancer.StatusOK {
			d.served++
			delete(a.attempts, x.Request)
		}
		d.handle(a, balancer.Event{Kind: balancer.EventAttemptDone, Request: x.Request, Attempt: try,
			Server: x.Server, Status: status,
			LatencyMs: d.now - sent, RequestDone: status == balancer.StatusOK})
	})
}

// arrivals brings requests from now on.
func (d *fleetSimulation) scheduleArrivals() {
	d.schedule(d.random.ExpFloat64()/d.requestsPerMs, func() {
		at := d.random.Float64()
		i := 0
		for d.cumulativeShares[i] < at {
			i++
		}
		a := d.agents[i]
		a.lastRequest++
		a.attempts[a.lastRequest] = 0
		rank := math.Pow(float64(d.keyCount), d.random.Float64())
		if d.evenKeys {
			rank = float64(d.random.IntN(d.keyCount))
		}
		key := uint64(rank) * 0x9e3779b97f4a7c15
		if d.random.Float64() < d.popularShare {
			key = 77
		}
		d.requests++
		d.handle(a, balancer.Event{Kind: balancer.EventRequest, Request: a.lastRequest, Class: d.random.IntN(3),
			Key: key | 1, RemainingMs: 1000})
		d.scheduleArrivals()
	})
}

func (d *fleetSimulation) run(ms float64) {
	end := d.now + ms
	for len(d.queue) > 0 && d.queue[0].at <= end {
		x := heap.Pop(&d.queue).(scheduledEvent)
		d.now = x.at
		x.run()
	}
	d.now = end
}

// allowance is what a cold server bears in a window for which the settings allow it n requests: those
// and what is chance. The terms allow 3 x root of n + 3 of chance where n is under 30, which is more;
// the smaller figure holds for all.
func maxReceived(n float64) float64 { return n + 2*math.Sqrt(n) + 2 }

// worst is the most that a cold server was sent in any window that the settings name, in parts of
// its allowance, which all agents share.
func (d *fleetSimulation) worstOverload() (most float64, how string) {
	w := d.settings.Contract.OverloadWindowMs
	for i, s := range d.servers {
		if s.startedAt == 0 {
			continue
		}
		for from, to := 0, 0; to < len(s.receivedAt); to++ {
			for s.receivedAt[to]-s.receivedAt[from] > w {
				from++
			}
			// By the capacity at the window's first call: it only grows.
			n := d.settings.Contract.OverloadMultiple * s.requestsPerMs * d.capacityFraction(s,
				s.receivedAt[from]) * w
			if n >= d.settings.Contract.OverloadMultiple*s.requestsPerMs*w {
				continue // warm
			}
			got := float64(to - from + 1)
			if x := got / maxReceived(n); x > most {
				most, how = x, fmt.Sprintf("server %d got %.0f where %.1f are its budget, %.1f s after its start",
					i, got, n, (s.receivedAt[from]-s.startedAt)/1000)
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
		play func(d *fleetSimulation)
	}{
		{"a fifth replaced", 0.7, func(d *fleetSimulation) {
			d.restartServers(everyFifth(d)...)
			d.run(20000)
		}},
		{"agents restarted", 0.7, func(d *fleetSimulation) {
			d.restartServers(everyFifth(d)...)
			d.run(1000)
			d.restartMostAgents()
			d.run(20000)
		}},
		{"uneven", 0.7, func(d *fleetSimulation) {
			d.setShares(func(i int) float64 { return 1 / float64(i+1) })
			d.run(3000)
			d.restartServers(everyFifth(d)...)
			d.run(20000)
		}},
		{"all cold", 0.7, func(d *fleetSimulation) {
			d.restartServers(allServers(d)...)
			d.run(24000)
		}},
		{"burst", 0.7, func(d *fleetSimulation) {
			d.restartServers(everyFifth(d)...)
			d.run(4000)
			d.requestsPerMs *= 2.5
			d.run(8000)
		}},
		{"warm lost", 0.7, func(d *fleetSimulation) {
			d.restartServers(everyFifth(d)...)
			d.run(4000)
			for i, s := range d.servers {
				s.unreachable = i%2 == 0 && s.startedAt == 0
			}
			d.run(8000)
		}},
		{"all warm lost", 0.7, func(d *fleetSimulation) {
			d.restartServers(everyFifth(d)...)
			d.run(4000)
			d.disconnectWarm()
			d.run(8000)
		}},
		{"half in steps", 0.8, func(d *fleetSimulation) {
			for k := range 5 {
				var which []int
				for i := range d.servers {
					if i%10 == k {
						which = append(which, i)
					}
				}
				d.restartServers(which...)
				d.run(3000)
			}
			d.run(9000)
		}},
		{"surge", 0.2, func(d *fleetSimulation) {
			d.restartServers(everyFifth(d)...)
			d.run(4000)
			d.requestsPerMs *= 10
			d.run(6000)
		}},
		{"surge, seven in ten agents new", 0.2, func(d *fleetSimulation) {
			d.restartMostAgents()
			d.restartServers(everyFifth(d)...)
			d.run(2000)
			d.requestsPerMs *= 10
			d.run(6000)
		}},
		{"one warm left", 0.7, func(d *fleetSimulation) {
			d.restartServers(allServers(d)[1:]...)
			d.run(24000)
		}},
		{"hot key", 0.7, func(d *fleetSimulation) {
			d.restartServers(everyFifth(d)...)
			d.run(4000)
			d.popularShare = 0.25
			d.run(8000)
		}},
		{"overload", 1.8, func(d *fleetSimulation) {
			d.restartServers(everyFifth(d)...)
			d.run(20000)
		}},
		{"all cold, agents restarted", 0.7, func(d *fleetSimulation) {
			d.restartServers(allServers(d)...)
			d.run(1000)
			d.restartMostAgents()
			d.run(20000)
		}},
		{"all cold, uneven", 0.7, func(d *fleetSimulation) {
			d.setShares(func(i int) float64 { return 1 / float64(i+1) })
			d.run(3000)
			d.restartServers(allServers(d)...)
			d.run(24000)
		}},
		{"overload, then all cold", 2.2, func(d *fleetSimulation) {
			d.restartServers(allServers(d)...)
			d.run(24000)
		}},
		{"overload, one cold", 2.2, func(d *fleetSimulation) {
			d.restartServers(0)
			d.run(24000)
		}},
		{"overload, one warm left", 1.8, func(d *fleetSimulation) {
			d.restartServers(allServers(d)[1:]...)
			d.run(24000)
		}},
		{"early surge", 0.05, func(d *fleetSimulation) {
			d.restartServers(everyFifth(d)...)
			d.run(400)
			d.requestsPerMs *= 40
			d.run(6000)
		}},
		{"agents restarted again and again", 0.7, func(d *fleetSimulation) {
			d.restartServers(everyFifth(d)...)
			for range 10 {
				d.run(500)
				d.restartMostAgents()
			}
			d.run(10000)
		}},
		{"all cold and failing", 0.7, func(d *fleetSimulation) {
			d.restartServers(allServers(d)...)
			d.run(500)
			d.failServers(6000, allServers(d)...)
			d.run(10000)
		}},
		{"all warm lost, cold failing", 0.7, func(d *fleetSimulation) {
			d.restartServers(everyFifth(d)...)
			d.run(500)
			d.disconnectWarm()
			d.failServers(6000, everyFifth(d)...)
			d.run(10000)
		}},
		{"all silent, a fifth cold", 0.7, func(d *fleetSimulation) {
			d.restartServers(everyFifth(d)...)
			d.run(500)
			d.hangServers(2500, allServers(d)...)
			d.run(10000)
		}},
		{"list's clock an hour ahead", 0.7, func(d *fleetSimulation) {
			d.clockAheadMs = 3600e3
			d.restartServers(everyFifth(d)...)
			d.run(3000)
			d.restartMostAgents()
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
				d := newFleetSimulation(t, 1, fleet.agents, fleet.servers, c.load)
				d.scheduleArrivals()
				d.run(5000)
				c.play(d)
				d.checkSlowStart(t)
			})
		}
	}
}

// What draining servers answer late earns a cold server no more than what it bears.
func TestColdServersBearWhatDrainingOnesAnswer(t *testing.T) {
	for _, fleet := range []struct{ agents, servers int }{{12, 12}, {40, 120}, {100, 120}} {
		t.Run(fmt.Sprintf("%d agents, %d servers", fleet.agents, fleet.servers), func(t *testing.T) {
			t.Parallel()
			d := newFleetSimulation(t, 1, fleet.agents, fleet.servers, 1.8)
			d.scheduleArrivals()
			d.run(5000)
			d.restartServers(everyFifth(d)...)
			d.run(300)
			d.drainWarm(1)
			d.run(4000)
			d.checkSlowStart(t)
		})
	}
}

// Where the last warm server drains, credit by time counts from then on, and not once more the time for
// which the warm ones had earned it. The rate is that of the warm ones, learned in a long day before.
func TestColdServersBearTheLossOfAllWarm(t *testing.T) {
	for _, agents := range []int{12, 300} {
		t.Run(fmt.Sprintf("%d agents", agents), func(t *testing.T) {
			t.Parallel()
			d := newFleetSimulation(t, 1, agents, 12, 0.9)
			d.scheduleArrivals()
			d.run(45000)
			d.restartServers(everyFifth(d)...)
			d.run(8000)
			d.drainWarm(0)
			d.run(8000)
			d.checkSlowStart(t)
		})
	}
}

// checkColdServers holds what cold servers were sent to what they bear.
func (d *fleetSimulation) checkSlowStart(t *testing.T) {
	t.Helper()
	if most, how := d.worstOverload(); most > 1 || d.served == 0 {
		t.Errorf("%.2f times what is allowed: %s; %d of %d served", most, how, d.served, d.requests)
	}
}

func everyFifth(d *fleetSimulation) (is []int) {
	for i := 0; i < len(d.servers); i += 5 {
		is = append(is, i)
	}
	return is
}

func allServers(d *fleetSimulation) (is []int) {
	for i := range d.servers {
		is = append(is, i)
	}
	return is
}
