package policy_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"

	"fernbeam.example/fernbeam/internal/balancer"
	"fernbeam.example/fernbeam/policy"
)

const (
	// simulatedRequestsPerMs is the capacity of a warm server, in requests of mean work.
	simulatedRequestsPerMs = 0.03
	// simulatedCacheSpeedup is how many times faster a warm server serves the keys that it knows.
	simulatedCacheSpeedup = 1.6
	// simulatedMaxWaitMs is the wait from which a server rejects attempts.
	simulatedMaxWaitMs = 500
	// simulatedBaseMs is the part of a response time that is neither wait nor work.
	simulatedBaseMs = 60
	// keyMultiplier spreads the ranks of keys over 64 bits.
	keyMultiplier = 0x9e3779b97f4a7c15
	// popularKey is the key of popularShare of the requests.
	popularKey = 77
)

// fleetSimulation is many balancers and their servers in one virtual time: each server is loaded by the
// sum of what all agents forward. Changes of the endpoint list reach all agents at once.
type fleetSimulation struct {
	t                testing.TB
	random           *rand.Rand
	settings         balancer.Settings
	now              float64 // milliseconds
	queue            eventQueue
	sequence         int
	agents           []*simulatedAgent
	servers          []*simulatedServer
	endpoints        []balancer.Endpoint
	cumulativeShares []float64 // of the requests, summed up by agent
	requestsPerMs    float64   // arrival rate
	keyCount         int
	evenKeys         bool    // keys are equally popular; else the share of a key falls with its rank
	popularShare     float64 // part of the requests that are for popularKey
	requests         int
	served           int
	clockAheadMs     float64 // how far the endpoint list's clock is ahead of the agents'
}

// simulatedAgent is one agent; it may be restarted.
type simulatedAgent struct {
	policy      *policy.Balancer
	lastRequest balancer.RequestID
	incarnation int                        // events of an earlier one are dropped
	attempts    map[balancer.RequestID]int // number of attempts of each open request
	serversUsed map[balancer.Addr]bool     // servers that the agent has forwarded to, in any incarnation
}

// simulatedServer is one server: a queue that is served at its present capacity.
type simulatedServer struct {
	startedAt     float64 // 0: long ago
	requestsPerMs float64 // requests of mean work when warm
	cacheSpeedup  float64 // how many times faster it serves the keys that it knows, when warm
	idleAt        float64 // when its queue is served
	unreachable   bool
	hangsUntil    float64   // it does not respond until then
	failsUntil    float64   // it responds with errors until then
	receivedAt    []float64 // times of the attempts that it got since its start
}

// scheduledEvent is something that happens at a time of the simulation.
type scheduledEvent struct {
	at       float64
	sequence int // orders events of one time
	run      func()
}

// eventQueue is a heap of events, the next one first.
type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(scheduledEvent)) }

func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}

// newFleetSimulation starts agents with servers that are warm; load is the part of the servers' capacity
// that the requests take, without the effect of caches.
func newFleetSimulation(tb testing.TB, agents, servers int, load float64) *fleetSimulation {
	tb.Helper()
	settings := testSettings()
	settings.FleetSize = agents
	settings.Limits.HedgedRequests = false
	settings.Contract.SlowStartFrom = 0.14
	settings.Contract.SlowStartMs = 24000
	settings.Contract.OverloadWindowMs = 2000
	settings.FamilyInfo.WarmKeys = true
	s := &fleetSimulation{
		t:             tb,
		random:        rand.New(rand.NewPCG(1, 5)),
		settings:      settings,
		now:           1e6,
		keyCount:      40 * servers,
		requestsPerMs: load * simulatedRequestsPerMs * float64(servers),
	}
	for i := range servers {
		s.addServer(i)
	}
	for i := range agents {
		s.agents = append(s.agents, &simulatedAgent{serversUsed: map[balancer.Addr]bool{}})
		s.cumulativeShares = append(s.cumulativeShares, float64(i+1)/float64(agents))
	}
	for i := range agents {
		s.startAgent(i)
	}
	return s
}

// addServer adds a warm server.
func (s *fleetSimulation) addServer(index int) {
	s.servers = append(s.servers, &simulatedServer{
		requestsPerMs: simulatedRequestsPerMs,
		cacheSpeedup:  simulatedCacheSpeedup,
	})
	s.endpoints = append(s.endpoints, balancer.Endpoint{
		Server: serverAddress(index),
		State:  balancer.Ready,
		Weight: 1,
		Cell:   index / 8,
		Zone:   index % 2,
	})
}

// setShares gives the agents shares of the requests by weights.
func (s *fleetSimulation) setShares(weight func(i int) float64) {
	sum := 0.0
	for i := range s.cumulativeShares {
		sum += weight(i)
		s.cumulativeShares[i] = sum
	}
	for i := range s.cumulativeShares {
		s.cumulativeShares[i] /= sum
	}
}

// startAgent starts an incarnation of an agent, and ends the one before.
func (s *fleetSimulation) startAgent(index int) {
	agent := s.agents[index]
	settings := s.settings
	settings.Index = index
	settings.Zone = index % 2
	b, err := policy.New(settings, s.random.Uint64())
	if err != nil {
		s.t.Fatal(err)
	}
	agent.policy = b
	agent.incarnation++
	agent.attempts = map[balancer.RequestID]int{}
	s.carryOut(agent, b.Start(s.now, nil))
	s.handle(agent, balancer.Event{
		Kind:       balancer.EventList,
		ListUpdate: balancer.ListCached,
		Endpoints:  s.endpoints,
	})
}

// restartMostAgents restarts seven in ten agents at once.
func (s *fleetSimulation) restartMostAgents() {
	for i := range s.agents {
		if i%10 < 7 {
			s.startAgent(i)
		}
	}
}

// restartServers restarts servers and notifies all agents.
func (s *fleetSimulation) restartServers(indices ...int) {
	var delta []balancer.Endpoint
	for _, i := range indices {
		server := s.servers[i]
		server.startedAt = s.now
		server.receivedAt = nil
		server.idleAt = s.now
		s.endpoints[i].StartedMs = s.now + s.clockAheadMs
		delta = append(delta, s.endpoints[i])
	}
	s.notifyAll(delta)
}

// notifyAll notifies all agents of changes of the endpoint list at once.
func (s *fleetSimulation) notifyAll(delta []balancer.Endpoint) {
	for _, agent := range s.agents {
		s.handle(agent, balancer.Event{
			Kind:       balancer.EventList,
			ListUpdate: balancer.ListDelta,
			Endpoints:  delta,
		})
	}
}

// disconnectWarm makes the servers unreachable that were not restarted, and the others reachable.
func (s *fleetSimulation) disconnectWarm() {
	for _, server := range s.servers {
		server.unreachable = server.startedAt == 0
	}
}

// drainWarm drains the servers that were not restarted, except the first few, and notifies all agents.
func (s *fleetSimulation) drainWarm(except int) {
	var delta []balancer.Endpoint
	warm := 0
	for i, server := range s.servers {
		if server.startedAt > 0 {
			continue
		}
		warm++
		if warm > except {
			s.endpoints[i].State = balancer.Draining
			delta = append(delta, s.endpoints[i])
		}
	}
	s.notifyAll(delta)
}

// hangServers makes servers not respond for some time.
func (s *fleetSimulation) hangServers(ms float64, indices ...int) {
	for _, i := range indices {
		s.servers[i].hangsUntil = s.now + ms
	}
}

// failServers makes servers respond with errors for some time.
func (s *fleetSimulation) failServers(ms float64, indices ...int) {
	for _, i := range indices {
		s.servers[i].failsUntil = s.now + ms
	}
}

// handle hands an agent's policy an event and carries out its actions.
func (s *fleetSimulation) handle(agent *simulatedAgent, ev balancer.Event) {
	s.carryOut(agent, agent.policy.Handle(s.now, &ev, nil))
}

// carryOut carries out the actions of an agent.
func (s *fleetSimulation) carryOut(agent *simulatedAgent, actions []balancer.Action) {
	for _, action := range actions {
		switch action.Kind {
		case balancer.ActionSetTimer:
			s.scheduleFor(agent, action.Ms, func() {
				s.handle(agent, balancer.Event{Kind: balancer.EventTimer, Token: action.Token})
			})
		case balancer.ActionForward:
			s.forward(agent, action)
		case balancer.ActionReject, balancer.ActionFail:
			delete(agent.attempts, action.Request)
		default: // has no effect in the simulation
		}
	}
}

// forward starts an attempt at its server.
func (s *fleetSimulation) forward(agent *simulatedAgent, action balancer.Action) {
	startedAt := s.now
	index := agent.attempts[action.Request]
	agent.attempts[action.Request]++
	agent.serversUsed[action.Server] = true
	server := s.servers[int(action.Server[2])<<8|int(action.Server[3])]
	server.receivedAt = append(server.receivedAt, s.now)
	status, tookMs := s.serve(server, action.Ms)
	s.scheduleFor(agent, tookMs, func() {
		if status == balancer.StatusOK {
			s.served++
			delete(agent.attempts, action.Request)
		}
		s.handle(agent, balancer.Event{
			Kind:        balancer.EventAttemptDone,
			Request:     action.Request,
			Attempt:     index,
			Server:      action.Server,
			Status:      status,
			LatencyMs:   s.now - startedAt,
			RequestDone: status == balancer.StatusOK,
		})
	})
}

// serve returns how an attempt at the server ends, and after how long.
func (s *fleetSimulation) serve(server *simulatedServer, timeoutMs float64) (balancer.Status, float64) {
	waitMs := max(server.idleAt-s.now, 0)
	switch {
	case server.unreachable:
		return balancer.StatusConnectFailed, 1
	case s.now < server.hangsUntil:
		return balancer.StatusTimeout, timeoutMs
	case s.now < server.failsUntil:
		return balancer.StatusError, 1
	case waitMs > simulatedMaxWaitMs:
		return balancer.StatusOverloaded, 1
	}
	workMs := s.workMs(server)
	server.idleAt = s.now + waitMs + workMs
	tookMs := waitMs + workMs + simulatedBaseMs
	if tookMs > timeoutMs {
		return balancer.StatusTimeout, timeoutMs
	}
	return balancer.StatusOK, tookMs
}

// workMs is how long the server works on one request at its present capacity.
func (s *fleetSimulation) workMs(server *simulatedServer) float64 {
	workMs := 1 / (server.requestsPerMs * s.capacityFraction(server, s.now))
	if server.startedAt == 0 {
		workMs /= server.cacheSpeedup
	}
	return workMs
}

// capacityFraction is the part of its capacity that a server has, by the contract.
func (s *fleetSimulation) capacityFraction(server *simulatedServer, at float64) float64 {
	contract := &s.settings.Contract
	age := at - server.startedAt
	if server.startedAt == 0 || age >= contract.SlowStartMs {
		return 1
	}
	return contract.SlowStartFrom + (1-contract.SlowStartFrom)*max(age, 0)/contract.SlowStartMs
}

// scheduleArrivals makes requests arrive from now on, at exponentially distributed intervals.
func (s *fleetSimulation) scheduleArrivals() {
	s.schedule(s.random.ExpFloat64()/s.requestsPerMs, func() {
		s.arrive(s.drawAgent())
		s.scheduleArrivals()
	})
}

// drawAgent draws the agent of a request, by the agents' shares.
func (s *fleetSimulation) drawAgent() *simulatedAgent {
	share := s.random.Float64()
	i := 0
	for s.cumulativeShares[i] < share {
		i++
	}
	return s.agents[i]
}

// arrive hands an agent a request.
func (s *fleetSimulation) arrive(agent *simulatedAgent) {
	agent.lastRequest++
	agent.attempts[agent.lastRequest] = 0
	key := s.drawKey()
	s.requests++
	s.handle(agent, balancer.Event{
		Kind:        balancer.EventRequest,
		Request:     agent.lastRequest,
		Class:       s.random.IntN(len(s.settings.Classes)),
		Key:         key | 1,
		RemainingMs: 1000,
	})
}

// drawKey draws the key of a request.
func (s *fleetSimulation) drawKey() uint64 {
	rank := math.Pow(float64(s.keyCount), s.random.Float64())
	if s.evenKeys {
		rank = float64(s.random.IntN(s.keyCount))
	}
	if s.random.Float64() < s.popularShare {
		return popularKey
	}
	return uint64(rank) * keyMultiplier
}

// schedule runs an event after ms.
func (s *fleetSimulation) schedule(ms float64, run func()) {
	s.sequence++
	heap.Push(&s.queue, scheduledEvent{at: s.now + ms, sequence: s.sequence, run: run})
}

// scheduleFor runs an event of the agent after ms, unless the agent is restarted before.
func (s *fleetSimulation) scheduleFor(agent *simulatedAgent, ms float64, run func()) {
	incarnation := agent.incarnation
	s.schedule(ms, func() {
		if agent.incarnation == incarnation {
			run()
		}
	})
}

// run lets ms pass.
func (s *fleetSimulation) run(ms float64) {
	end := s.now + ms
	for len(s.queue) > 0 && s.queue[0].at <= end {
		event := heap.Pop(&s.queue).(scheduledEvent)
		s.now = event.at
		event.run()
	}
	s.now = end
}
