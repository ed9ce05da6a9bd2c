package policytest

import (
	"testing"

	"fernbeam.example/fernbeam/internal/balancer"
)

// Idle connections are closed where keeping them costs more than opening new ones. Once, each of a
// thousand agents kept connections to a third of the servers, at a cost for each.
func TestIdleConnectionsAreClosedWhereKeepingCostsMore(t *testing.T) {
	for _, c := range []struct {
		agents          int
		open, handshake float64
		closes          bool
	}{{1000, 0.05, 0.05, true}, {10, 0.05, 0.05, false}, {1000, 0, 0, false}, {1000, 0, 0.05, false}} {
		settings := testSettings()
		settings.FleetSize, settings.Costs.Connection, settings.Costs.Handshake = c.agents, c.open, c.handshake
		h := newHarness(t, settings, 8)
		closed := 0
		for range 200 {
			h.now += 50
			id, s := h.mustForward(0, h.random.Uint64())
			if a := findAction(h.endAttempt(id, 0, s, balancer.StatusOK, 20), balancer.ActionCloseIdle); a != nil &&
				a.Server == s {
				closed++
			}
		}
		if c.closes && closed < 150 || !c.closes && closed > 20 {
			t.Errorf("%+v: closed %d times of 200", c, closed)
		}
	}
}
