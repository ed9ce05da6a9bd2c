package policy

import (
	"cmp"
	"slices"

	"fernbeam.example/fernbeam/internal/balancer"
)

const (
	// initialLimit is the least concurrency limit of a new server, in attempts.
	initialLimit = 2
	// initialFleetLimit is the number of attempts that all agents together may have in flight at a new
	// server: more than its cores, as some requests wait for others.
	initialFleetLimit = 8
)

// endpointList holds the servers that discovery lists, and the sets of them that are needed often.
type endpointList struct {
	env       *environment
	servers   []*server // by address
	byAddress map[balancer.Addr]*server
	busy      []*server // the listed ones with attempts in flight, by address
	// epoch counts the changes of the list and of the servers' health tiers.
	epoch          uint64
	unhealthy      []*server // result of unhealthyServers, as of unhealthyEpoch
	unhealthyEpoch uint64
}

// newEndpointList returns an empty list.
func newEndpointList(env *environment) *endpointList {
	return &endpointList{env: env, byAddress: map[balancer.Addr]*server{}}
}

// update takes over one entry of the endpoint list and returns its server, and whether it is new.
// Another start time means another process, whether it is later or earlier: the wall clock by which
// starts are listed may be set back. A start time of 0 means that it is not known.
func (l *endpointList) update(e *balancer.Endpoint) (s *server, added bool) {
	s = l.byAddress[e.Server]
	startedAt := balancer.Finite(e.StartedMs)
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
	s.weight = cmp.Or(max(balancer.Finite(e.Weight), 0), 1)
	return s, added
}

// insert adds a server that was not listed so far.
func (l *endpointList) insert(address balancer.Addr, startedAt float64) *server {
	s := &server{
		address:         address,
		hash:            splitmix64(address.Uint64()),
		health:          balancer.Unknown,
		healthSince:     l.env.now,
		startedAt:       min(startedAt, l.env.now),
		listedStart:     startedAt,
		slowStartCredit: l.env.random.Float64(),
		limit:           float64(max(initialLimit, initialFleetLimit/max(l.env.settings.FleetSize, 1))),
	}
	l.byAddress[address] = s
	i, _ := slices.BinarySearchFunc(l.servers, s, compareAddress)
	l.servers = slices.Insert(l.servers, i, s)
	return s
}

// restart begins anew with a server that is another process, in slow start: nothing that is known of
// the old process holds. No process starts before the one that it follows, so where the list says
// that, the clock was set back and the process started at some time up to now. Later starts by that
// clock are as far behind.
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
	s.forgetLatency()
	s.baseline = 0
	s.limit = 1
	// A random part of one attempt: of many agents whose credits never grow to a complete one, as many
	// send one as their credits add up to.
	s.slowStartCredit = l.env.random.Float64()
}

// retainListed marks the servers as not ready that a complete list does not name.
func (l *endpointList) retainListed(endpoints []balancer.Endpoint) {
	listed := map[balancer.Addr]bool{}
	for i := range endpoints {
		listed[endpoints[i].Server] = true
	}
	for _, s := range l.servers {
		s.ready = s.ready && listed[s.address]
	}
}

// removeUnused removes the servers that may not be used and on which nothing is under way.
func (l *endpointList) removeUnused() {
	l.servers = slices.DeleteFunc(l.servers, func(s *server) bool {
		unused := !s.ready && len(s.inFlight) == 0 && !s.checking
		if unused {
			delete(l.byAddress, s.address)
		}
		return unused
	})
}

// unhealthyServers returns the listed servers that are ejected or wait for a health check, by address.
// The slice is valid until the next call.
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
func (l *endpointList) setHealth(s *server, to balancer.HealthState) {
	if s.health > balancer.Unknown || to > balancer.Unknown {
		l.epoch++
	}
	s.health = to
	s.healthSince = l.env.now
}

// addInFlight counts an attempt into those in flight at its server. A server that the list has
// dropped since the request was forwarded is not watched for responses any more.
func (l *endpointList) addInFlight(a *attempt) {
	s := a.server
	if len(s.inFlight) == 0 && l.byAddress[s.address] == s {
		i, _ := slices.BinarySearchFunc(l.busy, s, compareAddress)
		l.busy = slices.Insert(l.busy, i, s)
	}
	s.inFlight = append(s.inFlight, a)
}

// removeInFlight takes an ended attempt out of those in flight at its server.
func (l *endpointList) removeInFlight(a *attempt) {
	a.server.removeAttempt(a)
	if a.fullySent && len(a.server.inFlight) == 0 {
		l.busy = slices.DeleteFunc(l.busy, func(s *server) bool { return s == a.server })
	}
}

// unresponsiveInFlight is the number of attempts in flight at servers that are ejected because they
// do not respond.
func (l *endpointList) unresponsiveInFlight() int {
	count := 0
	for _, s := range l.busy {
		if s.health >= balancer.UnhealthyPending && s.unresponsive {
			count += len(s.inFlight)
		}
	}
	return count
}
