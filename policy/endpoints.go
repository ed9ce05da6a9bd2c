package policy

import (
	"cmp"
	"slices"

	"fernbeam.example/fernbeam/internal/balancer"
)

const (
	// initialLimit is the minimum initial concurrency limit of a new server, in attempts.
	initialLimit = 2
	// initialFleetLimit is the number of attempts that all agents together may have in flight at a new
	// server. It is larger than the number of cores because some of the requests wait for others.
	initialFleetLimit = 8
)

// endpointList holds the servers of the endpoint list and frequently used subsets of them.
type endpointList struct {
	env       *environment
	servers   []*server // ordered by address
	byAddress map[balancer.Addr]*server
	busy      []*server // listed servers with attempts in flight, ordered by address
	// epoch counts the updates of the list and the health changes to or from an unhealthy state.
	epoch          uint64
	unhealthy      []*server // cached result of unhealthyServers, as of unhealthyEpoch
	unhealthyEpoch uint64
}

// initialServerLimit returns the initial concurrency limit of a new server.
func initialServerLimit(settings *balancer.Settings) float64 {
	return float64(max(initialLimit, initialFleetLimit/max(settings.FleetSize, 1)))
}

// newEndpointList returns an empty list.
func newEndpointList(env *environment) *endpointList {
	return &endpointList{env: env, byAddress: map[balancer.Addr]*server{}}
}

// update applies one entry of the endpoint list and returns its server and whether it was added. A
// different start time means a new process, whether the time is later or earlier: the wall clock that
// provides the start times may be set back. A start time of 0 means that it is unknown.
func (l *endpointList) update(e *balancer.Endpoint) (s *server, added bool) {
	s = l.byAddress[e.Server]
	startedAt := balancer.FiniteOrZero(e.StartedMs)
	switch {
	case s == nil:
		s = l.insert(e.Server, startedAt)
		added = true
	case startedAt != s.listedStart && startedAt > 0:
		l.restart(s, startedAt)
	}
	s.zone = e.Zone
	s.cell = e.Cell
	s.ready = e.State == balancer.Ready
	s.weight = cmp.Or(max(balancer.FiniteOrZero(e.Weight), 0), 1)
	return s, added
}

// insert adds a server that was not in the list before.
func (l *endpointList) insert(address balancer.Addr, startedAt float64) *server {
	s := &server{
		address:         address,
		hash:            splitmix64(address.Uint64()),
		health:          balancer.Unknown,
		healthSince:     l.env.now,
		startedAt:       min(startedAt, l.env.now),
		listedStart:     startedAt,
		slowStartCredit: l.env.random.Float64(),
		limit:           initialServerLimit(&l.env.settings),
	}
	l.byAddress[address] = s
	i, _ := slices.BinarySearchFunc(l.servers, s, compareAddress)
	l.servers = slices.Insert(l.servers, i, s)
	return s
}

// restart resets the state of a server that runs as a new process, which begins its slow start. A process
// cannot have started before its predecessor, so if the listed start time says so, the clock was set back
// and the process is taken to have started now. The lag of that clock is added to later start times.
func (l *endpointList) restart(s *server, startedAt float64) {
	s.startedAt = min(startedAt+s.clockLagMs, l.env.now)
	if startedAt < s.listedStart {
		s.startedAt = l.env.now
	}
	s.clockLagMs = max(s.startedAt-startedAt, 0)
	s.listedStart = startedAt
	s.restartAssumed = false
	s.health = balancer.Unknown
	s.healthSince = l.env.now
	s.unresponsive = false
	s.ejectionLevel = 0
	s.successes = 0
	s.resetLatency()
	s.baseline = 0
	s.limit = 1
	// The credit starts with a random part of one attempt. In a large fleet, where the credit of an agent
	// may never grow to a whole attempt, the number of agents that send one then matches the sum of their
	// credits.
	s.slowStartCredit = l.env.random.Float64()
}

// retainListed marks servers that are missing from a full list as not ready.
func (l *endpointList) retainListed(endpoints []balancer.Endpoint) {
	listed := map[balancer.Addr]bool{}
	for i := range endpoints {
		listed[endpoints[i].Server] = true
	}
	for _, s := range l.servers {
		s.ready = s.ready && listed[s.address]
	}
}

// removeUnused removes the servers that are not ready and have no attempt or health check in flight.
func (l *endpointList) removeUnused() {
	l.servers = slices.DeleteFunc(l.servers, func(s *server) bool {
		unused := !s.ready && len(s.inFlight) == 0 && !s.checking
		if unused {
			delete(l.byAddress, s.address)
		}
		return unused
	})
}

// unhealthyServers returns the listed servers that are ejected or wait for a health check, ordered by
// address. The slice is valid until the next call.
func (l *endpointList) unhealthyServers() []*server {
	if l.unhealthyEpoch == l.epoch {
		return l.unhealthy
	}
	l.unhealthy = l.unhealthy[:0]
	l.unhealthyEpoch = l.epoch
	for _, s := range l.servers {
		if s.health >= balancer.UnhealthyPending {
			l.unhealthy = append(l.unhealthy, s)
		}
	}
	return l.unhealthy
}

// setHealth sets a server's health state and the time of the change.
func (l *endpointList) setHealth(s *server, state balancer.HealthState) {
	if s.health > balancer.Unknown || state > balancer.Unknown {
		l.epoch++
	}
	s.health = state
	s.healthSince = l.env.now
}

// addInFlight adds an attempt to those in flight at its server. A server that was removed from the list
// after the request was forwarded is not added to the busy servers.
func (l *endpointList) addInFlight(a *attempt) {
	s := a.server
	if len(s.inFlight) == 0 && l.byAddress[s.address] == s {
		i, _ := slices.BinarySearchFunc(l.busy, s, compareAddress)
		l.busy = slices.Insert(l.busy, i, s)
	}
	s.inFlight = append(s.inFlight, a)
}

// removeInFlight removes an ended attempt from those in flight at its server.
func (l *endpointList) removeInFlight(a *attempt) {
	a.server.removeAttempt(a)
	if a.fullySent && len(a.server.inFlight) == 0 {
		l.busy = slices.DeleteFunc(l.busy, func(s *server) bool { return s == a.server })
	}
}

// unresponsiveInFlight returns the number of attempts in flight at unhealthy servers that do not respond.
func (l *endpointList) unresponsiveInFlight() int {
	count := 0
	for _, s := range l.busy {
		if s.health >= balancer.UnhealthyPending && s.unresponsive {
			count += len(s.inFlight)
		}
	}
	return count
}
