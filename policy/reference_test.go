package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"fernbeam.example/fernbeam/internal/balancer"
)

// The reference implementations compute the same results as the policy, but without its caches and
// bounds: they visit all servers and score all candidates. The results of the policy must be
// bit-identical to theirs.

// referenceChoose selects a server like serverSelector.choose.
func (b *Balancer) referenceChoose(r *request) *server {
	for t := range tierCount {
		for _, set := range []candidateSet{notInCooldown, allCandidates} {
			if c := b.referenceChooseInTier(r, t, set); c.hasCandidates {
				return c.server
			}
		}
	}
	return nil
}

// referenceChooseInTier selects a server of one tier and candidate set. If most servers of the tier are in
// cooldown, the set notInCooldown has no candidates.
func (b *Balancer) referenceChooseInTier(r *request, t tier, set candidateSet) choice {
	waits := r.waitsForKey(b.now)
	var candidates []*server
	var preferred [preferredServers]*server
	cooldownWeight := 0.0
	r.tierWeight = 0
	for _, s := range b.endpoints.servers {
		if b.outliers.tierOf(s, r) != t || !b.selector.mayForward(r, s) {
			continue
		}
		r.tierWeight += s.weight * b.slowStart.fraction(s)
		if set == notInCooldown && b.now < s.cooldownUntil {
			cooldownWeight += s.weight * b.slowStart.fraction(s)
			continue
		}
		if !waits && !b.concurrency.serverAllows(s) {
			continue
		}
		s.score = b.referenceScore(r, s)
		candidates = append(candidates, s)
		referenceInsert(&preferred, s)
	}
	if r.tierWeight == 0 {
		return choice{}
	}
	if set == notInCooldown && (len(candidates) == 0 || cooldownWeight > r.tierWeight/2) {
		return choice{}
	}
	if waits && len(candidates) > preferredServers {
		r.preferred = preferred
		r.preferredEpoch = b.endpoints.epoch
		candidates = preferred[:]
	}
	var best *server
	for _, s := range candidates {
		if (best == nil || s.score < best.score) && b.selector.accepts(s, r) {
			best = s
		}
	}
	return choice{server: best, hasCandidates: true}
}

// referenceInsert inserts a server into the preferred ones if its score is low enough.
func referenceInsert(preferred *[preferredServers]*server, s *server) {
	for i := 0; i < preferredServers && s != nil; i++ {
		if preferred[i] == nil || s.score < preferred[i].score {
			preferred[i], s = s, preferred[i]
		}
	}
}

// referenceScore returns the score of the server in the order of the request.
func (b *Balancer) referenceScore(r *request, s *server) float64 {
	hash := splitmix64(r.partitionKey ^ s.hash)
	if r.key == 0 {
		hash = b.random.Uint64()
	}
	uniform := float64(hash>>11) / (1 << 53)
	weight := s.weight * b.slowStart.loadShare(s)
	if s.zone == b.settings.Zone {
		weight *= b.zone.factor
	}
	return -math.Log(uniform+1e-18) / weight
}

// referenceWarmWeight returns the total weight of the warm servers.
func (b *Balancer) referenceWarmWeight() (warm float64) {
	for _, s := range b.endpoints.servers {
		if s.ready && s.health <= balancer.Unknown && b.slowStart.fraction(s) == 1 {
			warm += s.weight
		}
	}
	return warm
}

// serversWhere returns the listed servers that satisfy the condition, ordered by address.
func (b *Balancer) serversWhere(matches func(*server) bool) (found []*server) {
	for _, s := range b.endpoints.servers {
		if matches(s) {
			found = append(found, s)
		}
	}
	return found
}

// addressText returns the address of a server for error messages.
func addressText(s *server) string {
	if s == nil {
		return "none"
	}
	return fmt.Sprint(s.address)
}

// compareChoice compares the choice for a request with the reference, and reverts the changes of both.
func (sc *referenceScenario) compareChoice(r *request) {
	b := sc.balancer
	before, drawsBefore := *r, *sc.source
	want := b.referenceChoose(r)
	expected, wantDraws := *r, *sc.source
	*r, *sc.source = before, drawsBefore
	got := b.selector.choose(r)
	if got != want || *sc.source != wantDraws || r.preferred != expected.preferred ||
		r.preferredEpoch != expected.preferredEpoch ||
		math.Float64bits(r.tierWeight) != math.Float64bits(expected.tierWeight) {
		sc.Fatalf("request %d, key %d: chose %s, reference %s; tier weight %v, reference %v; equal draws: %t",
			r.id, r.key, addressText(got), addressText(want),
			r.tierWeight, expected.tierWeight, *sc.source == wantDraws)
	}
	sc.countChoice(r, got)
	*r, *sc.source = before, drawsBefore
}

// countChoice counts a choice under each kind that applies. The scenarios must cover all kinds.
func (sc *referenceScenario) countChoice(r *request, chosen *server) {
	if chosen == nil {
		sc.choices["none"]++
		return
	}
	b := sc.balancer
	sc.choices[fmt.Sprintf("tier %d", b.outliers.tierOf(chosen, r))]++
	if b.now < chosen.cooldownUntil {
		sc.choices["cooldown"]++
	}
	if b.slowStart.fraction(chosen) < 1 {
		sc.choices["slow start"]++
	}
}

// compare compares the present state of the Balancer and its choices with the reference.
func (sc *referenceScenario) compare() {
	b := sc.balancer
	b.now += 1e-3 // a new point in time, as the warm weight is computed once for each
	sc.now = b.now
	got, want := b.slowStart.warmWeight(), b.referenceWarmWeight()
	if math.Float64bits(got) != math.Float64bits(want) {
		sc.Fatalf("warm weight is %v, reference is %v", got, want)
	}
	sc.compareSets()
	for _, r := range b.queue.requests {
		sc.compareChoice(r)
	}
	sc.compareNewRequest()
}

// compareSets compares the cached sets of servers with the reference.
func (sc *referenceScenario) compareSets() {
	b := sc.balancer
	sets := []struct {
		name    string
		got     []*server
		matches func(*server) bool
	}{
		{"busy", b.endpoints.busy, func(s *server) bool { return len(s.inFlight) > 0 }},
		{"not healthy", b.endpoints.unhealthyServers(),
			func(s *server) bool { return s.health >= balancer.UnhealthyPending }},
		{"slow start", b.slowStart.warmingServers(),
			func(s *server) bool { return b.slowStart.fraction(s) != 1 }},
	}
	for _, set := range sets {
		if want := b.serversWhere(set.matches); !slices.Equal(set.got, want) {
			sc.Fatalf("%s: %d servers differ from the %d of the reference", set.name, len(set.got), len(want))
		}
	}
}

// compareNewRequest compares the choices for a random new request, and for one that has had an attempt at a
// random server.
func (sc *referenceScenario) compareNewRequest() {
	b := sc.balancer
	r := &request{
		id:          1 << 30,
		class:       oneOf(sc.random, b.classes.classes...),
		maxAttempts: 3,
		key:         uint64(sc.random.IntN(12)),
		arrivedAt:   b.now,
		objectiveAt: b.now + 300,
		deadline:    b.now + 400,
	}
	if r.partitionKey = r.key; sc.random.IntN(2) == 0 {
		r.arrivedAt -= 200 // the request no longer waits for its preferred servers
	}
	sc.compareChoice(r)
	if len(b.endpoints.servers) > 0 {
		s := oneOf(sc.random, b.endpoints.servers...)
		r.attempts = []*attempt{{request: r, server: s, ended: true}}
		r.maybeExecuted = 1
		r.executedAt = b.now
		r.executedOn = s
		sc.compareChoice(r)
	}
}

// In the states of random scenarios the policy agrees with the reference in two respects: the values that
// it caches between events, and its choice of a server, for which it scores only the servers that may
// come first.
func TestDecisionsEqualTheReference(t *testing.T) {
	choices := map[string]int{}
	for seed := range uint64(60) {
		sc := newReferenceScenario(t, seed)
		sc.choices = choices
		sc.updateList(int(seed)%50, balancer.ListCached)
		for range 600 {
			sc.step()
			sc.compare()
		}
	}
	for _, kind := range []string{"tier 0", "tier 1", "tier 2", "cooldown", "slow start", "none"} {
		if choices[kind] < 100 {
			t.Errorf("scenarios contain %d choices of kind %q, want at least 100", choices[kind], kind)
		}
	}
	t.Log(choices)
}

// The minimum score is at most the score, for positions and weights of all magnitudes and for extreme values.
func TestMinScoreIsNoMoreThanTheScore(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	weights := []float64{0, 5e-324, 1e-310, 1, math.MaxFloat64, math.Inf(1)}
	positions := []position{0, 1, 2, positionSteps / 2, positionSteps - 2, positionSteps - 1}
	for range 100000 {
		distance := position(rng.Uint64() >> (11 + rng.IntN(53))) // of any magnitude, from either end
		positions = append(positions[:6], distance, positionSteps-1-distance)
		weights = append(weights[:6], math.Exp(1400*rng.Float64()-700))
		for _, p := range positions {
			for _, weight := range weights {
				if p.minScore(weight) > p.score(weight) {
					t.Fatalf("position %d, weight %v: minimum score %v is above the score %v",
						p, weight, p.minScore(weight), p.score(weight))
				}
			}
		}
	}
}
