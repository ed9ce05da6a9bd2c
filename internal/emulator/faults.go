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
	go func() { // the handler that found the overload goes on meanwhile
		defer e.background.Done()
		e.stopServer(s)
	}()
}

// recordOverload notes the overload of a running server and adds the removal to the background group; false: the
// server is not running any more. Both happen under mu, as Close takes out all servers before it waits for the group.
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

// ReplaceServers drains servers, ends them after a time, and starts a successor with another id for each at once.
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

// KillServers ends servers at once and starts successors after a time; discovery lists both.
func (e *Emulator) KillServers(restartAfter time.Duration, ids ...string) {
	for s := range e.findServers(ids) {
		e.removeServer(s)
		time.AfterFunc(restartAfter, e.startSuccessor)
	}
}

// ServerFault makes a server slower by a factor of at least 1 (infinite: it computes nothing) and lets a fraction of
// its requests fail at once.
type ServerFault struct{ SlowFactor, FailureRate float64 }

// noServerFault is that of a server without a fault.
var noServerFault = ServerFault{SlowFactor: 1}

// SetServerFault begins a fault of servers.
func (e *Emulator) SetServerFault(fault ServerFault, ids ...string) {
	for s := range e.findServers(ids) {
		s.machine.setFault(fault)
	}
}

// EndServerFault ends the fault of servers.
func (e *Emulator) EndServerFault(ids ...string) { e.SetServerFault(noServerFault, ids...) }

// PartitionServers partitions servers from the agents of some zones.
func (e *Emulator) PartitionServers(agentZones []int, ids ...string) {
	for s := range e.findServers(ids) {
		for _, zone := range agentZones {
			s.listeners[zone].beginPartition()
		}
	}
}

// HealServers ends a partition of servers from the agents of some zones.
func (e *Emulator) HealServers(agentZones []int, ids ...string) {
	for s := range e.findServers(ids) {
		for _, zone := range agentZones {
			s.listeners[zone].endPartition()
		}
	}
}

// SetDiscoveryUnavailable makes discovery unavailable, or available again.
func (e *Emulator) SetDiscoveryUnavailable(unavailable bool) { e.endpoints.setUnavailable(unavailable) }

// AgentStopped notes that the experiment has ended an agent's process: its open requests are not lost by a fault of
// the agent.
func (e *Emulator) AgentStopped(name string) {
	e.mu.Lock()
	e.stoppedAgents[name] = true
	e.mu.Unlock()
	e.clients.markAgentStopped(name)
}

// AgentStarted notes that the experiment has started an agent's process.
func (e *Emulator) AgentStarted(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.stoppedAgents, name)
}

// isAgentStopped tells whether the experiment has ended the agent's process.
func (e *Emulator) isAgentStopped(agent string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stoppedAgents[agent]
}
