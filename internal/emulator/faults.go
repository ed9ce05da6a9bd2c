package emulator

import (
	"time"

	"fernbeam.example/fernbeam/internal/endpoint"
)

// failOverloadedServer stops a server that was overloaded in slow start. The server stays down, and discovery keeps
// listing it.
func (e *Emulator) failOverloadedServer(s *server, byNotified bool) {
	if !e.recordOverload(s, byNotified) {
		return
	}
	go func() { // stopping the server must not block the handler that detected the overload
		defer e.background.Done()
		e.stopServer(s)
	}()
}

// recordOverload records the overload of a running server and adds the server's removal to the background group. It
// returns false if the server is no longer running. It holds e.mu for the check and the addition, because Close
// unregisters all servers before it waits for the group.
func (e *Emulator) recordOverload(s *server, byNotified bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.servers[s.endpoint.ID] != s {
		return false
	}
	e.overloads = append(e.overloads, SlowStartOverload{s.endpoint.ID, e.Now(), byNotified})
	e.background.Add(1)
	return true
}

// ReplaceServers starts draining the servers, stops them after the given time, and immediately starts a successor with
// another ID for each.
func (e *Emulator) ReplaceServers(drain time.Duration, ids ...string) error {
	for s := range e.findServers(ids) {
		if _, err := e.addServer(e.Now()); err != nil {
			return err
		}
		s.draining.Store(true)
		s.endpoint.State = endpoint.StateDraining
		e.endpoints.publish(s)
		time.AfterFunc(drain, func() { e.removeServer(s) })
	}
	return nil
}

// KillServers stops servers without a drain and starts their successors after the given time. Discovery lists the
// removals and the successors.
func (e *Emulator) KillServers(restartAfter time.Duration, ids ...string) {
	for s := range e.findServers(ids) {
		e.removeServer(s)
		time.AfterFunc(restartAfter, e.startSuccessor)
	}
}

// ServerFault slows a server down by SlowFactor, which is at least 1, and makes the fraction FailureRate of its
// requests fail immediately. With an infinite SlowFactor, the server makes no progress at all.
type ServerFault struct{ SlowFactor, FailureRate float64 }

// noServerFault describes a server without a fault.
var noServerFault = ServerFault{SlowFactor: 1}

// SetServerFault injects a fault into servers in place of any earlier one.
func (e *Emulator) SetServerFault(fault ServerFault, ids ...string) {
	for s := range e.findServers(ids) {
		s.machine.setFault(fault)
	}
}

// EndServerFault removes the fault from servers.
func (e *Emulator) EndServerFault(ids ...string) { e.SetServerFault(noServerFault, ids...) }

// PartitionServers starts a network partition between servers and the agents of some zones.
func (e *Emulator) PartitionServers(agentZones []int, ids ...string) {
	for s := range e.findServers(ids) {
		for _, zone := range agentZones {
			s.listeners[zone].beginPartition()
		}
	}
}

// HealServers ends the network partition between servers and the agents of some zones.
func (e *Emulator) HealServers(agentZones []int, ids ...string) {
	for s := range e.findServers(ids) {
		for _, zone := range agentZones {
			s.listeners[zone].endPartition()
		}
	}
}

// SetDiscoveryUnavailable makes discovery unavailable or available again.
func (e *Emulator) SetDiscoveryUnavailable(unavailable bool) { e.endpoints.setUnavailable(unavailable) }

// AgentStopped records that the experiment has stopped an agent's process, so that the loss of its open requests is not
// counted as a violation.
func (e *Emulator) AgentStopped(name string) {
	e.mu.Lock()
	e.stoppedAgents[name] = true
	e.mu.Unlock()
	e.clients.markAgentStopped(name)
}

// AgentStarted records that the experiment has started an agent's process.
func (e *Emulator) AgentStarted(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.stoppedAgents, name)
}

// isAgentStopped reports whether the experiment has stopped an agent's process.
func (e *Emulator) isAgentStopped(agent string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stoppedAgents[agent]
}
