package policy

import (
	"math/rand/v2"
	"slices"
	"testing"

	"fernbeam.example/fernbeam/internal/balancer"
)

// randomScenario plays random requests, attempts' ends and endpoint lists against one Balancer.
type randomScenario struct {
	*testing.T
	rng      *rand.Rand
	draws    *rand.PCG // the Balancer's own
	b        *Balancer
	now      float64
	next     balancer.RequestID
	attempts map[balancer.RequestID]int
	open     []balancer.Event // attempts in flight, as the events of their ends
	seen     map[string]int
}

// newRandomScenario returns a scenario whose settings and events are drawn from the seed.
func newRandomScenario(t *testing.T, seed uint64) *randomScenario {
	t.Helper()
	d := &randomScenario{T: t, rng: rand.New(rand.NewPCG(seed, 1)), draws: rand.NewPCG(seed, 2), now: 1e5,
		attempts: map[balancer.RequestID]int{}, seen: map[string]int{}}
	b, err := New(d.settings(), seed)
	if err != nil {
		t.Fatal(err)
	}
	d.b, b.random = b, rand.New(d.draws)
	b.Start(d.now, nil)
	return d
}

// settings draws settings.
func (d *randomScenario) settings() balancer.Settings {
	return balancer.Settings{
		Classes: []balancer.Class{
			{Name: "idempotent", LatencyObjectiveMs: 300, TotalTimeoutMs: 1000,
				Idempotency: balancer.Idempotent, PriorityWeight: 1, LateFraction: 0.2},
			{Name: "non-idempotent", LatencyObjectiveMs: 300, TotalTimeoutMs: 1000,
				Idempotency: balancer.NonIdempotent, PriorityWeight: 4},
			{Name: "by key", LatencyObjectiveMs: 300, TotalTimeoutMs: 1000,
				Idempotency: balancer.IdempotentByKey, DedupWindowMs: 900, PriorityWeight: 2,
				DedupScope: []balancer.DedupScope{balancer.DedupFleet, balancer.DedupZone,
					balancer.DedupCell}[d.rng.IntN(3)]},
		},
		Limits: balancer.Limits{AttemptCancellation: true, HealthChecks: d.rng.IntN(2) == 0,
			MaxAttempts:     1 + d.rng.IntN(4),
			MaxRetryAfterMs: 500},
		Contract: balancer.Contract{PollWithinMs: 2000, SlowStartFrom: []float64{0, 0.14, 1}[d.rng.IntN(3)],
			SlowStartMs: 4000 * d.rng.Float64(), OverloadMultiple: float64(d.rng.IntN(4)),
			OverloadWindowMs: 500},
		DiscoveryMode: "pushed", FleetSize: 1 + d.rng.IntN(900), RoundTripMs: 5, WeightBy: "request",
	}
}

// handle hands the Balancer an event and notes the attempts that it forwards.
func (d *randomScenario) handle(ev balancer.Event) {
	for _, a := range d.b.Handle(d.now, &ev, nil) {
		if a.Kind == balancer.ActionForward {
			d.open = append(d.open, balancer.Event{Kind: balancer.EventAttemptDone, Request: a.Request,
				Attempt: d.attempts[a.Request],
				Server:  a.Server})
			d.attempts[a.Request]++
		}
	}
}

// list updates the entries of some random servers.
func (d *randomScenario) list(count int, kind balancer.ListUpdate) {
	var entries []balancer.Endpoint
	for range count {
		i := d.rng.IntN(60)
		e := balancer.Endpoint{Server: balancer.Addr{10, 0, 0, byte(i), 1, 1}, Zone: i % 3, Cell: i % 4,
			StartedMs: 1,
			Weight:    float64(d.rng.IntN(3)),
			State: []balancer.EndpointState{balancer.Ready, balancer.Ready, balancer.Ready,
				balancer.Ready, balancer.Draining, balancer.Removed}[d.rng.IntN(6)]}
		if d.rng.IntN(3) == 0 {
			e.StartedMs = d.now - 100*d.rng.Float64()
		}
		entries = append(entries, e)
	}
	d.handle(balancer.Event{Kind: balancer.EventList, ListUpdate: kind, Endpoints: entries})
	for range d.rng.IntN(3) { // equal scores, which hashes of addresses hardly give
		if n := len(d.b.endpoints.servers); n > 0 {
			d.b.endpoints.servers[d.rng.IntN(n)].hash = d.b.endpoints.servers[d.rng.IntN(n)].hash
		}
	}
}

// step plays one random event a random time later.
func (d *randomScenario) step() {
	d.now += 20 * d.rng.ExpFloat64()
	if d.rng.IntN(100) == 0 {
		d.now -= 300 // the host's clock may be set back
	}
	switch n := d.rng.IntN(40); {
	case n < 18:
		d.next++
		d.handle(balancer.Event{Kind: balancer.EventRequest, Request: d.next, Class: d.rng.IntN(3),
			Key:         uint64(d.rng.IntN(12)),
			RemainingMs: 100 + 900*d.rng.Float64(), StreamedBody: d.rng.IntN(8) == 0})
	case n < 32 && len(d.open) > 0:
		i := d.rng.IntN(len(d.open))
		ev := d.open[i]
		ev.Kind, ev.RemainingMs = balancer.EventRequestSent, 300
		d.handle(ev)
		if d.rng.IntN(3) == 0 {
			return // it ends later
		}
		d.open = slices.Delete(d.open, i, i+1)
		ev.Kind, ev.LatencyMs = balancer.EventAttemptDone, 300*d.rng.Float64()
		statuses := []balancer.Status{balancer.StatusOK, balancer.StatusOK, balancer.StatusOK,
			balancer.StatusError, balancer.StatusOverloaded, balancer.StatusOverloaded,
			balancer.StatusTimeout, balancer.StatusConnectFailed, balancer.StatusReset,
			balancer.StatusBadRequest}
		ev.Status = statuses[d.rng.IntN(len(statuses))]
		d.handle(ev)
	case n < 34:
		d.handle(balancer.Event{Kind: balancer.EventTimer, Token: tickTimer})
	case n < 35 && len(d.b.endpoints.servers) > 0:
		checked := d.b.endpoints.servers[d.rng.IntN(len(d.b.endpoints.servers))]
		d.handle(balancer.Event{Kind: balancer.EventHealthCheckDone, Server: checked.address,
			Status: balancer.StatusOK})
	case n < 36:
		d.list(1+d.rng.IntN(5), balancer.ListDelta)
	case n < 37 && d.rng.IntN(10) == 0:
		d.list(30, balancer.ListCached)
	case n < 38:
		if err := d.b.Retune(d.settings()); err != nil {
			d.Fatal(err)
		}
	case len(d.open) > 0: // the client of a request with an attempt in flight leaves
		d.handle(balancer.Event{Kind: balancer.EventClientGone, Request: d.open[0].Request})
	}
}
