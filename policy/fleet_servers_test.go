package policy_test

import (
	"fernbeam.example/fernbeam/internal/balancer"
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
)

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

// addServer adds a warm server.
func (s *fleetSimulation) addServer(index int) {
	s.servers = append(s.servers, &simulatedServer{
		requestsPerMs: simulatedRequestsPerMs,
		cacheSpeedup:  simulatedCacheSpeedup,
	})
	endpoint := readyEndpoint(index)
	endpoint.Cell = index / 8
	endpoint.Zone = index % 2
	s.endpoints = append(s.endpoints, endpoint)
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
