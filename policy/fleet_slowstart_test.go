package policy_test

import (
	"fmt"
	"math"
	"testing"
)

// maxReceived returns the maximum number of attempts that a server in slow start may receive in a window with
// a budget of n attempts, with a margin for chance. The operators' terms have a margin of 3 sqrt(n) + 3 for n
// under 30; this one is smaller and holds for all n.
func maxReceived(n float64) float64 { return n + 2*math.Sqrt(n) + 2 }

// overload describes the window in which a server in slow start received the most attempts relative to its
// budget.
type overload struct {
	server       int
	received     float64
	budget       float64
	sinceStartMs float64
}

// ratio returns the attempts received as a multiple of the maximum.
func (o overload) ratio() float64 { return o.received / maxReceived(o.budget) }

// String returns a description of the window for error messages.
func (o overload) String() string {
	return fmt.Sprintf("server %d received %.0f attempts with a budget of %.1f, %.1f s after its start",
		o.server, o.received, o.budget, o.sinceStartMs/1000)
}

// worstOverload returns the worst overload of all servers that were in slow start, or the zero value if there
// was none.
func (s *fleetSimulation) worstOverload() overload {
	var worst overload
	for i, server := range s.servers {
		if server.startedAt == 0 {
			continue
		}
		if o := s.worstOverloadOf(i, server); o.ratio() > worst.ratio() {
			worst = o
		}
	}
	return worst
}

// worstOverloadOf returns the worst overload of one server. The budget of a window is determined by the
// capacity at its first attempt, because the capacity only grows.
func (s *fleetSimulation) worstOverloadOf(index int, server *simulatedServer) overload {
	contract := &s.settings.Contract
	warmBudget := contract.OverloadMultiple * server.requestsPerMs * contract.OverloadWindowMs
	var worst overload
	first := 0
	for last, at := range server.receivedAt {
		for at-server.receivedAt[first] > contract.OverloadWindowMs {
			first++
		}
		budget := contract.OverloadMultiple * server.requestsPerMs *
			s.capacityFraction(server, server.receivedAt[first]) * contract.OverloadWindowMs
		if budget >= warmBudget {
			continue
		}
		o := overload{
			server:       index,
			received:     float64(last - first + 1),
			budget:       budget,
			sinceStartMs: server.receivedAt[first] - server.startedAt,
		}
		if o.ratio() > worst.ratio() {
			worst = o
		}
	}
	return worst
}

// checkSlowStart checks that no server in slow start received more attempts than the maximum.
func (s *fleetSimulation) checkSlowStart(t *testing.T) {
	t.Helper()
	if worst := s.worstOverload(); worst.ratio() > 1 || s.served == 0 {
		t.Errorf("%.2f times the allowed attempts: %v; %d of %d requests served",
			worst.ratio(), worst, s.served, s.requests)
	}
}

// everyFifthServer returns the indices of every fifth server.
func everyFifthServer(s *fleetSimulation) (indices []int) {
	for i := 0; i < len(s.servers); i += 5 {
		indices = append(indices, i)
	}
	return indices
}

// allServers returns the indices of all servers.
func allServers(s *fleetSimulation) (indices []int) {
	for i := range s.servers {
		indices = append(indices, i)
	}
	return indices
}

// slowStartCase is a sequence of events in a fleet simulation, after 5 s without faults.
type slowStartCase struct {
	name string
	load float64 // fraction of the warm servers' capacity, as in newFleetSimulation
	run  func(s *fleetSimulation)
}

// slowStartCases are the cases of TestSlowStartBoundsTheTotalOfAllAgents.
var slowStartCases = []slowStartCase{
	{"a fifth replaced", 0.7, func(s *fleetSimulation) {
		s.restartServers(everyFifthServer(s)...)
		s.run(20000)
	}},
	{"agents restarted", 0.7, func(s *fleetSimulation) {
		s.restartServers(everyFifthServer(s)...)
		s.run(1000)
		s.restartMostAgents()
		s.run(20000)
	}},
	{"uneven agents", 0.7, func(s *fleetSimulation) {
		s.setShares(func(i int) float64 { return 1 / float64(i+1) })
		s.run(3000)
		s.restartServers(everyFifthServer(s)...)
		s.run(20000)
	}},
	{"all in slow start", 0.7, func(s *fleetSimulation) {
		s.restartServers(allServers(s)...)
		s.run(24000)
	}},
	{"burst", 0.7, func(s *fleetSimulation) {
		s.restartServers(everyFifthServer(s)...)
		s.run(4000)
		s.requestsPerMs *= 2.5
		s.run(8000)
	}},
	{"half of warm servers unreachable", 0.7, func(s *fleetSimulation) {
		s.restartServers(everyFifthServer(s)...)
		s.run(4000)
		for i, server := range s.servers {
			server.unreachable = i%2 == 0 && server.startedAt == 0
		}
		s.run(8000)
	}},
	{"all warm servers unreachable", 0.7, func(s *fleetSimulation) {
		s.restartServers(everyFifthServer(s)...)
		s.run(4000)
		s.disconnectWarmServers()
		s.run(8000)
	}},
	{"half replaced in steps", 0.8, func(s *fleetSimulation) {
		for k := range 5 {
			var indices []int
			for i := range s.servers {
				if i%10 == k {
					indices = append(indices, i)
				}
			}
			s.restartServers(indices...)
			s.run(3000)
		}
		s.run(9000)
	}},
	{"surge", 0.2, func(s *fleetSimulation) {
		s.restartServers(everyFifthServer(s)...)
		s.run(4000)
		s.requestsPerMs *= 10
		s.run(6000)
	}},
	{"surge, most agents restarted", 0.2, func(s *fleetSimulation) {
		s.restartMostAgents()
		s.restartServers(everyFifthServer(s)...)
		s.run(2000)
		s.requestsPerMs *= 10
		s.run(6000)
	}},
	{"one warm server left", 0.7, func(s *fleetSimulation) {
		s.restartServers(allServers(s)[1:]...)
		s.run(24000)
	}},
	{"popular key", 0.7, func(s *fleetSimulation) {
		s.restartServers(everyFifthServer(s)...)
		s.run(4000)
		s.popularShare = 0.25
		s.run(8000)
	}},
	{"overload", 1.8, func(s *fleetSimulation) {
		s.restartServers(everyFifthServer(s)...)
		s.run(20000)
	}},
	{"all in slow start, agents restarted", 0.7, func(s *fleetSimulation) {
		s.restartServers(allServers(s)...)
		s.run(1000)
		s.restartMostAgents()
		s.run(20000)
	}},
	{"all in slow start, uneven agents", 0.7, func(s *fleetSimulation) {
		s.setShares(func(i int) float64 { return 1 / float64(i+1) })
		s.run(3000)
		s.restartServers(allServers(s)...)
		s.run(24000)
	}},
	{"overload, then all in slow start", 2.2, func(s *fleetSimulation) {
		s.restartServers(allServers(s)...)
		s.run(24000)
	}},
	{"overload, one in slow start", 2.2, func(s *fleetSimulation) {
		s.restartServers(0)
		s.run(24000)
	}},
	{"overload, one warm server left", 1.8, func(s *fleetSimulation) {
		s.restartServers(allServers(s)[1:]...)
		s.run(24000)
	}},
	{"early surge", 0.05, func(s *fleetSimulation) {
		s.restartServers(everyFifthServer(s)...)
		s.run(400)
		s.requestsPerMs *= 40
		s.run(6000)
	}},
	{"agents restarted repeatedly", 0.7, func(s *fleetSimulation) {
		s.restartServers(everyFifthServer(s)...)
		for range 10 {
			s.run(500)
			s.restartMostAgents()
		}
		s.run(10000)
	}},
	{"all in slow start and failing", 0.7, func(s *fleetSimulation) {
		s.restartServers(allServers(s)...)
		s.run(500)
		s.failServers(6000, allServers(s)...)
		s.run(10000)
	}},
	{"all warm servers unreachable, others failing", 0.7, func(s *fleetSimulation) {
		s.restartServers(everyFifthServer(s)...)
		s.run(500)
		s.disconnectWarmServers()
		s.failServers(6000, everyFifthServer(s)...)
		s.run(10000)
	}},
	{"all unresponsive, a fifth in slow start", 0.7, func(s *fleetSimulation) {
		s.restartServers(everyFifthServer(s)...)
		s.run(500)
		s.hangServers(2500, allServers(s)...)
		s.run(10000)
	}},
	{"clock of the list an hour ahead", 0.7, func(s *fleetSimulation) {
		s.clockAheadMs = 3600e3
		s.restartServers(everyFifthServer(s)...)
		s.run(3000)
		s.restartMostAgents()
		s.run(18000)
	}},
}

// In any overload window a server in slow start receives no more attempts from all agents together than its
// budget and a margin for chance, regardless of the number of agents, of simultaneous faults and of the
// distribution of the requests. The doc comment of slowStart.grantCredits derives the budget.
func TestSlowStartBoundsTheTotalOfAllAgents(t *testing.T) {
	t.Parallel()
	fleets := []struct{ agents, servers int }{
		{1, 12}, {3, 12}, {30, 12}, {300, 30},
		{1500, 15}, // a hundred agents per server
		{2, 1}, {2, 3}, {2, 12}, {12, 1}, {12, 3}, {12, 12}, {40, 1}, {40, 12}, {100, 12},
	}
	for _, c := range slowStartCases {
		for _, fleet := range fleets {
			name := fmt.Sprintf("%s, %d agents, %d servers", c.name, fleet.agents, fleet.servers)
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				s := newFleetSimulation(t, fleet.agents, fleet.servers, c.load)
				s.scheduleArrivals()
				s.run(5000)
				c.run(s)
				s.checkSlowStart(t)
			})
		}
	}
}

// Late responses of draining servers do not raise the credit of a server in slow start above its budget.
func TestSlowStartBoundsTheCreditFromDrainingServers(t *testing.T) {
	t.Parallel()
	for _, fleet := range []struct{ agents, servers int }{{12, 12}, {40, 120}, {100, 120}} {
		t.Run(fmt.Sprintf("%d agents, %d servers", fleet.agents, fleet.servers), func(t *testing.T) {
			t.Parallel()
			s := newFleetSimulation(t, fleet.agents, fleet.servers, 1.8)
			s.scheduleArrivals()
			s.run(5000)
			s.restartServers(everyFifthServer(s)...)
			s.run(300)
			s.drainWarmServers(1)
			s.run(4000)
			s.checkSlowStart(t)
		})
	}
}

// After the last warm server starts to drain, credit accrues with time. It does not accrue for the time
// before that, because then the responses of warm servers added to the credit. The rate is that of the
// warm servers, measured over a long time.
func TestSlowStartBoundsTheCreditAfterTheLossOfAllWarmServers(t *testing.T) {
	t.Parallel()
	for _, agents := range []int{12, 300} {
		t.Run(fmt.Sprintf("%d agents", agents), func(t *testing.T) {
			t.Parallel()
			s := newFleetSimulation(t, agents, 12, 0.9)
			s.scheduleArrivals()
			s.run(45000)
			s.restartServers(everyFifthServer(s)...)
			s.run(8000)
			s.drainWarmServers(0)
			s.run(8000)
			s.checkSlowStart(t)
		})
	}
}
