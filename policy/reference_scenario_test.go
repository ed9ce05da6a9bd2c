package policy

import (
	"math/rand/v2"
	"slices"
	"testing"

	"fernbeam.example/fernbeam/internal/balancer"
)

// referenceScenario passes random requests, ends of attempts and endpoint lists to one Balancer.
type referenceScenario struct {
	*testing.T
	random      *rand.Rand
	source      *rand.PCG // source of the Balancer's random numbers
	balancer    *Balancer
	now         float64 // milliseconds
	lastRequest balancer.RequestID
	attempts    map[balancer.RequestID]int // number of attempts of each request
	inFlight    []balancer.Event           // attempts in flight, as the events that end them
	choices     map[string]int             // number of compared choices by kind
}

// newReferenceScenario returns a scenario with settings and events drawn from the seed.
func newReferenceScenario(t *testing.T, seed uint64) *referenceScenario {
	t.Helper()
	sc := &referenceScenario{
		T:        t,
		random:   rand.New(rand.NewPCG(seed, 1)),
		source:   rand.NewPCG(seed, 2),
		now:      1e5,
		attempts: map[balancer.RequestID]int{},
		choices:  map[string]int{},
	}
	b, err := New(sc.settings(), seed)
	if err != nil {
		t.Fatal(err)
	}
	b.random = rand.New(sc.source)
	sc.balancer = b
	b.Start(sc.now, nil)
	return sc
}

// settings returns random settings.
func (sc *referenceScenario) settings() balancer.Settings {
	return balancer.Settings{
		Classes: sc.classes(),
		Limits: balancer.Limits{
			AttemptCancellation: true,
			HealthChecks:        sc.random.IntN(2) == 0,
			MaxAttempts:         1 + sc.random.IntN(4),
			MaxRetryAfterMs:     500,
		},
		Contract: balancer.Contract{
			PollWithinMs:     2000,
			SlowStartFrom:    oneOf(sc.random, 0, 0.14, 1),
			SlowStartMs:      4000 * sc.random.Float64(),
			OverloadMultiple: float64(sc.random.IntN(4)),
			OverloadWindowMs: 500,
		},
		DiscoveryMode: balancer.DiscoveryPushed,
		FleetSize:     1 + sc.random.IntN(900),
		RoundTripMs:   5,
		WeightBy:      balancer.WeightByRequest,
	}
}

// classes returns one class per idempotency, with a random deduplication scope.
func (sc *referenceScenario) classes() []balancer.Class {
	return []balancer.Class{
		{
			Name:               "idempotent",
			LatencyObjectiveMs: 300,
			TotalTimeoutMs:     1000,
			Idempotency:        balancer.Idempotent,
			PriorityWeight:     1,
			LateFraction:       0.2,
		},
		{
			Name:               "non-idempotent",
			LatencyObjectiveMs: 300,
			TotalTimeoutMs:     1000,
			Idempotency:        balancer.NonIdempotent,
			PriorityWeight:     4,
		},
		{
			Name:               "by key",
			LatencyObjectiveMs: 300,
			TotalTimeoutMs:     1000,
			Idempotency:        balancer.IdempotentByKey,
			DedupWindowMs:      900,
			PriorityWeight:     2,
			DedupScope:         oneOf(sc.random, balancer.DedupFleet, balancer.DedupZone, balancer.DedupCell),
		},
	}
}

// oneOf returns one of the values at random, each with the same probability.
func oneOf[T any](random *rand.Rand, values ...T) T { return values[random.IntN(len(values))] }

// handle passes an event to the Balancer and records the attempts that it forwards.
func (sc *referenceScenario) handle(ev balancer.Event) {
	for _, a := range sc.balancer.Handle(sc.now, &ev, nil) {
		if a.Kind == balancer.ActionForward {
			sc.inFlight = append(sc.inFlight, balancer.Event{
				Kind:    balancer.EventAttemptDone,
				Request: a.Request,
				Attempt: sc.attempts[a.Request],
				Server:  a.Server,
			})
			sc.attempts[a.Request]++
		}
	}
}

// updateList passes an update of the entries of random servers to the Balancer.
func (sc *referenceScenario) updateList(count int, kind balancer.ListUpdate) {
	var endpoints []balancer.Endpoint
	for range count {
		endpoints = append(endpoints, sc.endpoint())
	}
	sc.handle(balancer.Event{Kind: balancer.EventList, ListUpdate: kind, Endpoints: endpoints})
	servers := sc.balancer.endpoints.servers
	for range sc.random.IntN(3) { // equal scores, which are very unlikely with hashes of addresses
		if len(servers) > 0 {
			s := oneOf(sc.random, servers...)
			s.hash = oneOf(sc.random, servers...).hash
		}
	}
}

// endpoint returns a random entry of a random server.
func (sc *referenceScenario) endpoint() balancer.Endpoint {
	i := sc.random.IntN(60)
	e := balancer.Endpoint{
		Server:    balancer.Addr{10, 0, 0, byte(i), 1, 1},
		Zone:      i % 3,
		Cell:      i % 4,
		StartedMs: 1,
		Weight:    float64(sc.random.IntN(3)),
		State: oneOf(sc.random, balancer.Ready, balancer.Ready, balancer.Ready, balancer.Ready,
			balancer.Draining, balancer.Removed),
	}
	if sc.random.IntN(3) == 0 {
		e.StartedMs = sc.now - 100*sc.random.Float64()
	}
	return e
}

// step passes one random event to the Balancer after a random time.
func (sc *referenceScenario) step() {
	sc.now += 20 * sc.random.ExpFloat64()
	if sc.random.IntN(100) == 0 {
		sc.now -= 300 // the clock of the host may be set back
	}
	servers := sc.balancer.endpoints.servers
	switch n := sc.random.IntN(40); {
	case n < 18:
		sc.request()
	case n < 32 && len(sc.inFlight) > 0:
		sc.advanceAttempt()
	case n < 34:
		sc.handle(balancer.Event{Kind: balancer.EventTimer, Token: tickTimer})
	case n < 35 && len(servers) > 0:
		checked := oneOf(sc.random, servers...)
		sc.handle(balancer.Event{
			Kind:   balancer.EventHealthCheckDone,
			Server: checked.address,
			Status: balancer.StatusOK,
		})
	case n < 36:
		sc.updateList(1+sc.random.IntN(5), balancer.ListDelta)
	case n < 37 && sc.random.IntN(10) == 0:
		sc.updateList(30, balancer.ListCached)
	case n < 38:
		if err := sc.balancer.UpdateSettings(sc.settings()); err != nil {
			sc.Fatal(err)
		}
	case len(sc.inFlight) > 0: // the client of a request with an attempt in flight leaves
		sc.handle(balancer.Event{Kind: balancer.EventClientGone, Request: sc.inFlight[0].Request})
	}
}

// request passes a random request to the Balancer.
func (sc *referenceScenario) request() {
	sc.lastRequest++
	sc.handle(balancer.Event{
		Kind:         balancer.EventRequest,
		Request:      sc.lastRequest,
		Class:        sc.random.IntN(3),
		Key:          uint64(sc.random.IntN(12)),
		RemainingMs:  100 + 900*sc.random.Float64(),
		StreamedBody: sc.random.IntN(8) == 0,
	})
}

// advanceAttempt notifies the Balancer that the request of a random attempt is fully sent, and usually ends
// the attempt immediately.
func (sc *referenceScenario) advanceAttempt() {
	i := sc.random.IntN(len(sc.inFlight))
	ev := sc.inFlight[i]
	ev.Kind = balancer.EventRequestSent
	ev.RemainingMs = 300
	sc.handle(ev)
	if sc.random.IntN(3) == 0 {
		return // the attempt ends later
	}
	sc.inFlight = slices.Delete(sc.inFlight, i, i+1)
	ev.Kind = balancer.EventAttemptDone
	ev.LatencyMs = 300 * sc.random.Float64()
	ev.Status = oneOf(sc.random, balancer.StatusOK, balancer.StatusOK, balancer.StatusOK,
		balancer.StatusError, balancer.StatusOverloaded, balancer.StatusOverloaded,
		balancer.StatusTimeout, balancer.StatusConnectFailed, balancer.StatusReset,
		balancer.StatusBadRequest)
	sc.handle(ev)
}
