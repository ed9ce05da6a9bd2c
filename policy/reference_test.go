package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"fernbeam.example/fernbeam/internal/balancer"
)

// The reference implementations compute with more work what the policy caches or bounds: each walks all
// servers, and scores all that it may choose. The policy has to agree with them to the last bit.

// referenceChoose selects a server as serverSelector.choose does.
func (b *Balancer) referenceChoose(r *request) *server {
	waits := r.waitsForKey(b.now)
	for pass := range 6 {
		t, skipResting := tier(pass/2), pass%2 == 0
		candidates, resting := []*server{}, 0.0
		r.tierWeight = 0
		var near [preferredServers]*server
		for _, s := range b.endpoints.servers {
			if b.outliers.tierOf(s, r) != t || !b.selector.mayForward(r, s) {
				continue
			}
			r.tierWeight += s.weight * b.slowStart.fraction(s)
			if skipResting && b.now < s.restingUntil {
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
		if r.tierWeight == 0 || skipResting && (len(candidates) == 0 || resting > r.tierWeight/2) {
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

// referenceScore is the score of the server in the order of the request.
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

// referenceWarmWeight sums up the weight of the warm servers.
func (b *Balancer) referenceWarmWeight() (warm float64) {
	for _, s := range b.endpoints.servers {
		if s.ready && s.health <= balancer.Unknown && b.slowStart.fraction(s) == 1 {
			warm += s.weight
		}
	}
	return warm
}

// serversWhere returns the listed servers for which a condition holds, by address.
func (b *Balancer) serversWhere(is func(*server) bool) (found []*server) {
	for _, s := range b.endpoints.servers {
		if is(s) {
			found = append(found, s)
		}
	}
	return found
}

// name returns a server's address, for messages.
func name(s *server) string {
	if s == nil {
		return "none"
	}
	return fmt.Sprint(s.address)
}

// compareChoice compares the choice for a request with the reference, and undoes the changes of both.
func (sc *referenceScenario) compareChoice(r *request) {
	b, was, draws := sc.balancer, *r, *sc.draws
	want := b.referenceChoose(r)
	expected, wantDraws := *r, *sc.draws
	*r, *sc.draws = was, draws
	got := b.selector.choose(r)
	if got != want || *sc.draws != wantDraws || r.nearest != expected.nearest ||
		r.nearestEpoch != expected.nearestEpoch ||
		math.Float64bits(r.tierWeight) != math.Float64bits(expected.tierWeight) {
		sc.Fatalf("request %d, key %d: chose %s, by the reference %s; tier weight %v and %v, draws equal: %t",
			r.id, r.key, name(got), name(want), r.tierWeight, expected.tierWeight, *sc.draws == wantDraws)
	}
	if got != nil {
		sc.choices[fmt.Sprintf("tier %d", b.outliers.tierOf(got, r))]++
		if b.now < got.restingUntil {
			sc.choices["resting"]++
		}
		if b.slowStart.fraction(got) < 1 {
			sc.choices["slow start"]++
		}
	} else {
		sc.choices["none"]++
	}
	*r, *sc.draws = was, draws
}

// compare compares the state and the choices of the moment with the reference.
func (sc *referenceScenario) compare() {
	b := sc.balancer
	b.now += 1e-3 // a new moment: the warm weight is computed once for all decisions of one
	sc.now = b.now
	if got, want := b.slowStart.warmWeight(),
		b.referenceWarmWeight(); math.Float64bits(got) != math.Float64bits(want) {
		sc.Fatalf("warm weight %v, by the reference %v", got, want)
	}
	sets := []struct {
		name string
		got  []*server
		is   func(*server) bool
	}{
		{"busy", b.endpoints.busy, func(s *server) bool { return len(s.inFlight) > 0 }},
		{"not healthy", b.endpoints.notHealthy(),
			func(s *server) bool { return s.health >= balancer.UnhealthyPending }},
		{"slow start", b.slowStart.warmingServers(),
			func(s *server) bool { return b.slowStart.fraction(s) != 1 }},
	}
	for _, set := range sets {
		if want := b.serversWhere(set.is); !slices.Equal(set.got, want) {
			sc.Fatalf("%s: %d servers, by the reference %d", set.name, len(set.got), len(want))
		}
	}
	for _, r := range b.queue.requests {
		sc.compareChoice(r)
	}
	class := b.classes.classes[sc.random.IntN(len(b.classes.classes))]
	r := &request{id: 1 << 30, class: class, maxAttempts: 3, key: uint64(sc.random.IntN(12)),
		arrivedAt:   b.now,
		objectiveAt: b.now + 300, deadline: b.now + 400}
	if r.partitionKey = r.key; sc.random.IntN(2) == 0 {
		r.arrivedAt -= 200 // it does not wait for its key's servers any more
	}
	sc.compareChoice(r)
	if n := len(b.endpoints.servers); n > 0 { // it had an attempt at one before, which may have executed
		s := b.endpoints.servers[sc.random.IntN(n)]
		r.attempts = []*attempt{{request: r, server: s, ended: true}}
		r.maybeExecuted, r.executedAt, r.executedOn = 1, b.now, s
		sc.compareChoice(r)
	}
}

// What the policy caches from event to event, and the choice that scores only the servers that can win,
// equal the reference in the states of random scenarios.
func TestDecisionsEqualTheReference(t *testing.T) {
	seen := map[string]int{}
	for seed := range uint64(60) {
		sc := newReferenceScenario(t, seed)
		sc.choices = seen
		sc.list(int(seed)%50, balancer.ListCached)
		for range 600 {
			sc.step()
			sc.compare()
		}
	}
	for _, kind := range []string{"tier 0", "tier 1", "tier 2", "resting", "slow start", "none"} {
		if seen[kind] < 100 {
			t.Errorf("only %d choices of kind %q: the scenarios do not cover it", seen[kind], kind)
		}
	}
	t.Log(seen)
}

// The least score is no more than the score, for positions and weights of all sizes and the extremes.
func TestMinScoreIsNoMoreThanTheScore(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	weights := []float64{0, 5e-324, 1e-310, 1, math.MaxFloat64, math.Inf(1)}
	positions := []position{0, 1, 2, positionSteps / 2, positionSteps - 2, positionSteps - 1}
	for range 100000 {
		distance := position(rng.Uint64() >> (11 + rng.IntN(53))) // of any size, from either end
		positions = append(positions[:6], distance, positionSteps-1-distance)
		weights = append(weights[:6], math.Exp(1400*rng.Float64()-700))
		for _, p := range positions {
			for _, weight := range weights {
				if p.minScore(weight) > p.score(weight) {
					t.Fatalf("position %d, weight %v: least %v, score %v",
						p, weight, p.minScore(weight), p.score(weight))
				}
			}
		}
	}
}
