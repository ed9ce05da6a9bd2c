package policy_test

import (
	"testing"

	"fernbeam.example/fernbeam/internal/balancer"
)

// A key with a large share of the requests is spread over many servers, a rare one keeps to few. The agent
// has no more than one request in flight, so that no load cap spreads them.
func TestPopularKeyIsSpreadByItsShare(t *testing.T) {
	h := newHarness(t, testSettings(), 20)
	popular, rare := map[balancer.Addr]bool{}, map[balancer.Addr]bool{}
	for i := range 4000 {
		h.now += 20
		key := 1000 + h.random.Uint64N(1000)
		if i%5 == 0 {
			key = 7
		} else if i%100 == 1 {
			key = 8
		}
		id, s := h.mustForward(0, key)
		h.endAttempt(id, 0, s, balancer.StatusOK, 10)
		switch key {
		case 7:
			popular[s] = true
		case 8:
			rare[s] = true
		}
	}
	if len(popular) < 8 || len(rare) > 5 {
		t.Errorf("a fifth of all requests went to %d servers, a hundredth to %d", len(popular), len(rare))
	}
}
