package policy_test

import (
	"testing"

	"fernbeam.example/fernbeam/internal/balancer"
)

// endHealthCheck passes the end of a health check to the policy.
func (h *harness) endHealthCheck(server balancer.Addr, status balancer.Status, tookMs float64) {
	h.handle(balancer.Event{
		Kind:      balancer.EventHealthCheckDone,
		Server:    server,
		Status:    status,
		LatencyMs: tookMs,
	})
}

// If health checks are permitted, they decide whether a server in UnhealthyPending serves again.
func TestHealthCheckDecidesAboutAPendingServer(t *testing.T) {
	settings := testSettings()
	settings.Limits.HealthChecks = true
	h := newHarness(t, settings, 3)
	id, s := h.mustForward(idempotentClass, 7)
	h.serveRetry(id, h.endAttempt(id, 0, s, balancer.StatusError, 5), 5)
	h.now += 2 * h.ejectionMs()
	_, actions := h.request(idempotentClass, 7)
	if check := findAction(actions, balancer.ActionHealthCheck); check == nil || check.Server != s {
		t.Fatalf("pending server was not health-checked: %+v", actions)
	}
	if a := findAction(actions, balancer.ActionForward); a == nil || a.Server == s {
		t.Error("request was not forwarded to another server before the health check")
	}
	h.endHealthCheck(s, balancer.StatusTimeout, 100)
	if h.healthStates()[balancer.Unhealthy] != 1 {
		t.Errorf("health states after a failed health check: %v, want one Unhealthy", h.healthStates())
	}
	h.now += 10 * h.ejectionMs()
	h.request(idempotentClass, 8)
	h.endHealthCheck(s, balancer.StatusOK, 5)
	if got := h.healthStates(); got[balancer.Unhealthy]+got[balancer.UnhealthyPending] != 0 ||
		got[balancer.Connected] == 0 {
		t.Errorf("health states after a successful health check: %v, want the server Connected", got)
	}
}

// The number of health checks is limited to a fraction of the number of requests.
func TestHealthChecksAreFewerThanRequests(t *testing.T) {
	settings := testSettings()
	settings.Limits.HealthChecks = true
	h := newHarness(t, settings, 6)
	for i := 0; h.healthStates()[balancer.Unhealthy] < 4; i++ { // until four are ejected as unreachable
		if i > 50 {
			t.Fatalf("health states %v, want four servers ejected", h.healthStates())
		}
		h.endEachAttempt(idempotentClass, func(server balancer.Addr) (balancer.Status, float64) {
			if server[3] < 4 {
				return balancer.StatusConnectFailed, 5
			}
			return balancer.StatusOK, 5
		})
	}
	checks := 0
	for range 200 {
		h.now += 50
		id, actions := h.request(idempotentClass, h.random.Uint64()|1)
		forwarded := findAction(actions, balancer.ActionForward)
		for _, a := range actions {
			if a.Kind == balancer.ActionHealthCheck {
				checks++
				h.endHealthCheck(a.Server, balancer.StatusOverloaded, 1)
			}
		}
		if forwarded != nil {
			h.endAttempt(id, 0, forwarded.Server, balancer.StatusOverloaded, 1)
		}
	}
	if checks == 0 || checks > 30 {
		t.Errorf("%d health checks with 200 requests, want some and at most 30", checks)
	}
}

// A health check with a response, even an error, does not make a server unresponsive. One that times out or
// cannot connect does, and halves the server's limit, which is initially eight for a single agent.
func TestHealthCheckWithAResponseIsNotUnresponsive(t *testing.T) {
	for status, unresponsive := range map[balancer.Status]bool{
		balancer.StatusError:         false,
		balancer.StatusReset:         false,
		balancer.StatusTimeout:       true,
		balancer.StatusConnectFailed: true,
	} {
		settings := testSettings()
		settings.Limits.HealthChecks = true
		settings.FleetSize = 1
		h := newHarness(t, settings, 1)
		id, s := h.mustForward(nonIdempotentClass, 0)
		h.endAttempt(id, 0, s, balancer.StatusError, 5)
		h.now += 2 * settings.Classes[nonIdempotentClass].LatencyObjectiveMs
		_, actions := h.request(nonIdempotentClass, 0)
		if findAction(actions, balancer.ActionHealthCheck) == nil {
			t.Fatalf("server was not health-checked: %+v", actions)
		}
		h.endHealthCheck(s, status, 1)
		want := 8.0
		if unresponsive {
			want = 4
		}
		if stats := h.policy.Stats(); stats.States[balancer.Unhealthy] != 1 || stats.ServerLimits != want {
			t.Errorf("health check status %d: stats %+v, want one Unhealthy and a limit of %v",
				status, stats, want)
		}
	}
}
