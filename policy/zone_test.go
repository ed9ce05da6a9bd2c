package policy_test

import (
	"testing"

	"fernbeam.example/fernbeam/internal/balancer"
)

// Servers in the agent's own zone get more of the keys, and all servers get some.
func TestOwnZoneIsPreferred(t *testing.T) {
	h := newHarness(t, testSettings(), 6) // alternately in zones 0 and 1; the agent is in 0
	const requests = 600
	ownZone := 0
	used := map[balancer.Addr]bool{}
	for range requests {
		id, s := h.mustForward(idempotentClass, h.random.Uint64()|1)
		h.endAttempt(id, 0, s, balancer.StatusOK, 20)
		used[s] = true
		if s[3]%2 == 0 {
			ownZone++
		}
	}
	if share := float64(ownZone) / requests; share < 0.53 || share > 0.68 || len(used) != 6 {
		t.Errorf("own zone got %.2f of the keys, %d servers used, want about 0.6 and 6", share, len(used))
	}
}

// The zone preference grows while the zone responds in time and cross-zone traffic has a cost. It is at its
// minimum while the zone responds late or cross-zone traffic is free. Server i is in zone i%2.
func TestZonePreferenceGrowsWhileTheZoneServesInTime(t *testing.T) {
	share := func(cost, responseMs float64) float64 {
		settings := testSettings()
		settings.Costs.CrossZone = cost
		h := newHarness(t, settings, 6)
		ownZone, all := 0, 0
		for i := range 600 {
			h.now += 500
			id, actions := h.request(idempotentClass, h.random.Uint64()|1)
			if a := findAction(actions, balancer.ActionForward); a != nil {
				if i >= 400 {
					all++
					ownZone += 1 - int(a.Server[3]%2)
				}
				h.now += responseMs
				h.endAttempt(id, 0, a.Server, balancer.StatusOK, responseMs)
			}
		}
		return float64(ownZone) / float64(max(all, 1))
	}
	minShare := share(0, 20) // as in TestOwnZoneIsPreferred: about 0.6
	if s := share(0.1, 20); s < minShare+0.15 {
		t.Errorf("own zone in time got %.2f of the keys, %.2f if cross-zone traffic is free",
			s, minShare)
	}
	if s := share(0.1, 500); s > minShare+0.05 {
		t.Errorf("own zone late got %.2f of the keys, %.2f if cross-zone traffic is free", s, minShare)
	}
}
