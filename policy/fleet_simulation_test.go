package policy_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"

	"fernbeam.example/fernbeam/internal/balancer"
	"fernbeam.example/fernbeam/policy"
)

// fleetSimulation simulates a fleet of agents and their servers in virtual time. The load of a server is the
// sum of what all agents forward to it. Changes of the endpoint list reach all agents at the same time.
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
	cumulativeShares []float64 // cumulative shares of the agents in the requests
	requestsPerMs    float64   // arrival rate
	keyCount         int
	evenKeys         bool    // keys are equally popular; otherwise their shares decrease by rank
	popularShare     float64 // fraction of the requests that have popularKey
	requests         int
	served           int
	clockAheadMs     float64 // how far the clock of the endpoint list is ahead of the agents' clocks
}

// simulatedAgent is an agent, which may be restarted.
type simulatedAgent struct {
	policy      *policy.Balancer
	lastRequest balancer.RequestID
	incarnation int                        // events of earlier incarnations are dropped
	attempts    map[balancer.RequestID]int // number of attempts of each open request
	serversUsed map[balancer.Addr]bool     // servers that any incarnation has forwarded to
}

// newFleetSimulation starts agents and warm servers. load is the arrival rate of the requests as a fraction
// of the servers' capacity without caches.
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

// startAgent starts a new incarnation of an agent and ends the previous one.
func (s *fleetSimulation) startAgent(index int) {
	agent := s.agents[index]
	settings := s.settings
	settings.Index = index
	settings.Zone = index % 2
	b := newPolicy(s.t, settings, s.random.Uint64())
	agent.policy = b
	agent.incarnation++
	agent.attempts = map[balancer.RequestID]int{}
	s.apply(agent, b.Start(s.now, nil))
	s.handle(agent, balancer.Event{
		Kind:       balancer.EventList,
		ListUpdate: balancer.ListCached,
		Endpoints:  s.endpoints,
	})
}

// restartMostAgents restarts seven of ten agents at the same time.
func (s *fleetSimulation) restartMostAgents() {
	for i := range s.agents {
		if i%10 < 7 {
			s.startAgent(i)
		}
	}
}

// notifyAll notifies all agents of a change of the endpoint list.
func (s *fleetSimulation) notifyAll(delta []balancer.Endpoint) {
	for _, agent := range s.agents {
		s.handle(agent, balancer.Event{
			Kind:       balancer.EventList,
			ListUpdate: balancer.ListDelta,
			Endpoints:  delta,
		})
	}
}

// handle passes an event to an agent's policy and carries out the resulting actions.
func (s *fleetSimulation) handle(agent *simulatedAgent, ev balancer.Event) {
	s.apply(agent, agent.policy.Handle(s.now, &ev, nil))
}

// apply carries out the actions of an agent's policy.
func (s *fleetSimulation) apply(agent *simulatedAgent, actions []balancer.Action) {
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
		default: // other actions have no effect in the simulation
		}
	}
}

// forward simulates an attempt at the server of the action.
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

// schedule schedules run after ms.
func (s *fleetSimulation) schedule(ms float64, run func()) {
	s.sequence++
	heap.Push(&s.queue, scheduledEvent{at: s.now + ms, sequence: s.sequence, run: run})
}

// scheduleFor schedules run for the agent after ms, unless the agent is restarted before.
func (s *fleetSimulation) scheduleFor(agent *simulatedAgent, ms float64, run func()) {
	incarnation := agent.incarnation
	s.schedule(ms, func() {
		if agent.incarnation == incarnation {
			run()
		}
	})
}

// run runs the simulation for ms.
func (s *fleetSimulation) run(ms float64) {
	end := s.now + ms
	for len(s.queue) > 0 && s.queue[0].at <= end {
		event := heap.Pop(&s.queue).(scheduledEvent)
		s.now = event.at
		event.run()
	}
	s.now = end
}
