package policy_test

import (
	"testing"

	"fernbeam.example/fernbeam/internal/balancer"
)

// Idle connections are closed if keeping them costs more than opening new ones.
func TestIdleConnectionsAreClosedIfKeepingCostsMore(t *testing.T) {
	for _, c := range []struct {
		name                  string
		agents                int
		connection, handshake float64
		closes                bool
	}{
		{"many agents", 1000, 0.05, 0.05, true},
		{"few agents", 10, 0.05, 0.05, false},
		{"no costs", 1000, 0, 0, false},
		{"no connection cost", 1000, 0, 0.05, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			settings := testSettings()
			settings.FleetSize = c.agents
			settings.Costs.Connection = c.connection
			settings.Costs.Handshake = c.handshake
			closed := closedOf200(t, settings)
			if c.closes && closed < 150 || !c.closes && closed > 20 {
				t.Errorf("%d agents, connection cost %v, handshake cost %v: closed %d times in 200 requests",
					c.agents, c.connection, c.handshake, closed)
			}
		})
	}
}

// closedOf200 serves 200 requests. It returns the number of them after which the policy closed the idle
// connections of the server that had served the request.
func closedOf200(t *testing.T, settings balancer.Settings) int {
	t.Helper()
	h := newHarness(t, settings, 8)
	closed := 0
	for range 200 {
		h.now += 50
		id, s := h.mustForward(idempotentClass, h.random.Uint64())
		actions := h.endAttempt(id, 0, s, balancer.StatusOK, 20)
		if a := findAction(actions, balancer.ActionCloseIdle); a != nil && a.Server == s {
			closed++
		}
	}
	return closed
}
