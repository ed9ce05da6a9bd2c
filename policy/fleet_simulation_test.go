package policy_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"

	"fernbeam.example/fernbeam/internal/balancer"
	"fernbeam.example/fernbeam/policy"
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

// startAgent starts an incarnation of an agent, and ends the one before.
func (s *fleetSimulation) startAgent(index int) {
	agent := s.agents[index]
	settings := s.settings
	settings.Index = index
	settings.Zone = index % 2
	b := newPolicy(s.t, settings, s.random.Uint64())
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
		s.handle(agent, attemptDone(action.Request, index, action.Server, status, s.now-startedAt))
	})
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
