package emulator

import (
	"iter"
	"slices"
	"time"

	"fernbeam.example/fernbeam/internal/endpoint"
)

// AllZones selects the servers of every zone.
const AllZones = -1

// ServerIDs returns the ids of the running servers of a zone, or of AllZones, in alphabetical order.
func (e *Emulator) ServerIDs(zone int) (ids []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, s := range e.servers {
		if zone == AllZones || s.zone == zone {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// findServer returns the running server with an id, or nil.
func (e *Emulator) findServer(id string) *server {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.servers[id]
}

// findServers yields those of some servers that are running, each looked up at its turn.
func (e *Emulator) findServers(ids []string) iter.Seq[*server] {
	return func(yield func(*server) bool) {
		for _, id := range ids {
			if s := e.findServer(id); s != nil && !yield(s) {
				return
			}
		}
	}
}

// directAddress returns the address of the server that a client calls without an agent.
func (e *Emulator) directAddress(clientIndex int) string {
	ids := e.ServerIDs(AllZones)
	return e.findServer(ids[clientIndex%len(ids)]).addresses[e.config.Agents[clientIndex].Zone]
}

// removeServer ends a server's process, and discovery lists that.
func (e *Emulator) removeServer(s *server) {
	if e.stopServer(s) {
		s.endpoint.State = endpoint.StateRemoved
		e.endpoints.publish(s)
	}
}

// stopServer ends a server's process and keeps its metrics; false: it does not run any more.
func (e *Emulator) stopServer(s *server) bool {
	if !e.unregister(s) {
		return false
	}
	s.stop()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stoppedServers = append(e.stoppedServers, s.metrics())
	return true
}

// unregister takes a server out of the running ones; false: it is not among them.
func (e *Emulator) unregister(s *server) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.servers[s.endpoint.ID] != s {
		return false
	}
	delete(e.servers, s.endpoint.ID)
	return true
}

// serverOverloaded ends a server that was overloaded in slow start. It stays down, and discovery does not list that.
func (e *Emulator) serverOverloaded(s *server, byNotified bool) {
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

// startSuccessor starts a server unless the emulator is closed.
func (e *Emulator) startSuccessor() {
	select {
	case <-e.closed:
		return
	default:
	}
	if _, err := e.addServer(e.Now()); err != nil {
		e.recordError(err)
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
		s.setPartitioned(true, agentZones)
	}
}

// HealServers ends a partition of servers from the agents of some zones.
func (e *Emulator) HealServers(agentZones []int, ids ...string) {
	for s := range e.findServers(ids) {
		s.setPartitioned(false, agentZones)
	}
}

// SetDiscoveryUnavailable makes discovery unavailable, or available again.
func (e *Emulator) SetDiscoveryUnavailable(unavailable bool) { e.endpoints.setUnavailable(unavailable) }

// TrafficChange multiplies the rate of the calls by RateFactor and gives a part HotKeyShare of them the most popular
// key. From and To count from the begin of the traffic.
type TrafficChange struct {
	From, To                time.Duration
	RateFactor, HotKeyShare float64
}

// SetTrafficChanges sets how the traffic changes. It has to be called before Run, so that the calls follow from the
// seed alone.
func (e *Emulator) SetTrafficChanges(changes ...TrafficChange) { e.trafficChanges = changes }

// trafficAt returns the factor of the rate, and the part of the calls with the most popular key, at a time of the
// traffic.
func (e *Emulator) trafficAt(at time.Duration) (rateFactor, hotKeyShare float64) {
	rateFactor = 1
	for _, change := range e.trafficChanges {
		if at >= change.From && at < change.To {
			rateFactor *= change.RateFactor
			hotKeyShare = max(hotKeyShare, change.HotKeyShare)
		}
	}
	return rateFactor, hotKeyShare
}

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
