package policy_test

import (
	"testing"

	"fernbeam.example/fernbeam/internal/balancer"
)

// A popular key is spread over many servers, a rare one stays on few. The agent has at most one request in
// flight, so that the load cap does not spread the keys.
func TestPopularKeyIsSpreadByItsShare(t *testing.T) {
	h := newHarness(t, testSettings(), 20)
	const popular, rare = 7, 8
	servers := map[uint64]map[balancer.Addr]bool{popular: {}, rare: {}} // by key
	for i := range 4000 {
		h.now += 20
		key := 1000 + h.random.Uint64N(1000)
		if i%5 == 0 {
			key = popular
		} else if i%100 == 1 {
			key = rare
		}
		id, s := h.mustForward(idempotentClass, key)
		h.endAttempt(id, 0, s, balancer.StatusOK, 10)
		if servers[key] != nil {
			servers[key][s] = true
		}
	}
	if len(servers[popular]) < 8 || len(servers[rare]) > 5 {
		t.Errorf("key with a fifth of the requests used %d servers, key with a hundredth used %d",
			len(servers[popular]), len(servers[rare]))
	}
}
