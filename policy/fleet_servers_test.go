package policy_test

import (
	"fernbeam.example/fernbeam/internal/balancer"
)

const (
	// simulatedRequestsPerMs is the capacity of a warm server, in requests of mean work.
	simulatedRequestsPerMs = 0.03
	// simulatedCacheSpeedup is the speedup of a warm server for cached keys.
	simulatedCacheSpeedup = 1.6
	// simulatedMaxWaitMs is the queue wait above which a server rejects attempts.
	simulatedMaxWaitMs = 500
	// simulatedBaseMs is the part of a response time that is neither queueing nor processing.
	simulatedBaseMs = 60
)

// simulatedServer is a server with a single queue, which it serves at its present capacity.
type simulatedServer struct {
	startedAt     float64 // 0: long ago
	requestsPerMs float64 // capacity when warm, in requests of mean work
	cacheSpeedup  float64 // speedup for cached keys when warm
	idleAt        float64 // when its queue becomes empty
	unreachable   bool
	hangsUntil    float64   // does not respond until then
	failsUntil    float64   // responds with errors until then
	receivedAt    []float64 // times of the attempts received since its start
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

// restartServers restarts the servers and notifies all agents.
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

// disconnectWarmServers makes the servers that were not restarted unreachable, and the others reachable.
func (s *fleetSimulation) disconnectWarmServers() {
	for _, server := range s.servers {
		server.unreachable = server.startedAt == 0
	}
}

// drainWarmServers drains the servers that were not restarted, except for the given number of them, and
// notifies all agents.
func (s *fleetSimulation) drainWarmServers(except int) {
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

// hangServers makes the servers stop responding for the given time.
func (s *fleetSimulation) hangServers(ms float64, indices ...int) {
	for _, i := range indices {
		s.servers[i].hangsUntil = s.now + ms
	}
}

// failServers makes the servers respond with errors for the given time.
func (s *fleetSimulation) failServers(ms float64, indices ...int) {
	for _, i := range indices {
		s.servers[i].failsUntil = s.now + ms
	}
}

// serve returns the status with which an attempt at the server ends, and its duration in milliseconds.
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

// workMs returns the time in which the server processes one request at its present capacity.
func (s *fleetSimulation) workMs(server *simulatedServer) float64 {
	workMs := 1 / (server.requestsPerMs * s.capacityFraction(server, s.now))
	if server.startedAt == 0 {
		workMs /= server.cacheSpeedup
	}
	return workMs
}

// capacityFraction returns the part of its warm capacity that a server has according to the contract.
func (s *fleetSimulation) capacityFraction(server *simulatedServer, at float64) float64 {
	contract := &s.settings.Contract
	age := at - server.startedAt
	if server.startedAt == 0 || age >= contract.SlowStartMs {
		return 1
	}
	return contract.SlowStartFrom + (1-contract.SlowStartFrom)*max(age, 0)/contract.SlowStartMs
}
