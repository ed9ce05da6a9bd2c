package emulator

import (
	"fmt"
	"iter"
	"math/rand/v2"
	"slices"
	"time"

	"fernbeam.example/fernbeam/internal/endpoint"
)

// serverStream is the random number stream for the model of the first server. The streams of the other servers follow
// it.
const serverStream = 1000

// longAgo is the start time of a server that was started before the emulation and has no slow start.
const longAgo time.Duration = -1

// AllZones selects the servers of all zones.
const AllZones = -1

// ServerIDs returns the sorted IDs of the running servers in a zone, or in AllZones.
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

// findServer returns the running server with the given ID, or nil.
func (e *Emulator) findServer(id string) *server {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.servers[id]
}

// findServers yields the running servers among the given IDs. It looks up each ID only when the iteration reaches it.
func (e *Emulator) findServers(ids []string) iter.Seq[*server] {
	return func(yield func(*server) bool) {
		for _, id := range ids {
			if s := e.findServer(id); s != nil && !yield(s) {
				return
			}
		}
	}
}

// directAddress returns the address of the server that a client calls if Config.Direct is set.
func (e *Emulator) directAddress(clientIndex int) string {
	ids := e.ServerIDs(AllZones)
	return e.findServer(ids[clientIndex%len(ids)]).addresses[e.config.Agents[clientIndex].Zone]
}

// addServer starts another server and adds it to the endpoint list. The change reaches the agents after a delay, or
// without one if the server was started long ago.
func (e *Emulator) addServer(started time.Duration) (*server, error) {
	e.mu.Lock()
	index := e.serversCreated
	e.serversCreated++
	e.mu.Unlock()

	position := index % e.config.Servers // successors have the model, zone and cell of a configured server
	random := rand.New(rand.NewPCG(e.config.Seed, serverStream+uint64(position)))
	model := e.config.Models[pickShare(random.Float64(), e.config.ModelShares)]
	zone := position % len(e.config.Zones)
	var addresses []string
	for clientZone := range e.config.Zones {
		addresses = append(addresses, e.serverAddress(index, clientZone))
	}
	entry := endpoint.Endpoint{
		ID:     serverID(index),
		Zone:   e.config.Zones[zone],
		Kind:   model.Kind,
		Cell:   position / e.config.CellSize,
		State:  endpoint.StateUp,
		Weight: 1,
	}
	if started != longAgo {
		entry.StartedMs = float64(e.startTime.Add(started).UnixMilli())
	}
	s, err := newServer(e, serverConfig{
		endpoint:  entry,
		zone:      zone,
		model:     model,
		started:   started,
		addresses: addresses,
		seed:      e.config.Seed + uint64(index),
	})
	if err != nil {
		return nil, fmt.Errorf("emulator: server %d: %w", index, err)
	}
	e.mu.Lock()
	e.servers[entry.ID] = s
	e.mu.Unlock()
	if started == longAgo {
		e.endpoints.publishInitial(s)
	} else {
		e.endpoints.publish(s)
	}
	return s, nil
}

const (
	// serverIDFactor spreads the IDs of servers by multiplicative hashing. It is 2^32 divided by the golden ratio.
	serverIDFactor = 2_654_435_761
	// serverIDMask selects the bits that form an ID.
	serverIDMask = 0xffff
)

// serverID returns the ID of the server with the given index. The IDs of successive servers look unrelated.
func serverID(index int) string { return fmt.Sprintf("s-%04x", (index*serverIDFactor)&serverIDMask) }

// startSuccessor starts another server unless the emulator is closed.
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

// removeServer stops a server and publishes its removal. It does nothing if the server is already stopped.
func (e *Emulator) removeServer(s *server) {
	if e.stopServer(s) {
		s.endpoint.State = endpoint.StateRemoved
		e.endpoints.publish(s)
	}
}

// stopServer stops a server and keeps its metrics. It returns false if the server is not running.
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

// unregister removes a server from the running ones. It returns false if the server is not running.
func (e *Emulator) unregister(s *server) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.servers[s.endpoint.ID] != s {
		return false
	}
	delete(e.servers, s.endpoint.ID)
	return true
}
