package policy_test

import (
	"math"
)

const (
	// keyMultiplier distributes the ranks of keys over 64 bits.
	keyMultiplier = 0x9e3779b97f4a7c15
	// popularKey is the key of a fraction popularShare of the requests.
	popularKey = 77
)

// setShares distributes the requests over the agents in proportion to their weights.
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

// scheduleArrivals starts the arrival of requests at exponentially distributed intervals.
func (s *fleetSimulation) scheduleArrivals() {
	s.schedule(s.random.ExpFloat64()/s.requestsPerMs, func() {
		s.arrive(s.drawAgent())
		s.scheduleArrivals()
	})
}

// drawAgent draws the agent of a request according to the agents' shares.
func (s *fleetSimulation) drawAgent() *simulatedAgent {
	share := s.random.Float64()
	i := 0
	for s.cumulativeShares[i] < share {
		i++
	}
	return s.agents[i]
}

// arrive passes a new request to an agent.
func (s *fleetSimulation) arrive(agent *simulatedAgent) {
	agent.lastRequest++
	agent.attempts[agent.lastRequest] = 0
	key := s.drawKey()
	s.requests++
	class := s.random.IntN(len(s.settings.Classes))
	s.handle(agent, arrival(agent.lastRequest, class, key|1, 1000))
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
