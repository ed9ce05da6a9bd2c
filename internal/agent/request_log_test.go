package agent

import (
	"net/http"
	"strings"
	"testing"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/balancer"
)

// A failed request is logged with its ID and all its attempts, an invalid one with its ID and the reason.
func TestFailedRequestIsLoggedWithItsAttempts(t *testing.T) {
	agent, server := startWithServer(t, respondWith(http.StatusInternalServerError, "", ""))
	lines := agent.logLines()
	req := agenttest.NewRequest(agent.addr, "order", "x")
	req.Header.Set("Request-Id", "c0ffee")
	status := agent.do(req).Status
	agenttest.WantStatus(t, status, http.StatusBadGateway)
	text := agenttest.WaitLine(t, lines, "c0ffee")
	for _, want := range []string{"request failed", "class=order", "[s-1 at ", "ended 301 after "} {
		if !strings.Contains(text, want) {
			t.Errorf("log line %q does not contain %q", text, want)
		}
	}
	req = agenttest.NewRequest(agent.addr, "order", "x")
	req.Header.Set("Request-Id", "decaf")
	req.Header.Set("Request-Class", "nobody's")
	status = agent.do(req).Status
	agenttest.WantStatus(t, status, http.StatusBadRequest)
	if text := agenttest.WaitLine(t, lines, "decaf"); !strings.Contains(text, "unknown Request-Class") {
		t.Errorf("log line %q does not contain the reason", text)
	}
	metrics := agent.metricsNow()
	if metrics.Invalid != 1 || metrics.Failed != 1 || metrics.Attempts[balancer.StatusError] != 1 {
		t.Errorf("metrics %+v, want 1 invalid request, 1 failed request and 1 attempt with an error", metrics)
	}
	if server.Count() != 1 {
		t.Errorf("server received %d requests, want 1", server.Count())
	}
}
