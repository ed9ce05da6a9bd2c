package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"fernbeam.example/fernbeam/internal/balancer"
)

// The plain forms of what the module computes with less work: each walks all servers, and scores all
// that it may choose. The module has to agree with them to the last bit.

func (b *Balancer) referencePick(r *request) *server {
	waits := r.waitsForKey(b.now)
	for pass := range 6 {
		rank, rest := pass/2, pass%2 == 0
		candidates, resting := []*server{}, 0.0
		r.tierWeight = 0
		var near [preferredServers]*server
		for _, s := range b.endpoints.servers {
			if b.outliers.tierOf(s, r) != tier(rank) || !b.selector.mayForward(r, s) {
				continue
			}
			r.tierWeight += s.weight * b.slowStart.fraction(s)
			if rest && b.now < s.restingUntil {
				resting += s.weight * b.slowStart.fraction(s)
				continue
			}
			if !waits && !b.concurrency.serverAllows(s) {
				continue
			}
			s.score = b.referenceScore(r, s)
			candidates = append(candidates, s)
			for i, at := 0, s; i < preferredServers && at != nil; i++ {
				if near[i] == nil || at.score < near[i].score {
					near[i], at = at, near[i]
				}
			}
		}
		if r.tierWeight == 0 || rest && (len(candidates) == 0 || resting > r.tierWeight/2) {
			continue
		}
		if waits && len(candidates) > preferredServers {
			r.nearest, r.nearestEpoch = near, b.endpoints.epoch
			candidates = near[:]
		}
		var best *server
		for _, s := range candidates {
			if (best == nil || s.score < best.score) && b.selector.accepts(s, r) {
				best = s
			}
		}
		return best
	}
	return nil
}

func (b *Balancer) referenceScore(r *request, s *server) float64 {
	x := splitmix64(r.partitionKey ^ s.hash)
	if r.key == 0 {
		x = b.random.Uint64()
	}
	u := float64(x>>11) / (1 << 53)
	w := s.weight * b.slowStart.loadShare(s)
	if s.zone == b.settings.Zone {
		w *= b.zone.factor
	}
	return -math.Log(u+1e-18) / w
}

func (b *Balancer) referenceWarmWeight() (warm float64) {
	for _, s := range b.endpoints.servers {
		if s.ready && s.health <= balancer.Unknown && b.slowStart.fraction(s) == 1 {
			warm += s.weight
		}
	}
	return warm
}

// serversWhere are the listed servers of a kind, by address.
func (b *Balancer) serversWhere(is func(*server) bool) (found []*server) {
	for _, s := range b.endpoints.servers {
		if is(s) {
			found = append(found, s)
		}
	}
	return found
}

// randomDay plays random requests, outcomes and lists against one Balancer.
type randomDay struct {
	*testing.T
	rng      *rand.Rand
	draws    *rand.PCG // the Balancer's own
	b        *Balancer
	now      float64
	next     balancer.RequestID
	attempts map[balancer.RequestID]int
	open     []balancer.Event // outcomes to come
	seen     map[string]int
}

func newRandomDay(t *testing.T, seed uint64) *randomDay {
	d := &randomDay{T: t, rng: rand.New(rand.NewPCG(seed, 1)), draws: rand.NewPCG(seed, 2), now: 1e5,
		attempts: map[balancer.RequestID]int{}, seen: map[string]int{}}
	b, err := New(d.settings(), seed)
	if err != nil {
		t.Fatal(err)
	}
	d.b, b.random = b, rand.New(d.draws)
	b.Start(d.now, nil)
	return d
}

func (d *randomDay) settings() balancer.Settings {
	return balancer.Settings{
		Classes: []balancer.Class{
			{Name: "free", LatencyObjectiveMs: 300, TotalTimeoutMs: 1000,
				Idempotency: balancer.Idempotent, PriorityWeight: 1, LateFraction: 0.2},
			{Name: "once", LatencyObjectiveMs: 300, TotalTimeoutMs: 1000,
				Idempotency: balancer.NonIdempotent, PriorityWeight: 4},
			{Name: "keyed", LatencyObjectiveMs: 300, TotalTimeoutMs: 1000,
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

func (d *randomDay) handle(ev balancer.Event) {
	for _, a := range d.b.Handle(d.now, &ev, nil) {
		if a.Kind == balancer.ActionForward {
			d.open = append(d.open, balancer.Event{Kind: balancer.EventAttemptDone, Request: a.Request,
				Attempt: d.attempts[a.Request],
				Server:  a.Server})
			d.attempts[a.Request]++
		}
	}
}

// list tells a few servers anew, or all.
func (d *randomDay) list(count int, kind balancer.ListUpdate) {
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

func (d *randomDay) step() {
	d.now += 20 * d.rng.ExpFloat64()
	if d.rng.IntN(100) == 0 {
		d.now -= 300 // the caller's clock is not relied on to go forward only
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
			return // its outcome comes later
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
	case len(d.open) > 0: // at one moment with what came before, with the request's client gone
		d.handle(balancer.Event{Kind: balancer.EventClientGone, Request: d.open[0].Request})
	}
}

// name is a server's address, for messages.
func name(s *server) string {
	if s == nil {
		return "none"
	}
	return fmt.Sprint(s.address)
}

// comparePick holds the choice for a request to that of the plain form, and leaves no trace of either.
func (d *randomDay) comparePick(r *request) {
	b, was, draws := d.b, *r, *d.draws
	want := b.referencePick(r)
	expected, wantDraws := *r, *d.draws
	*r, *d.draws = was, draws
	got := b.selector.choose(r)
	if got != want || *d.draws != wantDraws || r.nearest != expected.nearest ||
		r.nearestEpoch != expected.nearestEpoch ||
		math.Float64bits(r.tierWeight) != math.Float64bits(expected.tierWeight) {
		d.Fatalf("request %d, key %d: picked %s, plainly %s; tier weight %v and %v, draws equal: %t",
			r.id, r.key, name(got), name(want), r.tierWeight, expected.tierWeight, *d.draws == wantDraws)
	}
	if got != nil {
		d.seen[fmt.Sprintf("rank %d", b.outliers.tierOf(got, r))]++
		if b.now < got.restingUntil {
			d.seen["resting"]++
		}
		if b.slowStart.fraction(got) < 1 {
			d.seen["cold"]++
		}
	} else {
		d.seen["none"]++
	}
	*r, *d.draws = was, draws
}

func (d *randomDay) compare() {
	b := d.b
	b.now += 1e-3 // a moment of its own: the weight is counted once for all decisions of one
	d.now = b.now
	if got, want := b.slowStart.warmWeight(),
		b.referenceWarmWeight(); math.Float64bits(got) != math.Float64bits(want) {
		d.Fatalf("warm weight %v, in the plain form %v", got, want)
	}
	sets := []struct {
		name string
		got  []*server
		is   func(*server) bool
	}{
		{"busy", b.endpoints.busy, func(s *server) bool { return len(s.inFlight) > 0 }},
		{"demoted", b.endpoints.notHealthy(),
			func(s *server) bool { return s.health >= balancer.UnhealthyPending }},
		{"cold", b.slowStart.warmingServers(), func(s *server) bool { return b.slowStart.fraction(s) != 1 }},
	}
	for _, set := range sets {
		if want := b.serversWhere(set.is); !slices.Equal(set.got, want) {
			d.Fatalf("%s: %d servers, in the plain form %d", set.name, len(set.got), len(want))
		}
	}
	for _, r := range b.queue.requests {
		d.comparePick(r)
	}
	class := b.classes.classes[d.rng.IntN(len(b.classes.classes))]
	r := &request{id: 1 << 30, class: class, maxAttempts: 3, key: uint64(d.rng.IntN(12)), arrivedAt: b.now,
		objectiveAt: b.now + 300, deadline: b.now + 400}
	if r.partitionKey = r.key; d.rng.IntN(2) == 0 {
		r.arrivedAt -= 200 // it waits no longer for its key's servers
	}
	d.comparePick(r)
	if n := len(b.endpoints.servers); n > 0 { // it has tried one before, where it may have run
		s := b.endpoints.servers[d.rng.IntN(n)]
		r.attempts = []*attempt{{request: r, server: s, ended: true}}
		r.maybeExecuted, r.executedAt, r.executedOn = 1, b.now, s
		d.comparePick(r)
	}
}

// TestDecisionsEqualThePlainForm holds what the module keeps from event to event, and the choice that
// scores only the servers that can win, to their plain forms in the states of random days.
func TestDecisionsEqualThePlainForm(t *testing.T) {
	seen := map[string]int{}
	for seed := range uint64(60) {
		d := newRandomDay(t, seed)
		d.seen = seen
		d.list(int(seed)%50, balancer.ListCached)
		for range 600 {
			d.step()
			d.compare()
		}
	}
	for _, kind := range []string{"rank 0", "rank 1", "rank 2", "resting", "cold", "none"} {
		if seen[kind] < 100 {
			t.Errorf("only %d choices of kind %q: the days don't reach what they are for", seen[kind], kind)
		}
	}
	t.Log(seen)
}

// TestMinScoreIsNoMoreThanTheScore plays places and weights of all sizes, the extremes first.
func TestMinScoreIsNoMoreThanTheScore(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	weights := []float64{0, 5e-324, 1e-310, 1, math.MaxFloat64, math.Inf(1)}
	places := []position{0, 1, 2, positionSteps / 2, positionSteps - 2, positionSteps - 1}
	for range 100000 {
		distance := position(rng.Uint64() >> (11 + rng.IntN(53))) // of any size, from either end
		places = append(places[:6], distance, positionSteps-1-distance)
		weights = append(weights[:6], math.Exp(1400*rng.Float64()-700))
		for _, p := range places {
			for _, weight := range weights {
				if p.minScore(weight) > p.score(weight) {
					t.Fatalf("place %d, weight %v: least %v, score %v",
						p, weight, p.minScore(weight), p.score(weight))
				}
			}
		}
	}
}
